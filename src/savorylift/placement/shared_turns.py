"""Whose turn it is, where one node knows what all teams hold.

As in `turn_order`, those that can still be in time go first, then priority
decides. Among equals it is the team that holds least of the room for its
weight, in it the caller that holds least, and then the order of arrival.
"""

import collections
import itertools
from collections.abc import Collection, Iterable, Mapping

from savorylift.placement.held_room import HeldRoom
from savorylift.placement.turn_order import Ticket, Turns, put_oldest_first


class SharedTurns:
    """Orders generations by what their teams and callers hold."""

    def __init__(self, held: HeldRoom) -> None:
        """Starts without any turns taken.

        Args:
            held: What teams hold; whoever grants room keeps it up to date.
        """
        self._held = held
        self._turns = Turns()

    def record_turn(self, _ticket: Ticket) -> None:
        """Records that a generation has got room."""
        self._turns.record()

    def sort(self, tickets: Iterable[Ticket], now_s: float) -> list[Ticket]:
        """Returns the tickets in the order of their turns."""
        by_team: dict[str, list[Ticket]] = collections.defaultdict(list)
        for ticket in tickets:
            by_team[ticket.team].append(ticket)
        levels: dict[int, float] = {}
        for team, of_team in by_team.items():
            level = self._held.of_team(team)
            for ticket in self._sort_team(of_team, now_s):
                levels[ticket.number] = level
                # The team holds that much more once this one has its turn.
                level += ticket.cost
        ordered = _sort_by_level(
            itertools.chain.from_iterable(by_team.values()), levels, now_s
        )
        if self._turns.is_oldest_next:
            put_oldest_first(ordered, now_s)
        return ordered

    def _sort_team(
        self, tickets: Collection[Ticket], now_s: float
    ) -> list[Ticket]:
        """Returns the tickets of a team in the order of their turns."""
        levels: dict[int, float] = {}
        by_caller: dict[str, float] = {}
        for ticket in sorted(tickets, key=lambda t: (t.rank(now_s), t.number)):
            caller = ticket.caller
            level = by_caller.get(caller)
            if level is None:
                level = self._held.of_caller(ticket.team, caller)
            levels[ticket.number] = level
            by_caller[caller] = level + ticket.cost
        return _sort_by_level(tickets, levels, now_s)


def _sort_by_level(
    tickets: Iterable[Ticket], levels: Mapping[int, float], now_s: float
) -> list[Ticket]:
    """Sorts tickets by rank, then by the level of each by its number."""
    return sorted(
        tickets, key=lambda t: (t.rank(now_s), levels[t.number], t.number)
    )
