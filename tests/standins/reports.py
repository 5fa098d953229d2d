"""What an engine tells about itself, late and with gaps."""

import random
import time
from collections import deque
from typing import NamedTuple

Report = dict[str, object]


class LoadReports:
    """Shows the load as it was some time ago."""

    def __init__(self, first: Report) -> None:
        """Starts with the report of a new incarnation."""
        self._reports = deque([(time.monotonic(), first)])

    def add(self, report: Report) -> None:
        """Notes the load now."""
        self._reports.append((time.monotonic(), report))

    def shown(self, lag_s: float) -> Report:
        """Returns the newest report that is at least `lag_s` old."""
        at = time.monotonic() - lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= at:
            self._reports.popleft()
        return self._reports[0][1]


class CacheEvent(NamedTuple):
    """One change of the prefix cache."""

    time_s: float
    seq: int
    kind: str
    prefix_hash: str


class CacheEvents:
    """Keeps the changes of the prefix cache, but for gaps."""

    def __init__(self, seed: int) -> None:
        """Draws the gaps from `seed`."""
        self._random = random.Random(seed)
        self._events: list[CacheEvent] = []
        self._next = 0

    def add(self, changes: list[tuple[str, str]], gap_share: float) -> None:
        """Numbers changes, and forgets a share of them."""
        for kind, key in changes:
            event = CacheEvent(time.monotonic(), self._next, kind, key)
            self._next += 1
            if self._random.random() >= gap_share:
                self._events.append(event)

    def shown(self, start: int, lag_s: float) -> dict[str, object]:
        """Returns the answer to a read from `start`."""
        at = time.monotonic() - lag_s
        old = [event for event in self._events if event.time_s <= at]
        events = [
            {"seq": ev.seq, "kind": ev.kind, "prefix_hash": ev.prefix_hash}
            for ev in old
            if ev.seq >= start
        ]
        following = old[-1].seq + 1 if old else 0
        return {"events": events, "next": max(start, following)}
