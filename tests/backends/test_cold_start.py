"""Tests of the rate limit of cold servers where nodes outnumber it."""

import random
import time
from collections.abc import Iterator

import pytest
from freezegun import freeze_time
from freezegun.api import FrozenDateTimeFactory

from savorylift.backends.cold_start import (
    RETENTION_S,
    WINDOW_S,
    ColdStartLimiter,
)

# The users judge a cold server's requests in a second with these tolerances.
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
STEP_S = 0.05
PLAYED_S = 10.0


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freeze_time() as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


def make_limiters(nodes: int) -> list[ColdStartLimiter]:
    return [ColdStartLimiter(random.Random(node)) for node in range(nodes)]


def send_all(
    limiters: list[ColdStartLimiter], per_s: float, sent_s: list[float]
) -> None:
    """Sends what all nodes may send now."""
    for limiter in limiters:
        while limiter.may_send("i-1", per_s, len(limiters)):
            limiter.record_request("i-1")
            sent_s.append(time.monotonic())


def most_in_a_second(sent_s: list[float]) -> int:
    return max(
        sum(t <= u < t + WINDOW_S - STEP_S / 2 for u in sent_s) for t in sent_s
    )


@pytest.mark.parametrize(("nodes", "per_s"), [(9, 49.0), (81, 24.0)])
def test_first_requests_of_all_nodes_do_not_exceed_a_cold_rate(
    nodes: int, per_s: float
) -> None:
    sent_s: list[float] = []
    send_all(make_limiters(nodes), per_s, sent_s)
    assert len(sent_s) <= TOLERANCE_FACTOR * per_s + TOLERANCE_REQUESTS


@pytest.mark.parametrize("per_s", [4.0, 24.0, 32.0, 49.0])
@pytest.mark.parametrize("nodes", [1, 6, 9, 24, 81])
def test_cold_server_gets_no_more_than_its_rate(
    clock: FrozenDateTimeFactory, nodes: int, per_s: float
) -> None:
    """All nodes send all that they may, also after a pause."""
    limiters = make_limiters(nodes)
    sent_s: list[float] = []
    for pause_s in (0.0, 60.0):
        clock.tick(pause_s)
        begun_s = time.monotonic()
        for _ in range(round(PLAYED_S / STEP_S)):
            send_all(limiters, per_s, sent_s)
            clock.tick(STEP_S)
        used = sum(at_s >= begun_s for at_s in sent_s)
        assert used >= per_s * PLAYED_S / 3
    allowed = TOLERANCE_FACTOR * per_s + TOLERANCE_REQUESTS
    assert most_in_a_second(sent_s) <= allowed


def test_cold_server_without_a_rate_is_not_limited() -> None:
    limiter = ColdStartLimiter(random.Random(1))
    assert all(limiter.may_send("i", None, 9) for _ in range(100))


def test_servers_without_later_requests_are_forgotten(
    clock: FrozenDateTimeFactory,
) -> None:
    limiter = ColdStartLimiter(random.Random(1))
    for number in range(1000):
        limiter.record_request(f"i-{number}")
        clock.tick(RETENTION_S / 100)
    assert len(limiter._sent) <= 101
