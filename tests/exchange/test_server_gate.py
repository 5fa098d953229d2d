"""Tests of whether a server may get a request now, and why not."""

import random
import time

import pytest

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.load import LoadTracker
from savorylift.backends.registry import BackendServer
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.server_block import Block
from savorylift.exchange.server_gate import ServerGate
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_places import ServerPlaces
from savorylift.fleet.membership import Membership
from savorylift.routing.configuration import Service
from tests.exchange.factories import make_server_entry, make_store_view

COLD_S = 60.0


class GateParts:
    """A gate, and what it reads."""

    def __init__(self) -> None:
        self.holds = ServerHolds(random.Random(1))
        self.load_tracker = LoadTracker()
        self.brittle = BrittleServices()
        self.store_view = make_store_view()
        self.places = ServerPlaces(
            Membership("127.0.0.1", ()),
            self.load_tracker,
            self.brittle,
            random.Random(1),
        )
        self.is_limit_open = True
        self.is_cold = False
        self.requests = 0
        self.gate = ServerGate(
            AllowedServers(self.store_view, {}, self.holds),
            self.holds,
            lambda _: self.is_limit_open,
            self.places,
        )

    def find_block(self, **changes: object) -> Block | None:
        """Returns what blocks the server with these changes of its entry."""
        server = self.make_server(**changes)
        demand = self.places.demand(Service("s", 1.0, None))
        return self.gate.find_block(server, demand, self.requests)

    def make_server(self, **changes: object) -> BackendServer:
        """Returns the server with these changes of its entry."""
        entry = make_server_entry()._replace(**changes)  # type: ignore[arg-type]
        cold_until_s = time.monotonic() + COLD_S * self.is_cold
        return BackendServer(entry, cold_until_s)


def test_sound_server_is_open() -> None:
    assert GateParts().find_block() is None


def test_server_that_leaves_is_blocked() -> None:
    assert GateParts().find_block(is_leaving=True) is Block.LEAVING


@pytest.mark.parametrize("out", ["i-1", "z1"])
def test_server_out_of_service_is_blocked(out: str) -> None:
    parts = GateParts()
    parts.store_view.evacuated = frozenset({out})
    assert parts.find_block() is Block.OUT_OF_SERVICE


def test_server_on_hold_is_blocked() -> None:
    parts = GateParts()
    parts.holds.record("i-1", 5.0)
    assert parts.find_block() is Block.HOLD
    assert parts.find_block(server_id="i-2") is None


def test_server_whose_limit_is_used_up_is_blocked() -> None:
    parts = GateParts()
    parts.is_limit_open = False
    assert parts.find_block() is Block.LIMIT


def test_cold_server_is_blocked_beyond_its_rate() -> None:
    parts = GateParts()
    parts.is_cold = True
    assert parts.find_block() is None
    parts.places.record_start(parts.make_server())
    assert parts.find_block() is Block.COLD


def test_cold_server_is_blocked_beyond_its_places() -> None:
    parts = GateParts()
    parts.is_cold = True
    assert parts.find_block(max_cold_requests=1) is None
    parts.load_tracker.add_request("i-1", "a1", 0, 0)
    assert parts.find_block(max_cold_requests=1) is Block.COLD
    assert parts.find_block(max_cold_requests=2) is None


def test_full_server_is_blocked() -> None:
    parts = GateParts()
    parts.requests = 3
    assert parts.find_block(max_cold_requests=1, slots=3) is Block.FULL
    assert parts.find_block(max_cold_requests=1, slots=4) is None


def test_brittle_server_is_blocked_beyond_its_slots() -> None:
    parts = GateParts()
    parts.brittle.record("s")
    assert parts.find_block(slots=1) is None
    parts.load_tracker.add_request("i-1", "a1", 0, 0)
    assert parts.find_block(slots=1) is Block.BRITTLE


def test_what_lasts_longest_is_named_first() -> None:
    parts = GateParts()
    parts.is_limit_open = False
    assert parts.find_block() is Block.LIMIT
    parts.holds.record("i-1", 5.0)
    assert parts.find_block() is Block.HOLD
    parts.store_view.evacuated = frozenset({"i-1"})
    assert parts.find_block() is Block.OUT_OF_SERVICE
    assert parts.find_block(is_leaving=True) is Block.LEAVING
