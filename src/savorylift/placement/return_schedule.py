"""Spreads refused generations over the times at which room should be free.

Refusals come a few at a time, each with nearly the same forecast. Without a
memory of earlier ones, all would be told to return at the same moment, and
most would be refused again.
"""

import random
import time

from savorylift.placement.turn_away import MAX_RETURN_S, TurnedAway

# Generations whose slots lie after `MAX_RETURN_S` return at random within this
# last part of it.
OVERFLOW_SHARE = 0.3


class ReturnSchedule:
    """Gives each refused generation a slot of its own, by priority.

    Slots are as long as the memory that a generation needs takes to become
    free. Those of one priority follow each other in the order of refusals;
    urgent ones don't wait for the slots of less urgent ones.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates an empty schedule.

        Args:
            rng: Chooses the moments within slots.
        """
        self._rng = rng
        # Monotonic time at which the last slot of each priority ends.
        self._ends_s: dict[int, float] = {}

    def assign_s(self, away: TurnedAway, tokens_per_s: float) -> float:
        """Returns after what time a refused generation should return.

        Args:
            away: The generation, with a forecast without earlier refusals.
            tokens_per_s: Rate at which memory is left to its priority.
        """
        now_s = time.monotonic()
        self._forget_passed(now_s)
        priority = away.ticket.priority
        slot_s = away.ticket.tokens / tokens_per_s
        begins_s = max(
            now_s + away.return_in_s, self._ends_s.get(priority, 0.0)
        )
        return_s = begins_s + self._rng.random() * slot_s
        if return_s > now_s + MAX_RETURN_S:
            return MAX_RETURN_S * (1 - OVERFLOW_SHARE * self._rng.random())
        self._ends_s[priority] = begins_s + slot_s
        return return_s - now_s

    def _forget_passed(self, now_s: float) -> None:
        passed = [p for p, end_s in self._ends_s.items() if end_s < now_s]
        for priority in passed:
            del self._ends_s[priority]
