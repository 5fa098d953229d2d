"""Tests of the tickets that are kept in the order of their turns."""

import random

import pytest

from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_order import TURNS_PER_OLDEST, TurnOrder
from savorylift.placement.waiting_tickets import WaitingTickets

TEAMS = ("a", "b", "c", "")
STEPS = 60
STEP_S = 0.2
CLOCK_STEP_S = 1e-7
# No two tickets come at the same time.
CLOCK_STEP_S = 1e-7


def make_ticket(rng: random.Random, number: int, now_s: float) -> Ticket:
    """Returns a ticket that may be late already."""
    return Ticket(
        rng.randrange(-1, 3),
        rng.choice(TEAMS),
        rng.choice((1.0, 10.0, 500.0)),
        10,
        now_s,
        now_s + rng.uniform(-0.5, 3.0),
        now_s + 4.0,
        number,
    )


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("serves_oldest", [True, False])
def test_walk_leaves_the_order_of_a_sort_of_all_that_wait(
    seed: int, *, serves_oldest: bool
) -> None:
    rng = random.Random(seed)
    order, tickets = TurnOrder(), WaitingTickets()
    known: dict[int, Ticket] = {}
    for step in range(STEPS):
        now_s = (step + 1) * STEP_S
        for _ in range(rng.randrange(6)):
            number = len(known) + 100 * step
            # No two come at the same time.
            came_s = step * STEP_S + number * CLOCK_STEP_S
            known[number] = make_ticket(rng, number, came_s)
            tickets.add(known[number], came_s)
        done = set(rng.sample(sorted(known), k=len(known) // 8))
        left = [t for n, t in known.items() if n not in done]
        expected = order.sort(left, now_s, serves_oldest=serves_oldest)
        walk = order.walk(
            tickets,
            now_s,
            lambda t, done=done: t.number not in done,  # type: ignore[misc]
            serves_oldest=serves_oldest,
        )
        assert list(walk) == expected
        for ticket in expected[: rng.randrange(TURNS_PER_OLDEST)]:
            order.record_turn(ticket)
            tickets.discard(known.pop(ticket.number))


def test_ticket_that_was_discarded_twice_or_became_late_leaves_nothing() -> (
    None
):
    rng = random.Random(1)
    tickets = WaitingTickets()
    for number in range(50):
        tickets.add(make_ticket(rng, number, 0.0), 0.0)
    for ticket in list(tickets.oldest_first()):
        tickets.discard(ticket)
        tickets.discard(ticket)
    assert list(tickets.by_rank(100.0)) == []
    assert not tickets._in_time
