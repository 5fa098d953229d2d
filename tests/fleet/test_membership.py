"""Tests of live nodes and callers' addresses."""

import pytest

from savorylift.fleet.caller_choice import find_reaching
from savorylift.fleet.membership import (
    FORGET_TIMEOUT_S,
    LIVENESS_TIMEOUT_S,
    Membership,
)
from savorylift.fleet.peer_transport import BASE_INTERVAL_S
from savorylift.fleet.size_scaling import SMALL_FLEET_NODES
from savorylift.fleet.state import NodeState
from savorylift.front.maintenance import MAINTENANCE_INTERVAL_S

ME = "10.0.0.1"
# No caller may be sent to a node this long after its end.
LATEST_NAMED_S = 6.0


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
    members = Membership(ME, ())
    for item in states:
        members.update_peer(item, now_s)
    return members


def live(members: Membership, now_s: float) -> list[str]:
    return [peer.state.node for peer in members.live_peers(now_s)]


def run(members: Membership, from_s: float, to_s: float) -> None:
    """Lets the process of a node run for a while."""
    now_s = from_s
    while now_s <= to_s:
        members.note_running(now_s)
        now_s += MAINTENANCE_INTERVAL_S


def test_node_that_stood_still_takes_no_other_for_dead() -> None:
    members = membership()
    run(members, 0.0, 0.8)
    members.update_peer(state(2), 0.9)
    standstill_s = 5 * LIVENESS_TIMEOUT_S
    assert live(members, 0.9 + standstill_s) == ["n2"]
    members.note_running(0.9 + standstill_s)
    assert live(members, 1.0 + standstill_s) == ["n2"]


def test_node_that_died_in_a_standstill_is_silent_soon_after_it() -> None:
    members = membership()
    run(members, 0.0, 0.8)
    members.update_peer(state(2), 0.9)
    run(members, 10.0, 10.0 + LIVENESS_TIMEOUT_S)
    assert live(members, 10.0 + LIVENESS_TIMEOUT_S) == []


def test_node_is_silent_as_soon_beside_one_that_runs() -> None:
    members = membership()
    run(members, 0.0, 0.8)
    members.update_peer(state(2), 0.9)
    run(members, 1.0, 1.9)
    assert live(members, 0.8 + LIVENESS_TIMEOUT_S) == ["n2"]
    assert live(members, 1.0 + LIVENESS_TIMEOUT_S) == []


def test_silent_nodes_are_not_live() -> None:
    members = membership(state(2))
    assert live(members, LIVENESS_TIMEOUT_S) == ["n2"]
    assert live(members, LIVENESS_TIMEOUT_S + 0.1) == []


def test_messages_out_of_order_are_ignored() -> None:
    members = membership(state(2)._replace(sequence=5, is_leaving=True))
    members.update_peer(state(2)._replace(sequence=4), 0.1)
    (peer,) = members.live_peers(0.1)
    assert peer.state.is_leaving


def test_restarted_node_replaces_its_earlier_incarnation() -> None:
    members = membership(state(2)._replace(sequence=50))
    assert members.update_peer(state(2)._replace(incarnation=99), 0.1)
    assert not members.update_peer(state(2)._replace(sequence=51), 0.2)
    (peer,) = members.live_peers(0.2)
    assert peer.state.incarnation == 99


def test_addresses_named_by_peers_are_dropped_after_silence() -> None:
    members = Membership(ME, ("10.0.0.9",))
    members.update_peer(state(2)._replace(peers=("10.0.0.3", ME)), 1.0)
    assert set(members.addresses) == {"10.0.0.9", "10.0.0.2", "10.0.0.3"}
    members.forget_silent(2.0 + FORGET_TIMEOUT_S)
    assert members.addresses == ("10.0.0.9",)


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
def test_callers_get_addresses_of_usable_nodes(
    me: NodeState, others: list[NodeState], expected: set[str]
) -> None:
    members = membership(*others)
    assert set(members.caller_addresses(me, "r", (), 0.1)) == expected


def test_killed_node_is_not_given_to_callers() -> None:
    members = membership(state(2))
    assert len(members.caller_addresses(state(1), "r", (), 0.5)) == 2
    assert members.caller_addresses(state(1), "r", (), 1.5) == ["10.0.0.1:80"]


@pytest.mark.parametrize("nodes", [9, 24, 60, 128, 300])
def test_callers_are_not_sent_to_a_node_that_ended_in_a_large_fleet(
    nodes: int,
) -> None:
    interval_s = BASE_INTERVAL_S * max(1.0, nodes / SMALL_FLEET_NODES)
    members = membership(state(2)._replace(interval_s=interval_s))
    run(members, 0.0, LATEST_NAMED_S)
    found = members.caller_addresses(state(1), "r", (), LATEST_NAMED_S)
    assert found == ["10.0.0.1:80"]


@pytest.mark.parametrize("nodes", [9, 24, 60, 128, 300])
def test_callers_are_sent_to_a_node_between_its_messages(nodes: int) -> None:
    interval_s = BASE_INTERVAL_S * max(1.0, nodes / SMALL_FLEET_NODES)
    members = membership(state(2)._replace(interval_s=interval_s))
    run(members, 0.0, interval_s)
    found = members.caller_addresses(state(1), "r", (), interval_s)
    assert set(found) == {"10.0.0.1:80", "10.0.0.2:80"}


