"""Tests of which waiting generation gets which engine."""

import random

import freezegun
import hypothesis
import hypothesis.strategies as st
import pytest

from savorylift.fleet.room_messages import RoomOutcome, RoomRequest
from savorylift.placement.engines import MAX_MEMORY_SHARE
from savorylift.placement.memory_release_rate import MIN_RELEASES
from savorylift.placement.return_schedule import OVERFLOW_SHARE
from savorylift.placement.turn_away import MAX_RETURN_S
from savorylift.placement.wait_queue import BYPASS_LIMIT_S
from savorylift.rooms.book import PlaceKey
from savorylift.rooms.engines import Engines
from savorylift.rooms.service_room import MAX_SILENCE_S, ServiceRoom
from tests.rooms.factories import TRAITS, ip_of, make_engines, make_request


def make_room() -> ServiceRoom:
    return ServiceRoom(random.Random(1))


def key(number: int, node: int = 1) -> PlaceKey:
    return PlaceKey(ip_of(node), number)


def granted(room: ServiceRoom, engines: Engines) -> list[int]:
    """Returns the numbers of the requests that get a place now, in order."""
    return [
        decision.key.number
        for decision in room.dispatch(engines)
        if decision.reply.outcome == RoomOutcome.GRANTED
    ]


def fill(room: ServiceRoom, engines: Engines, tokens: int) -> PlaceKey:
    """Takes memory of an engine; returns the key of the place."""
    place = key(9999)
    room.add(place, make_request(9999, tokens))
    assert granted(room, engines) == [9999]
    return place


def test_order_spans_the_nodes() -> None:
    room, engines = make_room(), make_engines("e")
    place = fill(room, engines, 9000)
    room.add(key(1, node=2), make_request(1)._replace(priority=2))
    room.add(key(2, node=3), make_request(2)._replace(start_in_s=-0.1))
    room.add(key(3, node=4), make_request(3)._replace(priority=0))
    assert granted(room, engines) == []
    room.end(place)
    assert granted(room, engines) == [3, 1, 2]


@pytest.mark.parametrize(
    ("changes", "engine"),
    [
        ({"excluded": ("a",)}, "b"),
        ({"regions": ("r",)}, "a"),
        ({"regions": ("other",)}, None),
        ({"regions": ()}, None),
        ({"software_version": "none"}, None),
    ],
)
def test_only_allowed_engines_are_granted(
    changes: dict[str, object], engine: str | None
) -> None:
    room = make_room()
    engines = make_engines("a", "b") if engine == "b" else make_engines("a")
    room.add(key(1), make_request()._replace(**changes))  # type: ignore[arg-type]
    list(room.dispatch(engines))
    assert room.find_engine(key(1)) == engine


def test_spare_engines_are_granted_only_while_no_other_has_room() -> None:
    room, engines = make_room(), make_engines("a", "b")
    for number in (1, 2):
        large = make_request(number, 8000)._replace(spare=("a",))
        room.add(key(number), large)
        assert granted(room, engines) == [number]
    assert room.find_engine(key(1)) == "b"
    assert room.find_engine(key(2)) == "a"


def test_large_generation_keeps_one_engine_and_not_the_others() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        room, one = make_room(), make_engines("a")
        place = fill(room, one, 5000)
        room.add(key(1), make_request(1, 8000))
        assert granted(room, one) == []
        clock.tick(BYPASS_LIMIT_S + 0.1)
        room.add(key(2), make_request(2, 1000))
        assert granted(room, one) == []
        both = make_engines("a", "b")
        room.add(key(3), make_request(3, 1000))
        # The second engine takes the large one, the first one the others.
        assert granted(room, both) == [1, 2, 3]
        room.end(place)


def test_large_generation_keeps_the_same_engine_until_it_fits() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        room, engines = make_room(), make_engines("a", "b")
        place = fill(room, make_engines("a"), 5000)
        other = key(9998)
        room.add(other, make_request(9998, 5010))
        assert granted(room, make_engines("b")) == [9998]
        large = make_request(1, 8000)._replace(start_in_s=60.0, leave_in_s=60.0)
        room.add(key(1), large)
        for number in range(2, 42):
            clock.tick(BYPASS_LIMIT_S + 0.1)
            room.add(key(1), large)
            room.add(key(number), make_request(number))
            assert granted(room, engines) == [number]
            assert room.find_engine(key(number)) == "b"
            room.end(key(number))
        room.end(place)
        assert granted(room, engines) == [1]
        assert room.find_engine(key(1)) == "a"


def test_less_urgent_ones_fill_no_engine_beyond_what_urgent_ones_bear() -> None:
    """Else these would find none, however early their turn is."""
    room, engines = make_room(), make_engines("a")
    urgent = make_request(1)._replace(priority=0, max_prefill_tokens=1000.0)
    room.add(key(1), urgent)
    assert granted(room, engines) == [1]
    room.add(key(2), make_request(2, 2000))
    assert granted(room, engines) == []
    room.add(key(3), urgent._replace(number=3))
    assert granted(room, engines) == [3]


