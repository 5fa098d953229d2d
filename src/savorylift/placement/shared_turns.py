"""Whose turn it is, where one node knows what all teams hold.

As in `turn_order`, those that can still be in time go first, then priority
decides. Among equals it is the team that holds least of the room for its
weight, in it the caller that holds least, and then the order of arrival.

The level of a ticket is the cost that its team (or caller) holds once those of
its tickets that go before have got room, too. The lowest level goes first.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.placement.held_room import HeldRoom
from savorylift.placement.ticket import Rank, Ticket
from savorylift.placement.turn_order import TurnCounter, put_oldest_first


class _Ranked(NamedTuple):
    """A ticket with its sort key without shares.

    Attributes:
        rank: What decides before the shares.
        number: Sequence number of the ticket.
        ticket: The ticket.
    """

    rank: Rank
    number: int
    ticket: Ticket


class SharedTurns:
    """Orders generations by what their teams and callers hold."""

    def __init__(self, held: HeldRoom) -> None:
        """Starts without any turns taken.

        Args:
            held: What teams hold; whoever grants room keeps it up to date.
        """
        self._held = held
        self._turns = TurnCounter()

    def record_turn(self, _ticket: Ticket) -> None:
        """Records that a generation has got room."""
        self._turns.record()

    def sort(self, tickets: Iterable[Ticket], now_s: float) -> list[Ticket]:
        """Returns the tickets in the order of their turns."""
        ranked = [_Ranked(t.rank(now_s), t.number, t) for t in tickets]
        # The order without any shares; numbers differ, so tickets don't decide.
        ranked.sort()
        by_team: dict[str, list[_Ranked]] = collections.defaultdict(list)
        for item in ranked:
            by_team[item.ticket.team].append(item)
        levels: dict[int, float] = {}
        for team, of_team in by_team.items():
            level = self._held.of_team(team)
            for item in self._sort_team(of_team):
                levels[item.number] = level
                level += item.ticket.cost
        ordered = [item.ticket for item in _sort_by_level(ranked, levels)]
        if self._turns.is_oldest_next:
            put_oldest_first(ordered, now_s)
        return ordered

    def _sort_team(self, ranked: list[_Ranked]) -> list[_Ranked]:
        """Returns the tickets of a team in the order of their turns."""
        if len(ranked) == 1:
            return ranked
        levels: dict[int, float] = {}
        next_levels: dict[str, float] = {}
        for item in ranked:
            caller = item.ticket.caller
            level = next_levels.get(caller)
            if level is None:
                level = self._held.of_caller(item.ticket.team, caller)
            levels[item.number] = level
            next_levels[caller] = level + item.ticket.cost
        return _sort_by_level(ranked, levels)


def _sort_by_level(
    ranked: Iterable[_Ranked], levels: Mapping[int, float]
) -> list[_Ranked]:
    """Sorts tickets by rank, then by level.

    Args:
        ranked: The tickets.
        levels: Level of each, by its number.
    """
    return sorted(
        ranked, key=lambda item: (item.rank, levels[item.number], item.number)
    )
