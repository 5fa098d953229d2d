"""Load reports and cache events of an engine, with delay and gaps."""

import random
import time
from collections import deque
from typing import NamedTuple

Report = dict[str, object]


class LoadReports:
    """Recent load reports, from which delayed ones are served."""

    def __init__(self, first: Report) -> None:
        """Starts with the first report of an incarnation."""
        self._reports = deque([(time.monotonic(), first)])

    def add(self, report: Report) -> None:
        """Adds the current load report."""
        self._reports.append((time.monotonic(), report))

    def newest_older_than(self, lag_s: float) -> Report:
        """Returns the newest report that is at least `lag_s` old.

        Returns the oldest report if none is that old. Drops the reports that
        are older than the returned one.
        """
        cutoff_s = time.monotonic() - lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= cutoff_s:
            self._reports.popleft()
        return self._reports[0][1]


class CacheEvent(NamedTuple):
    """One change of the prefix cache.

    Attributes:
        time_s: Monotonic time of the change.
        seq: Sequence number.
        kind: `stored` or `evicted`.
        prefix_hash: Key of the prefix.
    """

    time_s: float
    seq: int
    kind: str
    prefix_hash: str


class CacheEvents:
    """Log of prefix cache changes, with random gaps."""

    def __init__(self, seed: int) -> None:
        """Creates an empty log whose gaps depend on `seed`."""
        self._random = random.Random(seed)
        self._events: list[CacheEvent] = []
        self._next_seq = 0

    def add(self, changes: list[tuple[str, str]], gap_share: float) -> None:
        """Numbers the changes and keeps all but a random share of them."""
        for kind, key in changes:
            event = CacheEvent(time.monotonic(), self._next_seq, kind, key)
            self._next_seq += 1
            if self._random.random() >= gap_share:
                self._events.append(event)

    def read(self, start: int, lag_s: float) -> dict[str, object]:
        """Returns the events that are at least `lag_s` old.

        Args:
            start: Sequence number of the first event to return.
            lag_s: Minimum age of the events.
        """
        cutoff_s = time.monotonic() - lag_s
        visible = [event for event in self._events if event.time_s <= cutoff_s]
        events = [
            {"seq": ev.seq, "kind": ev.kind, "prefix_hash": ev.prefix_hash}
            for ev in visible
            if ev.seq >= start
        ]
        next_seq = visible[-1].seq + 1 if visible else 0
        return {"events": events, "next": max(start, next_seq)}