def test_bound_of_one_node_that_is_far_off_holds_up_nobody() -> None:
    """Each node estimates by itself how fast engines prefill."""
    room, engines = make_room(), make_engines("a")
    for number in range(20):
        max_tokens = 600.0 if number == 10 else 9000.0
        urgent = make_request(number, 10)._replace(
            priority=0, max_prefill_tokens=max_tokens
        )
        room.add(key(number), urgent)
        assert granted(room, engines) == [number]
        room.end(key(number))
    room.add(key(100), make_request(100, 1000))
    room.add(key(101), make_request(101, 2000))
    assert granted(room, engines) == [100, 101]


def test_generations_of_silent_nodes_are_dropped() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        room, engines = make_room(), make_engines("a")
        place = fill(room, engines, 9000)
        room.add(key(1), make_request(1))
        room.add(key(2), make_request(2))
        clock.tick(MAX_SILENCE_S - 0.1)
        room.add(key(2), make_request(2))
        clock.tick(0.2)
        room.end(place)
        assert granted(room, engines) == [2]


def test_those_without_a_turn_in_time_are_refused_at_once() -> None:
    room, engines = make_room(), make_engines("a", "b", "c")
    for number in range(MIN_RELEASES):
        place = key(number, node=2)
        room.add(place, make_request(number, 500))
        list(room.dispatch(engines))
        room.end(place)
    for number in (101, 102, 103):
        room.add(key(number), make_request(number, 9500))
    assert len(granted(room, engines)) == 3
    room.add(key(1), make_request(1, 3000)._replace(priority=0))
    room.add(key(2), make_request(2, 3000)._replace(priority=2))
    (decision,) = room.dispatch(engines)
    assert decision.key == key(2)
    assert decision.reply.outcome == RoomOutcome.REFUSED
    # Of what becomes free, others that arrive take most before it. Those that
    # are told so return spread over the last part of that time.
    least_s = MAX_RETURN_S * (1 - OVERFLOW_SHARE)
    assert least_s <= decision.reply.return_in_s <= MAX_RETURN_S
    assert len(room) == 1


def request_of(number: int, tokens: int) -> RoomRequest:
    return make_request(number, tokens)


@hypothesis.given(
    st.lists(
        st.one_of(
            st.tuples(st.just("ask"), st.integers(0, 12), st.integers(1, 9000)),
            st.tuples(st.just("end"), st.integers(0, 12), st.just(0)),
            st.tuples(st.just("tick"), st.integers(1, 12), st.just(0)),
        ),
        max_size=60,
    )
)
def test_no_place_is_granted_twice_beyond_the_engines_bounds(
    steps: list[tuple[str, int, int]],
) -> None:
    """Whatever is asked for twice, lost, or told late."""
    with freezegun.freeze_time("2026-01-01") as clock:
        room, engines = make_room(), make_engines("a", "b")
        held: dict[PlaceKey, tuple[str, int]] = {}
        wanted: dict[PlaceKey, int] = {}
        for kind, number, tokens in steps:
            place = key(number, node=number % 3 + 1)
            if kind == "ask" and place not in held:
                wanted.setdefault(place, tokens)
                room.add(place, request_of(number, wanted[place]))
            elif kind == "end":
                room.end(place)
                held.pop(place, None)
                wanted.pop(place, None)
            elif kind == "tick":
                clock.tick(number / 10)
            for decision in room.dispatch(engines):
                server_id = decision.reply.server_id
                assert decision.key not in held
                if server_id is not None:
                    held[decision.key] = server_id, wanted[decision.key]
            for server in engines.servers:
                mine = [
                    t for s, t in held.values() if s == server.entry.server_id
                ]
                assert len(mine) <= TRAITS.slots
                limit = TRAITS.memory_tokens * MAX_MEMORY_SHARE
                assert sum(mine) <= limit or len(mine) == 1


def test_slow_engine_is_granted_after_usual_ones() -> None:
    room = make_room()
    engines = make_engines("slow", "usual")._replace(
        slowdown=lambda server_id: 2.0 if server_id == "slow" else 1.0
    )
    room.add(key(1), make_request(1))
    assert granted(room, engines) == [1]
    assert room.find_engine(key(1)) == "usual"


def test_room_that_is_held_for_moves_is_not_granted() -> None:
    room, engines = make_room(), make_engines("a", "b")
    room.hold({"a": 9000})
    assert room.loads(engines)["a"].tokens == 9000
    for number in (1, 2):
        room.add(key(number), make_request(number, 4000))
    assert granted(room, engines) == [1, 2]
    assert {room.find_engine(key(n)) for n in (1, 2)} == {"b"}
    # An engine counts as idle only without moves, too.
    room.add(key(3), make_request(3, 4000))
    assert granted(room, engines) == []
    room.hold({})
    assert granted(room, engines) == [3]