def test_callers_in_a_region_without_nodes_get_a_home_region() -> None:
    states = [state(n)._replace(region=f"r{n}") for n in (2, 3)]
    members = membership(*states)
    me = state(1)._replace(region="r1")

    def addresses(region: str, homes: set[str]) -> set[str]:
        return set(members.caller_addresses(me, region, homes, 0.1))

    assert addresses("r2", {"r3"}) == {"10.0.0.2:80"}
    assert addresses("elsewhere", {"r3"}) == {"10.0.0.3:80"}
    assert len(addresses("elsewhere", set())) == 3


def test_number_of_retired_incarnations_is_bounded() -> None:
    members = membership()
    for incarnation in range(100):
        members.update_peer(state(2)._replace(incarnation=incarnation), 1.0)
    assert len(members._retired._by_ip["10.0.0.2"]) <= 8
    members.forget_silent(FORGET_TIMEOUT_S + 2)
    assert not members._retired._by_ip


@pytest.mark.parametrize(("slots", "nodes"), [(4, 6), (4, 4), (9, 4), (1, 3)])
def test_slots_of_a_server_are_shared_without_overlap(
    slots: int, nodes: int
) -> None:
    total = 0
    for me in range(1, nodes + 1):
        members = Membership(f"10.0.0.{me}", ())
        for other in range(1, nodes + 1):
            members.update_peer(state(other), 0.0)
        total += members.own_share("server", slots, 0.1)
    assert total == slots


@pytest.mark.parametrize(
    ("heard_s", "now_s", "share"),
    [
        ({2: 0.0, 3: 0.0}, 0.5, 1.0),
        # Node 2 may be cut off, and is forgotten by the majority.
        ({2: 0.0, 3: 20.0, 4: 20.0}, 20.5, 3 / 4),
        ({2: 0.0, 3: 40.0, 4: 40.0}, 40.5, 1.0),
        # This node may be the one that is cut off.
        ({2: 0.0, 3: 0.0}, 20.0, 1 / 3),
        ({2: 0.0, 3: 0.0}, 120.0, 1 / 3),
        ({2: 0.0}, 120.0, 1 / 2),
    ],
)
def test_node_that_is_cut_off_does_not_take_itself_for_the_fleet(
    heard_s: dict[int, float], now_s: float, share: float
) -> None:
    members = Membership(ME, ())
    for number, at_s in heard_s.items():
        members.update_peer(state(number), at_s)
    members.forget_silent(now_s)
    assert members.live_share(now_s) == pytest.approx(share)


def test_node_that_left_does_not_count_for_shares() -> None:
    members = membership(state(2)._replace(is_leaving=True), state(3))
    members.update_peer(state(3)._replace(sequence=2), 20.0)
    assert members.live_share(20.5) == 1.0


def test_node_that_never_heard_the_others_counts_their_addresses() -> None:
    members = Membership(ME, ("10.0.0.2", "10.0.0.3"))
    assert members.live_share(100.0) == pytest.approx(1 / 3)


def test_nodes_without_servers_are_kept_from_callers_unless_too_many() -> None:
    membership = Membership("10.0.0.1", ())
    for number in (2, 3, 4):
        cut = state(number)._replace(unreached_services=("s",))
        membership.update_peer(cut if number > 2 else state(number), 1.0)
    own = state(1)
    found = membership.caller_addresses(own, None, (), 1.0)
    assert len(found) == 2
    cut = own._replace(unreached_services=("s",))
    assert len(membership.caller_addresses(cut, None, (), 1.0)) == 4


def test_requests_are_handed_to_nodes_that_reach_the_service() -> None:
    membership = Membership("10.0.0.1", ())
    membership.update_peer(state(2), 1.0)
    membership.update_peer(state(3)._replace(unreached_services=("s",)), 1.0)
    membership.update_peer(state(4)._replace(is_leaving=True), 1.0)
    membership.update_peer(state(5)._replace(is_ready=False), 1.0)
    live = [peer.state for peer in membership.live_peers(1.0)]
    assert find_reaching(live, "s", None) == [state(2).ip]
    assert len(find_reaching(live, "t", None)) == 2
    own_region = [state(2).region]
    assert find_reaching(live, "s", own_region) == [state(2).ip]
    assert find_reaching(live, "s", ["elsewhere"]) == []


def test_changes_of_live_nodes_are_counted_and_nothing_else() -> None:
    members = membership(state(2), state(3))
    known = members.count_changes(0.1)
    members.update_peer(state(2)._replace(sequence=5, is_ready=False), 0.2)
    assert members.count_changes(0.2) == known
    counts = [known]
    members.update_peer(state(4), 0.3)
    counts.append(members.count_changes(0.3))
    members.update_peer(state(4)._replace(sequence=5, is_leaving=True), 0.4)
    counts.append(members.count_changes(0.4))
    members.update_peer(state(3)._replace(incarnation=99), 0.5)
    counts.append(members.count_changes(0.5))
    members.silence(state(2).ip)
    counts.append(members.count_changes(0.5))
    counts.append(members.count_changes(LIVENESS_TIMEOUT_S + 0.45))
    assert counts == sorted(set(counts))
