"""The tickets that wait, kept in the order that doesn't depend on shares.

An arrival, an end and a ticket that becomes late each move one ticket: nothing
goes over those that wait.
"""

import bisect
import heapq
from collections.abc import Iterator
from operator import attrgetter

from savorylift.placement.ticket import Rank, Ticket

_get_number = attrgetter("number")


class WaitingTickets:
    """Tickets by rank and team, each line in the order of arrival."""

    def __init__(self) -> None:
        """Starts without tickets."""
        self._lines: dict[Rank, dict[str, list[Ticket]]] = {}
        self._ranks: dict[int, Rank] = {}
        self._by_number: dict[int, Ticket] = {}
        # Those that can still be in time, by when they can't. Tickets that
        # have gone are dropped when it is their time.
        self._in_time: list[tuple[float, int, Ticket]] = []

    def add(self, ticket: Ticket, now_s: float) -> None:
        """Adds a ticket at a monotonic time."""
        rank = ticket.rank(now_s)
        self._by_number[ticket.number] = ticket
        self._insert(ticket, rank)
        if not rank.is_late:
            heapq.heappush(
                self._in_time, (ticket.latest_start_s, ticket.number, ticket)
            )

    def discard(self, ticket: Ticket) -> None:
        """Removes a ticket, if it is here."""
        if self._by_number.pop(ticket.number, None) is not None:
            self._remove(ticket)

    def oldest_first(self) -> Iterator[Ticket]:
        """Yields the tickets in the order of their arrival."""
        yield from self._by_number.values()

    def by_rank(self, now_s: float) -> Iterator[dict[str, list[Ticket]]]:
        """Yields the lines of the teams of each rank, lowest rank first."""
        self._note_late(now_s)
        for rank in sorted(self._lines):
            yield self._lines[rank]

    def _note_late(self, now_s: float) -> None:
        while self._in_time and self._in_time[0][0] < now_s:
            _, number, ticket = heapq.heappop(self._in_time)
            if number in self._by_number:
                self._remove(ticket)
                self._insert(ticket, ticket.rank(now_s))

    def _insert(self, ticket: Ticket, rank: Rank) -> None:
        self._ranks[ticket.number] = rank
        line = self._lines.setdefault(rank, {}).setdefault(ticket.team, [])
        bisect.insort(line, ticket, key=_get_number)

    def _remove(self, ticket: Ticket) -> None:
        rank = self._ranks.pop(ticket.number)
        lines = self._lines[rank]
        line = lines[ticket.team]
        del line[bisect.bisect_left(line, ticket.number, key=_get_number)]
        if not line:
            del lines[ticket.team]
        if not lines:
            del self._lines[rank]
