"""Whose turn it is while more generations wait than engines hold.

Those that can still meet their objective go before those that can't: room
that a late one takes may make another one late. Among them, priority decides,
then fair queueing between teams, then the order of arrival. So that nothing
waits without a bound, some turns go to the one that has waited longest.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from savorylift.placement.fair_share import FairShare
from savorylift.placement.ticket import Ticket
from savorylift.placement.waiting_tickets import WaitingTickets

# One turn in this many goes to the generation that has waited longest, if it
# has waited for OLDEST_WAIT_S.
TURNS_PER_OLDEST = 8
OLDEST_WAIT_S = 2.0


class TurnCounter:
    """Counts turns: each `TURNS_PER_OLDEST`th is for the oldest ticket."""

    def __init__(self) -> None:
        """Starts without any turns taken."""
        self._taken = 0

    def record(self) -> None:
        """Records a turn that was taken."""
        self._taken += 1

    @property
    def is_oldest_next(self) -> bool:
        """Whether the next turn goes to the one that has waited longest."""
        return self._taken % TURNS_PER_OLDEST == TURNS_PER_OLDEST - 1


class TurnOrder:
    """Orders the generations that wait for the same engines."""

    def __init__(self) -> None:
        """Starts without any turns taken."""
        self._share = FairShare()
        self._turns = TurnCounter()

    def record_turn(self, ticket: Ticket) -> None:
        """Records that a generation has got room."""
        self._turns.record()
        self._share.charge(ticket.team, ticket.cost)

    def sort(
        self,
        tickets: Iterable[Ticket],
        now_s: float,
        *,
        serves_oldest: bool = True,
    ) -> list[Ticket]:
        """Returns the tickets in the order of their turns.

        Args:
            tickets: Generations that wait.
            now_s: Monotonic time.
            serves_oldest: Whether some turns go to the one that has waited
                longest.
        """
        # Each ticket of a team comes as much later as those before it cost.
        start_tags: dict[str, float] = {}
        keyed = []
        for ticket in sorted(tickets, key=lambda t: (t.rank(now_s), t.number)):
            team = ticket.team
            tag = start_tags.get(team, self._share.start_tag(team))
            start_tags[team] = tag + ticket.cost
            keyed.append((ticket.rank(now_s), tag, ticket.number, ticket))
        keyed.sort(key=lambda item: item[:3])
        ordered = [item[3] for item in keyed]
        if serves_oldest and self._turns.is_oldest_next:
            put_oldest_first(ordered, now_s)
        return ordered

    def walk(
        self,
        tickets: WaitingTickets,
        now_s: float,
        is_waiting: Callable[[Ticket], bool],
        *,
        serves_oldest: bool = True,
    ) -> Iterator[Ticket]:
        """Yields the tickets in the order of `sort`, as far as it is asked.

        The first costs the number of teams that wait, each further one the
        logarithm of it. Neither tickets nor turns may change meanwhile.

        Args:
            tickets: Generations that wait.
            now_s: Monotonic time.
            is_waiting: Whether a ticket still waits; others are left out.
            serves_oldest: Whether some turns go to the one that has waited
                longest.
        """
        first = None
        if serves_oldest and self._turns.is_oldest_next:
            first = _find_oldest(tickets, now_s, is_waiting)
        if first is not None:
            yield first
        tags: dict[str, float] = {}
        for lines in tickets.by_rank(now_s):
            for ticket in self._merge(lines, tags, is_waiting):
                if ticket is not first:
                    yield ticket

    def _merge(
        self,
        lines: Mapping[str, Sequence[Ticket]],
        tags: dict[str, float],
        is_waiting: Callable[[Ticket], bool],
    ) -> Iterator[Ticket]:
        """Yields the tickets of one rank; `tags` are the teams' next ones."""
        heads: list[tuple[float, int, Ticket, Iterator[Ticket]]] = []
        for team, line in lines.items():
            rest: Iterator[Ticket] = filter(is_waiting, line)
            ticket = next(rest, None)
            if ticket is not None:
                tag = tags.get(team, self._share.start_tag(team))
                heads.append((tag, ticket.number, ticket, rest))
        heapq.heapify(heads)
        while heads:
            tag, _, ticket, rest = heads[0]
            yield ticket
            next_tag = tags[ticket.team] = tag + ticket.cost
            behind = next(rest, None)
            if behind is None:
                heapq.heappop(heads)
            else:
                heapq.heapreplace(
                    heads, (next_tag, behind.number, behind, rest)
                )


def _find_oldest(
    tickets: WaitingTickets, now_s: float, is_waiting: Callable[[Ticket], bool]
) -> Ticket | None:
    """Returns the one that has waited longest, if that is long."""
    for ticket in tickets.oldest_first():
        if is_waiting(ticket):
            has_long = now_s - ticket.enqueued_s > OLDEST_WAIT_S
            return ticket if has_long else None
    return None


def put_oldest_first(ordered: list[Ticket], now_s: float) -> None:
    """Puts the one that has waited longest first, if that is long."""
    oldest = min(ordered, key=lambda t: t.enqueued_s, default=None)
    if oldest is not None and now_s - oldest.enqueued_s > OLDEST_WAIT_S:
        ordered.remove(oldest)
        ordered.insert(0, oldest)
