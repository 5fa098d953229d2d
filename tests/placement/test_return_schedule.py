"""Tests of when refused callers are told to return.

The load is one at which more generations arrive than engines hold, and a few
are refused with each look at those that wait.
"""

import random
import time

import freezegun
import hypothesis
import hypothesis.strategies as st

from savorylift.placement.return_schedule import (
    OVERFLOW_SHARE,
    ReturnSchedule,
)
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_away import MAX_RETURN_S, TurnedAway

TOKENS_PER_S = 1000.0


def away(
    return_in_s: float, tokens: int = 500, priority: int = 1
) -> TurnedAway:
    ticket = Ticket(priority, "", tokens, tokens, 0.0, 2.0, 4.0, 1)
    return TurnedAway(ticket, return_in_s)


def most_within(times_s: list[float], span_s: float) -> int:
    """Returns the most moments that lie within any span."""
    return max(sum(at <= t < at + span_s for t in times_s) for at in times_s)


def test_those_refused_one_after_another_return_as_memory_becomes_free() -> (
    None
):
    """Each look at those that wait refuses some, with the same forecast."""
    with freezegun.freeze_time("2026-01-01") as clock:
        schedule = ReturnSchedule(random.Random(1))
        returns_s = []
        for _ in range(12):
            in_s = schedule.assign_s(away(1.0), TOKENS_PER_S)
            assert in_s >= 1.0
            returns_s.append(time.monotonic() + in_s)
            clock.tick(0.01)
        # Room for two of them becomes free in a second.
        assert most_within(returns_s, 1.0) <= 3
        assert returns_s == sorted(returns_s)


def test_urgent_ones_wait_for_no_slots_of_others() -> None:
    with freezegun.freeze_time("2026-01-01"):
        schedule = ReturnSchedule(random.Random(1))
        for _ in range(10):
            schedule.assign_s(away(1.0, priority=2), TOKENS_PER_S)
        urgent_s = schedule.assign_s(away(1.0, priority=0), TOKENS_PER_S)
        assert urgent_s <= 1.5


def test_those_beyond_the_longest_time_come_spread_too() -> None:
    with freezegun.freeze_time("2026-01-01"):
        schedule = ReturnSchedule(random.Random(1))
        far = away(MAX_RETURN_S)
        returns_s = [schedule.assign_s(far, TOKENS_PER_S) for _ in range(200)]
        assert max(returns_s) <= MAX_RETURN_S
        assert min(returns_s) >= MAX_RETURN_S * (1 - OVERFLOW_SHARE)
        assert most_within(returns_s, 0.1 * MAX_RETURN_S) < 0.5 * 200


def test_slots_that_have_passed_hold_up_nobody() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        schedule = ReturnSchedule(random.Random(1))
        for _ in range(10):
            schedule.assign_s(away(1.0), TOKENS_PER_S)
        clock.tick(10.0)
        assert schedule.assign_s(away(1.0), TOKENS_PER_S) <= 1.5
        assert len(schedule._ends_s) == 1


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0.5, MAX_RETURN_S),
            st.integers(1, 5000),
            st.integers(-1, 9),
            st.floats(0.0, 1.0),
        ),
        max_size=40,
    )
)
def test_no_time_is_too_short_or_too_long(
    refusals: list[tuple[float, int, int, float]],
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        schedule = ReturnSchedule(random.Random(1))
        for return_in_s, tokens, priority, pause_s in refusals:
            refused = away(return_in_s, tokens, priority)
            found_s = schedule.assign_s(refused, TOKENS_PER_S)
            least_s = min(return_in_s, MAX_RETURN_S * (1 - OVERFLOW_SHARE))
            assert least_s - 1e-6 <= found_s <= MAX_RETURN_S + 1e-6
            clock.tick(pause_s)
