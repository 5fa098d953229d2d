"""Tests of what a waiting generation's turn depends on."""

import pytest

from savorylift.placement.ticket import Rank, Ticket

TICKET = Ticket(1, "team", 1.0, 100, 0.0, 5.0, 9.0, 1)


@pytest.mark.parametrize(("now_s", "is_late"), [(5.0, False), (5.1, True)])
def test_generation_that_misses_its_objective_goes_behind_others(
    now_s: float, *, is_late: bool
) -> None:
    assert TICKET.rank(now_s) == Rank(is_late, 1)
    urgent = TICKET._replace(priority=0)
    assert urgent.rank(now_s) < TICKET.rank(now_s)
    assert TICKET.rank(5.0) < urgent.rank(5.1)
