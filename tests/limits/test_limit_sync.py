"""Tests of what nodes tell each other of the limits that servers name."""

from collections.abc import Iterator
from typing import cast

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.fleet.limit_messages import LimitMessage, LimitNews
from savorylift.limits.limit_sync import MIN_NEWS_INTERVAL_S, LimitSync
from savorylift.limits.permit_issuer import PermitIssuer
from tests.exchange.factories import make_server
from tests.limits.test_limit_gate import make_head

SERVER = make_server()
ISSUER_IP = "10.0.0.0"
INTERVAL_S = 0.3
ANSWERS_PER_S = 30
LASTS_S = 20


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time() as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


class FixedIssuer:
    """A view of who issues permits: always the same node."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        is_issuer = ip == ISSUER_IP
        ids = {SERVER.entry.server_id} if is_issuer else set()
        self.issued_ids = frozenset(ids)

    def is_own_ip(self, ip: str) -> bool:
        return ip == self._ip

    def find_issuer(self, _server_id: str) -> str:
        return ISSUER_IP


class Fleet:
    """Nodes that hear each other at once, and count their messages."""

    def __init__(self, nodes: int) -> None:
        self.sent = 0
        self._syncs = {
            f"10.0.0.{n}": self._make(f"10.0.0.{n}") for n in range(nodes)
        }

    def _make(self, own_ip: str) -> LimitSync:
        def send(message: LimitMessage, ip: str | None) -> None:
            assert isinstance(message, LimitNews)
            targets = [ip] if ip else [t for t in self._syncs if t != own_ip]
            self.sent += len(targets)
            for target in targets:
                self._syncs[target].merge(message.reports, own_ip)

        issuer = cast("PermitIssuer", FixedIssuer(own_ip))
        return LimitSync(
            issuer, send, lambda: INTERVAL_S, lambda _: True, lambda _: None
        )

    def answer(self, number: int, limit: float | None) -> None:
        """Lets a node get an answer of the server."""
        sync = self._syncs[f"10.0.0.{number % len(self._syncs)}"]
        sync.record_head(SERVER, f"r{number}", make_head(limit))

    def update(self) -> None:
        for sync in self._syncs.values():
            sync.update()

    def count_limited(self) -> int:
        return sum(
            sync.limits.find(SERVER.entry) is not None
            for sync in self._syncs.values()
        )


def test_limit_that_comes_and_goes_is_told_at_a_bounded_rate(
    clock: FrozenDateTimeFactory,
) -> None:
    nodes = 24
    fleet = Fleet(nodes)
    for number in range(ANSWERS_PER_S * LASTS_S):
        clock.tick(1 / ANSWERS_PER_S)
        fleet.answer(number, 1.8 if number % 2 else None)
        fleet.update()
    # Each second one node tells all, the issuer repeats it at each interval,
    # and each answer is told to the issuer.
    repeats_per_s = 1 / MIN_NEWS_INTERVAL_S + 1 / INTERVAL_S
    most_per_s = (nodes - 1) * (repeats_per_s + 1) + ANSWERS_PER_S
    assert fleet.sent <= most_per_s * LASTS_S


def test_limit_that_begins_is_told_to_all_at_once(
    clock: FrozenDateTimeFactory,
) -> None:
    fleet = Fleet(24)
    fleet.answer(3, 1.8)
    assert fleet.count_limited() == 24
    clock.tick(MIN_NEWS_INTERVAL_S)
    fleet.update()
    fleet.answer(5, None)
    assert fleet.count_limited() == 0


def test_limit_that_begins_again_soon_is_known_to_all_within_an_interval(
    clock: FrozenDateTimeFactory,
) -> None:
    fleet = Fleet(24)
    for limit in (1.8, None, 1.8):
        clock.tick(0.1)
        fleet.answer(3, limit)
    clock.tick(INTERVAL_S)
    fleet.update()
    assert fleet.count_limited() == 24
