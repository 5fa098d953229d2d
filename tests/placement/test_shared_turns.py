"""Tests of turns by what teams and their callers hold."""

import hypothesis
import hypothesis.strategies as st

from savorylift.placement.held_room import HeldRoom, Holder
from savorylift.placement.shared_turns import SharedTurns
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_order import OLDEST_WAIT_S, TURNS_PER_OLDEST

TICKET = Ticket(1, "", 1000.0, 1000, 0.0, 2.0, 4.0, 1)


def ticket(
    number: int, team: str = "", caller: str = "", cost: float = 1000.0
) -> Ticket:
    return TICKET._replace(number=number, team=team, caller=caller, cost=cost)


def order(held: HeldRoom, *tickets: Ticket) -> list[int]:
    ordered = SharedTurns(held).sort(tickets, 0.0)
    return [found.number for found in ordered]


def test_team_that_holds_least_goes_first_until_it_holds_as_much() -> None:
    held = HeldRoom()
    for _ in range(2):
        held.add(Holder("busy", "", 1000.0))
    waiting = [ticket(1, "busy"), ticket(2, "busy")]
    waiting += [ticket(number, "idle") for number in range(3, 7)]
    assert order(held, *waiting) == [3, 4, 1, 5, 2, 6]


def test_team_of_three_times_the_weight_holds_three_times_as_much() -> None:
    """The cost of a generation is what it takes by the team's weight."""
    heavy = [ticket(number, "heavy", cost=1000.0 / 3) for number in range(9)]
    light = [ticket(number, "light") for number in range(10, 13)]
    found = order(HeldRoom(), *heavy, *light)
    assert sum(number < 10 for number in found[:4]) == 3
    assert sum(number < 10 for number in found[:8]) == 6


def test_hot_caller_leaves_its_team_mates_their_turns() -> None:
    held = HeldRoom()
    held.add(Holder("t", "hot", 1000.0))
    waiting = [ticket(number, "t", "hot") for number in range(1, 6)]
    waiting += [ticket(6, "t", "other"), ticket(7, "u", "x")]
    assert order(held, *waiting) == [7, 6, 1, 2, 3, 4, 5]


def test_urgent_and_timely_ones_go_before_all_shares() -> None:
    held = HeldRoom()
    held.add(Holder("busy", "", 9000.0))
    urgent = ticket(1, "busy")._replace(priority=0)
    late = ticket(2, "idle")._replace(latest_start_s=-1.0)
    assert order(held, late, ticket(3, "idle"), urgent) == [1, 3, 2]


def test_oldest_gets_some_turns_whatever_its_team_holds() -> None:
    held = HeldRoom()
    held.add(Holder("busy", "", 9000.0))
    turns = SharedTurns(held)
    old = ticket(1, "busy")
    others = [
        ticket(number, "idle")._replace(enqueued_s=OLDEST_WAIT_S)
        for number in (2, 3)
    ]
    taken = 0
    while turns.sort([old, *others], OLDEST_WAIT_S + 0.1)[0] is not old:
        turns.record_turn(others[0])
        taken += 1
    assert 0 < taken < TURNS_PER_OLDEST


HOLDERS = st.builds(
    Holder,
    st.sampled_from("abc"),
    st.sampled_from("xyz"),
    st.floats(0.1, 9000.0),
)


@hypothesis.given(st.lists(HOLDERS, max_size=30))
def test_nothing_is_left_of_what_was_given_back(holders: list[Holder]) -> None:
    """However the costs are rounded, and in whatever order they go."""
    held = HeldRoom()
    for holder in holders:
        held.add(holder)
    for team in "abc":
        parts = sum(held.of_caller(team, caller) for caller in "xyz")
        assert abs(held.of_team(team) - parts) < 1e-6
    for holder in reversed(holders):
        held.remove(holder)
    assert not held._by_team
    assert not held._by_caller
