"""Tests of services whose engines have several keepers."""

import random
import time

import freezegun
import hypothesis
import hypothesis.strategies as st
import pytest

from savorylift.fleet.state import DividedService
from savorylift.placement.engines import MAX_MEMORY_SHARE
from savorylift.rooms.book import Grant, PlaceKey
from savorylift.rooms.engine_groups import (
    CACHE_S,
    MAX_GROUPS,
    MAX_SERVICES,
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


@pytest.mark.parametrize(
    ("counts", "groups"),
    [
        ((47, 48, 47, 49, 41, 48, 40), (1, 2, 2, 2, 2, 2, 2)),
        ((48, 39, 40, 47, 48), (2, 1, 1, 1, 2)),
        ((96, 95, 80, 96, 79, 95), (4, 4, 4, 4, 2, 2)),
        ((384, 320, 319, 159, 10), (16, 16, 8, 4, 1)),
    ],
)
def test_number_of_engines_that_swings_divides_them_once(
    counts: tuple[int, ...], groups: tuple[int, ...]
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        left = iter(counts)
        divided = EngineGroups(lambda _: next(left))
        found = []
        for _ in counts:
            clock.tick(CACHE_S)
            found.append(divided.count(SERVICE))
        assert tuple(found) == groups


def test_node_that_starts_counts_as_the_others_do() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        engines = 48
        old = EngineGroups(lambda _: engines)
        assert old.count(SERVICE) == 2
        engines = 44
        new = EngineGroups(lambda _: engines)
        assert new.count(SERVICE) == 1
        new.hear(old.news())
        clock.tick(CACHE_S)
        assert new.count(SERVICE) == 2
        assert new.changed_s(SERVICE) == time.monotonic()
        # What was said before the service shrank is of no use.
        said = old.news()
        engines = 39
        clock.tick(CACHE_S)
        assert new.count(SERVICE) == 1
        new.hear(said)
        clock.tick(CACHE_S)
        assert new.count(SERVICE) == 1
        assert new.news() == ()


@pytest.mark.parametrize("groups", [-2, 0, 1, 3, 32, 10**9])
def test_numbers_of_groups_that_make_no_sense_are_dropped(groups: int) -> None:
    divided = EngineGroups(lambda _: 44)
    divided.hear([DividedService(SERVICE, groups)])
    assert divided.count(SERVICE) == 1


def test_no_more_services_are_kept_than_the_bound() -> None:
    divided = EngineGroups(lambda _: 44)
    for number in range(2 * MAX_SERVICES):
        divided.hear([DividedService(f"s{number}", 2)])
    assert len(divided._heard) <= MAX_SERVICES


def make_groups(counts: list[int], number: int) -> EngineGroups:
    """Returns the groups as a node counts them that sees so many engines."""
    return EngineGroups(lambda _: counts[number])


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["count", "hear"]),
            st.integers(0, 3),
            st.integers(0, 3),
            st.integers(30, 110),
        ),
        max_size=40,
    ),
    st.integers(30, 110),
)
def test_nodes_agree_whatever_they_counted_before(
    steps: list[tuple[str, int, int, int]], engines: int
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        counts = [0] * 4
        nodes = [make_groups(counts, n) for n in range(4)]
        for kind, node, other, count in steps:
            if kind == "count":
                clock.tick(CACHE_S)
                counts[node] = count
                nodes[node].count(SERVICE)
            else:
                nodes[node].hear(nodes[other].news())
        counts[:] = [engines] * 4
        clock.tick(CACHE_S)
        # Each node tells all others once.
        for divided in nodes:
            divided.count(SERVICE)
            for listener in nodes:
                listener.hear(divided.news())
        clock.tick(CACHE_S)
        found = {divided.count(SERVICE) for divided in nodes}
        assert len(found) == 1
        assert count_groups(engines) in (*found, *(n // 2 for n in found))


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
