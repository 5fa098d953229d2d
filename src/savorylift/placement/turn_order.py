"""Whose turn it is while more generations wait than engines hold.

Those that can still meet their objective go before those that can't: room
that a late one takes may make another one late. Among them, priority decides,
then fair queueing between teams, then the order of arrival. So that nothing
waits without a bound, some turns go to the one that has waited longest.
"""

from collections.abc import Iterable
from typing import NamedTuple

from savorylift.placement.fair_share import FairShare

# One turn in this many goes to the generation that has waited longest, if it
# has waited for OLDEST_WAIT_S.
TURNS_PER_OLDEST = 8
OLDEST_WAIT_S = 2.0


class Rank(NamedTuple):
    """What decides before the shares of teams; the lowest goes first.

    Attributes:
        is_late: Whether it can't meet its objective any more.
        priority: Priority; 0 goes first.
    """

    is_late: bool
    priority: int


class Ticket(NamedTuple):
    """A generation that waits for room.

    Attributes:
        priority: Priority; 0 goes first.
        team: Team of the caller; empty if unknown.
        cost: Expected tokens, divided by the team's weight.
        tokens: Tokens that it is expected to reach.
        enqueued_s: Monotonic time at which it began to wait.
        latest_start_s: Monotonic time until which it can start and still meet
            its objective.
        leave_s: Monotonic time after which it waits no longer.
        number: Sequence number in the order of arrival.
        caller: Which of the team's callers it is for; empty if unknown.
    """

    priority: int
    team: str
    cost: float
    tokens: int
    enqueued_s: float
    latest_start_s: float
    leave_s: float
    number: int
    caller: str = ""

    def rank(self, now_s: float) -> Rank:
        """Returns what decides before the shares of teams; lowest first."""
        return Rank(now_s > self.latest_start_s, self.priority)


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


def put_oldest_first(ordered: list[Ticket], now_s: float) -> None:
    """Puts the one that has waited longest first, if that is long."""
    oldest = min(ordered, key=lambda t: t.enqueued_s, default=None)
    if oldest is not None and now_s - oldest.enqueued_s > OLDEST_WAIT_S:
        ordered.remove(oldest)
        ordered.insert(0, oldest)
