"""Tests of the choice of the nodes that read the store."""

import pytest

from savorylift.fleet.membership import (
    LIVENESS_TIMEOUT_S,
    MINORITY_FORGET_TIMEOUT_S,
    Membership,
)
from savorylift.fleet.peer_transport import MAX_READER_INTERVAL_S
from savorylift.fleet.reader_choice import ReaderChoice, reading_age_s
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
        if ReaderChoice(members).find_rank(me, 0.1) is not None:
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
        rank = ReaderChoice(members).find_rank(me, takeover_s)
        if me.node not in lost and rank is not None:
            replaced.append(me)
    assert len(replaced) == 2


def test_reading_age_of_peers_grows_with_time() -> None:
    members = membership(
        state(2)._replace(reading_age_s=0.4),
        state(3)._replace(reading_age_s=0.1),
    )
    assert reading_age_s(members, 0.5) == pytest.approx(0.6)
    assert reading_age_s(members, LIVENESS_TIMEOUT_S + 1) is None


def test_reader_is_replaced_as_the_nodes_change() -> None:
    """What is kept of the order must not outlive the nodes that it is of."""
    states = [state(n) for n in range(1, 10)]
    chosen = readers(states)
    me = next(s for s in states if s not in chosen)
    members = Membership(me.ip, ())
    choice = ReaderChoice(members)
    for other in states:
        members.update_peer(other, 0.0)
    assert choice.find_rank(me, 0.1) is None
    for other in states:
        if other not in chosen:
            members.update_peer(other._replace(sequence=2), 1.5)
    remaining = [s for s in states if s not in chosen]
    assert (choice.find_rank(me, 1.6) is not None) is (me in readers(remaining))
    alone_s = 2 * LIVENESS_TIMEOUT_S + 1.6
    assert choice.find_rank(me, alone_s) == 0


@pytest.mark.parametrize("fault_at", [1, 5, 8])
def test_choice_of_readers_is_as_if_made_anew(fault_at: int) -> None:
    """Flags of nodes change without a change of the nodes."""
    states = [state(n) for n in range(1, 10)]
    members = Membership(states[0].ip, ())
    for other in states:
        members.update_peer(other, 0.0)
    choice = ReaderChoice(members)
    choice.find_rank(states[0], 0.1)
    for sequence in range(2, fault_at + 2):
        other = states[sequence - 1]
        members.update_peer(
            other._replace(sequence=sequence, has_store_fault=True), 0.2
        )
        now = ReaderChoice(members).find_rank(states[0], 0.2)
        assert choice.find_rank(states[0], 0.2) == now


def test_reading_of_a_lost_reader_does_not_count() -> None:
    """The newest reading is looked for among nodes that have read lately."""
    members = membership(
        state(2)._replace(reading_age_s=0.1, interval_s=0.2),
        state(3)._replace(reading_age_s=0.9, interval_s=0.2),
        state(4)._replace(reading_age_s=100.0, interval_s=0.2),
    )
    members.silence(state(2).ip)
    assert reading_age_s(members, 0.0) == pytest.approx(0.9)
    members.silence(state(3).ip)
    assert reading_age_s(members, 0.0) == pytest.approx(100.0)


def test_reader_that_is_gone_for_good_is_forgotten() -> None:
    """The addresses of replaced nodes were kept as long as the process ran."""
    members = membership(state(2)._replace(reading_age_s=0.1))
    assert set(members._readers.ips) == {state(2).ip}
    members.forget_silent(1.0 + MINORITY_FORGET_TIMEOUT_S)
    assert set(members._readers.ips) == set()
