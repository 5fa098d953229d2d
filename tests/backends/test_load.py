"""Tests of load tracking and of the cold-start limit."""

import freezegun
import pytest

from savorylift.backends.cold_start import ColdStartLimiter
from savorylift.backends.load import (
    RESULT_WINDOW_S,
    Load,
    LoadTracker,
    sum_loads,
)
from savorylift.fleet.state import ServerLoad


def test_load_counts_only_requests_in_flight() -> None:
    tracker = LoadTracker()
    tracker.add_request("i", "a", 100)
    tracker.add_request("i", "b", 50)
    assert tracker.loads() == (ServerLoad("i", 2, 150, 0, 0, 0),)
    tracker.remove_request("i", "a")
    tracker.remove_request("i", "a")
    tracker.remove_request("i", "b")
    assert tracker.loads() == ()


def test_results_expire() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        tracker = LoadTracker()
        tracker.record_result("i", is_success=True)
        clock.tick(RESULT_WINDOW_S / 2)
        tracker.record_result("i", is_success=False)
        assert tracker.loads() == (ServerLoad("i", 0, 0, 0, 1, 1),)
        clock.tick(RESULT_WINDOW_S / 2 + 0.1)
        assert tracker.loads() == (ServerLoad("i", 0, 0, 0, 0, 1),)
        clock.tick(RESULT_WINDOW_S)
        assert tracker.loads() == ()


def test_loads_of_nodes_are_summed() -> None:
    parts = [ServerLoad("i", 1, 10, 4, 3, 1), ServerLoad("i", 2, 20, 5, 0, 2)]
    assert sum_loads(parts) == {"i": Load(3, 30, 9, 3, 3)}


@pytest.mark.parametrize(
    ("succeeded", "failed", "is_unhealthy"),
    [(0, 0, False), (0, 3, False), (0, 4, True), (9, 3, False), (5, 5, True)],
)
def test_few_failures_do_not_make_a_server_unhealthy(
    succeeded: int, failed: int, *, is_unhealthy: bool
) -> None:
    load = Load(succeeded=succeeded, failed=failed)
    assert load.is_unhealthy is is_unhealthy


@pytest.mark.parametrize("rate", [4.0, 32.0, 49.0])
@pytest.mark.parametrize("nodes", [1, 6, 9, 81])
def test_cold_server_gets_no_more_than_its_rate(
    rate: float, nodes: int
) -> None:
    """All nodes send as much as their share allows for ten seconds."""
    with freezegun.freeze_time("2026-01-01") as clock:
        limiters = [ColdStartLimiter() for _ in range(nodes)]
        sent: list[float] = []
        now_s = 0.0
        for _ in range(100):
            for limiter in limiters:
                while limiter.may_send("i", rate, nodes):
                    limiter.record_request("i")
                    sent.append(now_s)
            clock.tick(0.1)
            now_s += 0.1
        max_in_window = max(sum(s <= t < s + 0.95 for t in sent) for s in sent)
        # The rate plus the slack that cold servers are known to tolerate.
        assert max_in_window <= max(rate * 1.5 + 5, nodes)


def test_cold_server_without_a_rate_is_not_limited() -> None:
    limiter = ColdStartLimiter()
    assert all(limiter.may_send("i", None, 9) for _ in range(100))
