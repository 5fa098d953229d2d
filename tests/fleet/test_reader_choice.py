"""Tests of the choice of the nodes that read the store."""

import pytest

from savorylift.fleet.membership import LIVENESS_TIMEOUT_S, Membership
from savorylift.fleet.peer_transport import MAX_READER_INTERVAL_S
from savorylift.fleet.reader_choice import is_reader, reading_age_s
from savorylift.fleet.state import NodeState
from tests.fleet.test_membership import membership, state

# A configuration must be in force on all nodes this long after the store has
# acknowledged it.
CONFIGURATION_APPLY_S = 3.0


def readers(states: list[NodeState]) -> list[NodeState]:
    chosen = []
    for me in states:
        members = Membership(me.ip, ())
        for other in states:
            members.update_peer(other, 0.0)
        if is_reader(members, me, 0.1):
            chosen.append(me)
    return chosen


def test_readers_are_in_two_failure_domains() -> None:
    chosen = readers([state(n) for n in range(1, 10)])
    assert len(chosen) == 2
    assert len({node.failure_domain for node in chosen}) == 2


def test_nodes_with_a_store_fault_are_not_readers() -> None:
    states = [state(n)._replace(has_store_fault=n < 8) for n in range(1, 10)]
    assert {node.node for node in readers(states)} == {"n8", "n9"}


def test_two_nodes_read_when_all_have_a_store_fault() -> None:
    states = [state(n)._replace(has_store_fault=True) for n in range(1, 10)]
    assert len(readers(states)) == 2


def test_single_node_is_a_reader() -> None:
    assert readers([state(1)]) == [state(1)]


def test_both_readers_are_replaced_within_the_time_a_change_may_take() -> None:
    states = [
        state(n)._replace(interval_s=MAX_READER_INTERVAL_S)
        for n in range(1, 82)
    ]
    lost = {node.node for node in readers(states)}
    takeover_s = CONFIGURATION_APPLY_S / 2
    replaced = []
    for me in states:
        members = Membership(me.ip, ())
        for other in states:
            heard_s = 0.0 if other.node in lost else takeover_s
            members.update_peer(other, heard_s)
        if me.node not in lost and is_reader(members, me, takeover_s):
            replaced.append(me)
    assert len(replaced) == 2


def test_reading_age_of_peers_grows_with_time() -> None:
    members = membership(
        state(2)._replace(reading_age_s=0.4),
        state(3)._replace(reading_age_s=0.1),
    )
    assert reading_age_s(members, 0.5) == pytest.approx(0.6)
    assert reading_age_s(members, LIVENESS_TIMEOUT_S + 1) is None
