"""Tests of who is there, who reads the store and where callers connect."""

import pytest

from savorylift.fleet.membership import FORGET_S, LIVE_S, Membership
from savorylift.fleet.state import NodeState

ME = "10.0.0.1"


def state(number: int = 1) -> NodeState:
    return NodeState(
        node=f"n{number}",
        ip=f"10.0.0.{number}",
        region="r",
        failure_domain=f"z{number % 3}",
        caller_address=f"10.0.0.{number}:80",
        incarnation=number,
        sequence=1,
        is_ready=True,
        is_leaving=False,
        operators_version=0,
        servers_version=(0, 0),
        reading_age_s=None,
        has_store_fault=False,
        loads=(),
        moves=(),
        interval_s=0.2,
        peers=(),
    )


def membership(*states: NodeState, now_s: float = 0.0) -> Membership:
    found = Membership(ME, ())
    for item in states:
        found.hear(item, now_s)
    return found


def live(found: Membership, now_s: float) -> list[str]:
    return [heard.state.node for heard in found.live(now_s)]


def test_silent_nodes_are_not_live() -> None:
    found = membership(state(2))
    assert live(found, LIVE_S) == ["n2"]
    assert live(found, LIVE_S + 0.1) == []


def test_messages_that_arrive_late_change_nothing() -> None:
    found = membership(state(2)._replace(sequence=5, is_leaving=True))
    found.hear(state(2)._replace(sequence=4), 0.1)
    (heard,) = found.live(0.1)
    assert heard.state.is_leaving


def test_restarted_node_replaces_the_one_before_for_good() -> None:
    found = membership(state(2)._replace(sequence=50))
    assert found.hear(state(2)._replace(incarnation=99), 0.1)
    assert not found.hear(state(2)._replace(sequence=51), 0.2)
    (heard,) = found.live(0.2)
    assert heard.state.incarnation == 99


def test_learns_addresses_from_others_and_forgets_silent_ones() -> None:
    found = Membership(ME, ("10.0.0.9",))
    found.hear(state(2)._replace(peers=("10.0.0.3", ME)), 1.0)
    assert set(found.addresses) == {"10.0.0.9", "10.0.0.2", "10.0.0.3"}
    found.forget_silent(2.0 + FORGET_S)
    assert found.addresses == ("10.0.0.9",)


@pytest.mark.parametrize(
    ("me", "others", "expected"),
    [
        (state(1), [state(2)], {"10.0.0.1:80", "10.0.0.2:80"}),
        (state(1), [state(2)._replace(is_leaving=True)], {"10.0.0.1:80"}),
        (state(1)._replace(is_ready=False), [state(2)], {"10.0.0.2:80"}),
        (state(1)._replace(is_ready=False), [], {"10.0.0.1:80"}),
        (
            state(1)._replace(is_ready=False, is_leaving=True),
            [state(2)._replace(is_ready=False)],
            {"10.0.0.2:80"},
        ),
        (state(1), [state(2)._replace(region="far")], {"10.0.0.1:80"}),
        (
            state(1)._replace(is_ready=False),
            [state(2)._replace(region="far")],
            {"10.0.0.2:80"},
        ),
    ],
)
def test_where_callers_connect(
    me: NodeState, others: list[NodeState], expected: set[str]
) -> None:
    found = membership(*others)
    assert set(found.callers_addresses(me, "r", (), 0.1)) == expected


def test_killed_node_leaves_the_answers() -> None:
    found = membership(state(2))
    assert len(found.callers_addresses(state(1), "r", (), 0.5)) == 2
    assert found.callers_addresses(state(1), "r", (), 1.5) == ["10.0.0.1:80"]


def readers(states: list[NodeState]) -> list[NodeState]:
    chosen = []
    for me in states:
        found = Membership(me.ip, ())
        for other in states:
            found.hear(other, 0.0)
        if found.is_reader(me, 0.1):
            chosen.append(me)
    return chosen


def test_two_nodes_in_two_domains_read() -> None:
    chosen = readers([state(n) for n in range(1, 10)])
    assert len(chosen) == 2
    assert len({node.failure_domain for node in chosen}) == 2


def test_nodes_that_the_store_fails_do_not_read() -> None:
    states = [state(n)._replace(has_store_fault=n < 8) for n in range(1, 10)]
    assert {node.node for node in readers(states)} == {"n8", "n9"}


def test_someone_reads_when_the_store_fails_all() -> None:
    states = [state(n)._replace(has_store_fault=True) for n in range(1, 10)]
    assert len(readers(states)) == 2


def test_node_alone_reads() -> None:
    assert readers([state(1)]) == [state(1)]


def test_age_of_others_readings_grows() -> None:
    found = membership(
        state(2)._replace(reading_age_s=0.4),
        state(3)._replace(reading_age_s=0.1),
    )
    assert found.reading_age_s(0.5) == pytest.approx(0.6)
    assert found.reading_age_s(LIVE_S + 1) is None


def test_callers_far_from_every_node_are_sent_to_a_home_region() -> None:
    states = [state(n)._replace(region=f"r{n}") for n in (2, 3)]
    found = membership(*states)
    me = state(1)._replace(region="r1")

    def named(region: str, homes: set[str]) -> set[str]:
        return set(found.callers_addresses(me, region, homes, 0.1))

    assert named("r2", {"r3"}) == {"10.0.0.2:80"}
    assert named("elsewhere", {"r3"}) == {"10.0.0.3:80"}
    assert len(named("elsewhere", set())) == 3


def test_remembers_only_the_last_incarnations_of_a_node() -> None:
    found = membership()
    for incarnation in range(100):
        found.hear(state(2)._replace(incarnation=incarnation), 1.0)
    assert len(found._retired["10.0.0.2"]) <= 8
    found.forget_silent(FORGET_S + 2)
    assert not found._retired


@pytest.mark.parametrize(("places", "nodes"), [(4, 6), (4, 4), (9, 4), (1, 3)])
def test_places_of_a_server_are_shared_without_overlap(
    places: int, nodes: int
) -> None:
    total = 0
    for me in range(1, nodes + 1):
        found = Membership(f"10.0.0.{me}", ())
        for other in range(1, nodes + 1):
            found.hear(state(other), 0.0)
        total += found.own_share("server", places, 0.1)
    assert total == places
