"""Priority queue of generations that wait for room on an engine.

While more generations arrive than the engines' memory holds, those that can
still meet their objective go before those that are already late. Among them,
priority decides, then fair queueing between teams, then the order of arrival.

A generation that doesn't fit lets smaller ones overtake it for a limited time
only, so that large generations aren't starved.
"""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.placement.fair_share import FairShare

# How long smaller generations may overtake one that doesn't fit. After that
# it blocks those behind it.
BYPASS_LIMIT_S = 0.5


class SchedulingParameters(NamedTuple):
    """Scheduling parameters of a generation.

    Attributes:
        priority: Priority; 0 goes first.
        team: Team of the caller; empty if unknown.
        cost: Expected tokens, divided by the team's weight.
    """

    priority: int
    team: str
    cost: float


class QueueEntry(NamedTuple):
    """A generation in the queue.

    Attributes:
        priority: Priority; 0 goes first.
        team: Team of the caller; empty if unknown.
        cost: Expected tokens, divided by the team's weight.
        enqueued_s: Monotonic time at which it began to wait.
        latest_start_s: Monotonic time until which it can start and still meet
            its objective.
        number: Sequence number in the order of arrival.
    """

    priority: int
    team: str
    cost: float
    enqueued_s: float
    latest_start_s: float
    number: int

    def sort_key(
        self, now_s: float, share: FairShare
    ) -> tuple[bool, int, float, int]:
        """Returns the sort key; the lowest goes first."""
        is_late = now_s > self.latest_start_s
        return is_late, self.priority, share.start_tag(self.team), self.number


class WaitQueue:
    """Queue of the generations that wait at this node for one service."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._last_number = 0
        self._share = FairShare()
        self._entries: dict[
            QueueEntry,
            tuple[
                asyncio.Future[BackendServer],
                Callable[[], BackendServer | None],
            ],
        ] = {}

    def __len__(self) -> int:
        """Returns the number of waiting generations."""
        return len(self._entries)

    async def wait(
        self,
        parameters: SchedulingParameters,
        latest_start_s: float,
        choose: Callable[[], BackendServer | None],
    ) -> BackendServer:
        """Waits until it is the generation's turn and an engine has room.

        Args:
            parameters: Scheduling parameters of the generation.
            latest_start_s: Monotonic time until which it can start and still
                meet its objective.
            choose: Returns an engine with room, or None. It must add the
                generation to the load of the engine that it returns.

        Returns:
            The engine that `choose` returned.
        """
        self._last_number += 1
        entry = QueueEntry(
            *parameters, time.monotonic(), latest_start_s, self._last_number
        )
        fut: asyncio.Future[BackendServer] = (
            asyncio.get_running_loop().create_future()
        )
        self._entries[entry] = (fut, choose)
        try:
            self.dispatch()
            return await fut
        finally:
            self._entries.pop(entry, None)

    def dispatch(self) -> None:
        """Assigns engines to waiting generations while there is room."""
        now_s = time.monotonic()
        remaining = [
            entry for entry, (fut, _) in self._entries.items() if not fut.done()
        ]
        while remaining:
            entry = min(
                remaining, key=lambda entry: entry.sort_key(now_s, self._share)
            )
            remaining.remove(entry)
            fut, choose = self._entries[entry]
            server = choose()
            if server is not None:
                self._share.charge(entry.team, entry.cost)
                fut.set_result(server)
            elif now_s - entry.enqueued_s > BYPASS_LIMIT_S:
                return
