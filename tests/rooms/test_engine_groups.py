"""Tests of services whose engines have several keepers."""

import random

import freezegun
import hypothesis
import hypothesis.strategies as st
import pytest

from savorylift.placement.engines import MAX_MEMORY_SHARE
from savorylift.rooms.book import Grant, PlaceKey
from savorylift.rooms.engine_groups import (
    CACHE_S,
    MAX_GROUPS,
    EngineGroups,
    RoomId,
    count_groups,
    find_rooms,
    select_group,
)
from savorylift.rooms.service_room import ServiceRoom
from tests.rooms.factories import SERVICE, TRAITS, make_engines, make_request

ENGINES = make_engines(*(f"e{number}" for number in range(8)))


@pytest.mark.parametrize(
    ("engines", "groups"),
    [(0, 1), (30, 1), (47, 1), (48, 2), (95, 2), (96, 4), (10**6, MAX_GROUPS)],
)
def test_only_services_with_many_engines_are_divided(
    engines: int, groups: int
) -> None:
    assert count_groups(engines) == groups


@hypothesis.given(
    st.sampled_from([1, 2, 4, 8, 16]), st.text(max_size=20), st.text()
)
def test_each_engine_has_one_keeper_and_each_request_two(
    groups: int, request_id: str, server_id: str
) -> None:
    rooms = [RoomId(SERVICE, group, groups) for group in range(groups)]
    assert sum(room.has_engine(server_id) for room in rooms) == 1
    asked = list(find_rooms(SERVICE, groups, request_id))
    assert len(asked) == len(set(asked)) == min(groups, 2)
    assert set(asked) <= set(rooms)
    # A repeat of the request comes to the same keepers.
    assert asked == list(find_rooms(SERVICE, groups, request_id))


def test_requests_and_engines_are_spread_evenly() -> None:
    rooms = [RoomId(SERVICE, group, 8) for group in range(8)]
    for room in rooms:
        engines = sum(room.has_engine(f"run-{n}") for n in range(800))
        assert 70 < engines < 130
    firsts = [next(find_rooms(SERVICE, 8, f"{n:012x}")) for n in range(800)]
    assert all(70 < firsts.count(room) < 130 for room in rooms)


def test_service_without_groups_is_named_as_in_earlier_builds() -> None:
    """Nodes with old and new builds choose the same keeper."""
    assert RoomId(SERVICE).name == SERVICE
    assert select_group(ENGINES, RoomId(SERVICE)) is ENGINES


def test_change_of_the_number_of_groups_is_noticed() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        engines = 30
        groups = EngineGroups(lambda _: engines)
        assert groups.count(SERVICE) == 1
        assert groups.changed_s(SERVICE) == float("-inf")
        engines = 60
        assert groups.count(SERVICE) == 1
        clock.tick(CACHE_S)
        assert groups.count(SERVICE) == 2
        changed_s = groups.changed_s(SERVICE)
        clock.tick(CACHE_S)
        assert groups.changed_s(SERVICE) == changed_s


@hypothesis.given(
    st.lists(
        st.one_of(
            st.tuples(st.just("ask"), st.integers(0, 40), st.integers(1, 9000)),
            st.tuples(st.just("end"), st.integers(0, 40), st.just(0)),
            st.tuples(st.just("tick"), st.integers(1, 12), st.just(0)),
        ),
        max_size=80,
    )
)
def test_no_place_is_granted_twice_by_two_keepers(
    steps: list[tuple[str, int, int]],
) -> None:
    """Whichever of them requests come to, also to one after the other."""
    with freezegun.freeze_time("2026-01-01") as clock:
        rooms = {
            RoomId(SERVICE, group, 4): ServiceRoom(random.Random(group))
            for group in range(4)
        }
        held: dict[PlaceKey, Grant] = {}
        for kind, number, tokens in steps:
            key = PlaceKey("n1", number)
            first, second = find_rooms(SERVICE, 4, f"r{number}")
            if kind == "tick":
                clock.tick(number / 10)
            elif kind == "end":
                rooms[first].end(key)
                rooms[second].end(key)
                held.pop(key, None)
            elif key not in held:
                rooms[first].add(key, make_request(number, tokens))
            for room_id, room in rooms.items():
                for decision in room.dispatch(select_group(ENGINES, room_id)):
                    grant = room._book.find(decision.key)
                    if grant is None:
                        continue
                    assert decision.key not in held
                    assert room_id.has_engine(grant.server_id)
                    held[decision.key] = grant
            for server in ENGINES.servers:
                name = server.entry.server_id
                mine = [g.tokens for g in held.values() if g.server_id == name]
                limit = TRAITS.memory_tokens * MAX_MEMORY_SHARE
                assert len(mine) <= TRAITS.slots
                assert sum(mine) <= limit or len(mine) == 1
