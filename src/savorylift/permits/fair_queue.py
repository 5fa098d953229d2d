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


class _Rank(NamedTuple):
    """Order within a team: priority, then the earliest deadline."""

    negative_priority: int
    deadline_s: float
    sequence: int
    permit_id: str


class FairQueue:
    """Orders by priority, then fairly over teams, then by deadline.

    Teams are served by start-time fair queueing: each request that leaves
    advances its team's tag by 1 / weight, so that backlogged teams get places
    in proportion to their weights however many requests each has waiting.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._teams: dict[str, list[_Rank]] = {}
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
        waiter = Waiter(ask, time.monotonic() + ask.wait_s)
        self._waiters[ask.permit_id] = waiter
        if not self._heap_of(ask.team):
            tag = self._tags.get(ask.team, 0.0)
            self._tags[ask.team] = max(self._virtual_time, tag)
        self._sequence += 1
        rank = _Rank(
            -ask.priority, waiter.deadline_s, self._sequence, ask.permit_id
        )
        heapq.heappush(self._teams.setdefault(ask.team, []), rank)
        self._forget_idle_teams()

    def peek(self) -> Waiter | None:
        """Returns the request that goes next."""
        team = self._next_team()
        if team is None:
            return None
        return self._waiters[self._teams[team][0].permit_id]

    def pop(self) -> Waiter | None:
        """Removes and returns the request that goes next."""
        team = self._next_team()
        if team is None:
            return None
        rank = heapq.heappop(self._teams[team])
        waiter = self._waiters.pop(rank.permit_id)
        tag = self._tags[team]
        self._virtual_time = max(self._virtual_time, tag)
        self._tags[team] = tag + 1.0 / max(1, waiter.ask.weight)
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
        """Returns about how many waiting requests would go before `ask`."""
        deadline_s = time.monotonic() + ask.wait_s
        key = (-ask.priority, deadline_s)
        own = sum(rank[:2] <= key for rank in self._heap_of(ask.team))
        start = max(self._virtual_time, self._tags.get(ask.team, 0.0))
        start += own / max(1, ask.weight)
        return own + sum(
            self._count_before(team, start, -ask.priority)
            for team in list(self._teams)
            if team != ask.team
        )

    def _count_before(
        self, team: str, start: float, negative_priority: int
    ) -> int:
        """Returns how many of another team's requests go before a tag."""
        heap = self._heap_of(team)
        urgent = sum(r.negative_priority < negative_priority for r in heap)
        equal = sum(r.negative_priority == negative_priority for r in heap)
        if not equal:
            return urgent
        waiter = self._waiters[heap[0].permit_id]
        lead = (start - self._tags[team]) * max(1, waiter.ask.weight)
        return urgent + min(equal, max(0, int(lead) + (lead >= 0)))

    def _next_team(self) -> str | None:
        best: tuple[int, float, float, str] | None = None
        for team in list(self._teams):
            heap = self._heap_of(team)
            if not heap:
                continue
            head = heap[0]
            key = (
                head.negative_priority,
                self._tags[team],
                head.deadline_s,
                team,
            )
            if best is None or key < best:
                best = key
        return None if best is None else best[3]

    def _heap_of(self, team: str) -> list[_Rank]:
        """Returns a team's heap without removed heads; empty ones go."""
        heap = self._teams.get(team, [])
        while heap and heap[0].permit_id not in self._waiters:
            heapq.heappop(heap)
        if not heap:
            self._teams.pop(team, None)
        return heap

    def _forget_idle_teams(self) -> None:
        if len(self._tags) > MAX_TEAM_TAGS:
            self._tags = {
                team: tag
                for team, tag in self._tags.items()
                if tag > self._virtual_time or team in self._teams
            }
