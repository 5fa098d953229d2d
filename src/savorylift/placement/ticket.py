"""A generation that waits for room, and what its turn depends on."""

from typing import NamedTuple


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
