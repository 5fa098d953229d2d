"""Requests waiting for a permit, in the order in which they go."""

import heapq
import time
from typing import NamedTuple

from savorylift.permits.messages import PermitAsk

MAX_TEAM_TAGS = 4096


class Waiter(NamedTuple):
    """A waiting request and the `time.monotonic()` at which it ends."""

    ask: PermitAsk
    deadline_s: float


class FairQueue:
    """Orders by priority, then by start-time fair queueing over teams.

    Each request of a team advances the team's tag by 1 / weight, so that
    backlogged teams get places in proportion to their weights however many
    requests each has waiting.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._heap: list[tuple[int, float, int, str]] = []
        self._waiters: dict[str, Waiter] = {}
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiters)

    def __contains__(self, permit_id: object) -> bool:
        """Returns True if the request with this identifier waits."""
        return permit_id in self._waiters

    def push(self, ask: PermitAsk) -> None:
        """Adds a request; replaces nothing if it waits already."""
        if ask.permit_id in self._waiters:
            return
        start = max(self._virtual_time, self._tags.get(ask.team, 0.0))
        self._tags[ask.team] = start + 1.0 / max(1, ask.weight)
        self._sequence += 1
        key = (-ask.priority, start, self._sequence, ask.permit_id)
        heapq.heappush(self._heap, key)
        self._waiters[ask.permit_id] = Waiter(
            ask, time.monotonic() + ask.wait_s
        )
        self._forget_idle_teams()

    def peek(self) -> Waiter | None:
        """Returns the request that goes next."""
        while self._heap and self._heap[0][3] not in self._waiters:
            heapq.heappop(self._heap)
        return self._waiters[self._heap[0][3]] if self._heap else None

    def pop(self) -> Waiter | None:
        """Removes and returns the request that goes next."""
        waiter = self.peek()
        if waiter is None:
            return None
        self._virtual_time = max(self._virtual_time, self._heap[0][1])
        heapq.heappop(self._heap)
        del self._waiters[waiter.ask.permit_id]
        return waiter

    def remove(self, permit_id: str) -> Waiter | None:
        """Removes one request, if it waits."""
        return self._waiters.pop(permit_id, None)

    def expire(self) -> list[Waiter]:
        """Removes and returns the requests whose deadline has passed."""
        now = time.monotonic()
        late = [w for w in self._waiters.values() if w.deadline_s <= now]
        for waiter in late:
            del self._waiters[waiter.ask.permit_id]
        return late

    def ahead_of(self, ask: PermitAsk) -> int:
        """Returns how many waiting requests would go before `ask`."""
        start = max(self._virtual_time, self._tags.get(ask.team, 0.0))
        key = (-ask.priority, start)
        return sum(
            1
            for priority, tag, _, permit_id in self._heap
            if (priority, tag) <= key and permit_id in self._waiters
        )

    def _forget_idle_teams(self) -> None:
        if len(self._tags) > MAX_TEAM_TAGS:
            now = self._virtual_time
            self._tags = {t: v for t, v in self._tags.items() if v > now}
