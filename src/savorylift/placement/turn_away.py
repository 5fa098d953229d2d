"""Which waiting generations can't be served in time, and when to come back.

A generation that would only wait until its time is over is refused at once,
so that its caller can go elsewhere or return when there should be room. The
last in the order of turns give way first, so a less urgent one is refused
before a more urgent one.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_order import TURNS_PER_OLDEST

# A generation is refused if its turn is forecast only after this multiple of
# the time that it can wait. A forecast may be that far off, since small
# generations overtake large ones that don't fit.
FORECAST_MARGIN = 3.0
# One that has no room yet is refused this long before its node stops waiting,
# so that it is told when to return by whoever knows the room.
LAST_MOMENT_S = 0.15
MIN_RETURN_S = 0.5
# Bounds the time to come back if far more memory is needed than is released.
MAX_RETURN_S = 8.0


class NoRoomInTimeError(Exception):
    """A generation is refused since its turn would come too late.

    Attributes:
        return_in_s: Time until there should be room for it.
    """

    def __init__(self, return_in_s: float) -> None:
        """Creates an error with the time to come back."""
        super().__init__("no engine will have room in time")
        self.return_in_s = return_in_s


class Room(NamedTuple):
    """Room of the engines that generations wait for.

    Attributes:
        free_tokens: Free memory of all engines together.
        tokens_per_s: Rate at which memory becomes free; None if not known.
        arriving: Tokens of the generations that arrive each second, by
            priority.
    """

    free_tokens: int
    tokens_per_s: float | None
    arriving: Mapping[int, float] = MappingProxyType({})

    def rate_for(self, ticket: Ticket, now_s: float) -> float:
        """Returns the rate at which memory is left to a generation.

        Those that arrive and go before it take theirs first, except for the
        turns that go to the one that has waited longest.
        """
        if self.tokens_per_s is None:
            return math.inf
        is_late, priority = ticket.rank(now_s)
        ahead = sum(
            tokens_per_s
            for other, tokens_per_s in self.arriving.items()
            if is_late or other < priority
        )
        least = self.tokens_per_s / TURNS_PER_OLDEST
        return max(self.tokens_per_s - ahead, least)


class TurnedAway(NamedTuple):
    """A generation that can't be served in time.

    Attributes:
        ticket: The generation.
        return_in_s: Time until there should be room for it.
    """

    ticket: Ticket
    return_in_s: float


def find_hopeless(
    ordered: Iterable[Ticket], room: Room, now_s: float
) -> Iterator[TurnedAway]:
    """Yields the generations to refuse now.

    They make room in the queue for those behind them, and are told to return
    one after the other, in the order of their turns.

    Args:
        ordered: Waiting generations in the order of their turns.
        room: Room of their engines.
        now_s: Monotonic time.
    """
    if not room.tokens_per_s:
        return
    ahead = away = 0
    for ticket in ordered:
        wanted = ahead + ticket.tokens - room.free_tokens
        wait_s = max(wanted, 0) / room.rate_for(ticket, now_s)
        left_s = max(ticket.leave_s - now_s, 0.0)
        if wait_s <= FORECAST_MARGIN * left_s and left_s > LAST_MOMENT_S:
            ahead += ticket.tokens
            continue
        return_in_s = wait_s + away / room.tokens_per_s
        away += ticket.tokens
        yield TurnedAway(ticket, bound_return_s(return_in_s))


def bound_return_s(return_in_s: float) -> float:
    """Returns a time to come back that is neither too short nor too long."""
    return min(max(return_in_s, MIN_RETURN_S), MAX_RETURN_S)
