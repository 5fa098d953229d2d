"""Tests of what the planner of moves does with the engines."""

import random
import time
from types import SimpleNamespace

import freezegun

from savorylift.fleet.membership import Membership
from savorylift.fleet.state import ServerLoad
from savorylift.front.engine_site import EngineSite
from savorylift.moves.move_order import PlannedMove
from savorylift.rooms.book import SETTLE_S, PlaceKey
from savorylift.rooms.service_room import ServiceRoom
from tests.exchange.factories import make_pool, make_store_view
from tests.fleet.test_membership import state
from tests.rooms.factories import (
    ip_of,
    make_engines,
    make_load,
    make_membership,
    make_request,
)


class FakeRoom:
    """Notes what is kept for moves."""

    def __init__(self) -> None:
        """Keeps nothing."""
        self.held: dict[str, int] = {}

    def hold(self, tokens: dict[str, int]) -> None:
        """Keeps tokens instead of those before."""
        self.held = tokens


def test_what_was_kept_for_moves_leaves_nothing_behind() -> None:
    room = FakeRoom()
    keeper = SimpleNamespace(rooms_of=lambda _: {"room": room})
    rooms = SimpleNamespace(keeper=keeper)
    pool = make_pool(make_store_view(a=9))
    site = EngineSite(pool, Membership("127.0.0.1", ()), rooms)  # type: ignore[arg-type]
    site.hold("s", {"a": 100})
    assert room.held == {"a": 100}
    assert site._held == {"s": {"a": 100}}
    site.hold("s", {})
    assert room.held == {}
    assert site._held == {}


def test_copies_that_are_announced_count_in_the_room_that_is_kept() -> None:
    """The keeper itself hears of its own node only when it decides."""
    heard: dict[str, tuple[ServerLoad, ...]] = {}
    rooms = SimpleNamespace(
        keeper=SimpleNamespace(hear=heard.__setitem__),
        choice=SimpleNamespace(own_ip=ip_of(1)),
    )
    pool, members = make_pool(make_store_view(a=9)), make_membership(1)
    site = EngineSite(pool, members, rooms)  # type: ignore[arg-type]
    pool.load_tracker.add_request("a", "copy", 700)
    load = make_load("a", 1, 500)
    move = PlannedMove("b", 400, "x", destination="a")
    told = state(2)._replace(loads=(load,), moves=(move,), sequence=2)
    members.update_peer(told, time.monotonic())
    assert site.find_announced() == [move]
    assert set(heard) == {ip_of(1), ip_of(2)}
    assert [load.tokens for load in heard[ip_of(1)]] == [700]
    assert heard[ip_of(2)] == (load,)


def test_old_loads_beside_announced_moves_end_no_place_granted_since() -> None:
    """In large fleets nodes tell their loads more seldom than this."""
    with freezegun.freeze_time("2026-01-01") as clock:
        room, engines = ServiceRoom(random.Random(1)), make_engines("a")
        rooms = SimpleNamespace(
            keeper=SimpleNamespace(hear=room.hear),
            choice=SimpleNamespace(own_ip=ip_of(1)),
        )
        pool, members = make_pool(make_store_view(a=9)), make_membership(1)
        site = EngineSite(pool, members, rooms)  # type: ignore[arg-type]
        move = PlannedMove("b", 400, "x")
        told = state(2)._replace(moves=(move,), sequence=2, interval_s=100.0)
        members.update_peer(told, time.monotonic())
        room.hear(told.ip, told.loads)
        clock.tick(0.01)
        room.add(PlaceKey(told.ip, 1), make_request(1))
        assert len(list(room.dispatch(engines))) == 1
        assert room.loads(engines)["a"].requests == 1
        clock.tick(SETTLE_S + 0.1)
        assert site.find_announced() == [move]
        assert room.loads(engines)["a"].requests == 1
