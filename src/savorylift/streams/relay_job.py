"""One attempt that the relay moves, and how it ends."""

import enum
import threading
import time
from typing import NamedTuple

from savorylift.streams.delivery import Delivery
from savorylift.streams.sink import Sink
from savorylift.streams.upstream import EngineStream


class RelayEnd(enum.Enum):
    """Why the relay stopped moving a stream."""

    COMPLETE = enum.auto()
    SOURCE_LOST = enum.auto()
    SOURCE_SILENT = enum.auto()
    OUT_OF_ORDER = enum.auto()
    WRONG_GENERATION = enum.auto()
    DIVERGED = enum.auto()
    CALLER_GONE = enum.auto()
    CALLER_TOO_SLOW = enum.auto()
    DEADLINE = enum.auto()
    STOPPED = enum.auto()


class RelayTimes(NamedTuple):
    """Bounds of one attempt.

    Attributes:
        deadline_s: `time.monotonic()` at which the answer is given up.
        first_token_s: Longest silence before the first event.
        token_s: Longest silence between events.
    """

    deadline_s: float
    first_token_s: float
    token_s: float


class RelayJob:
    """One attempt: events of one engine connection for one caller."""

    def __init__(
        self,
        source: EngineStream,
        sink: Sink,
        delivery: Delivery,
        times: RelayTimes,
    ) -> None:
        """Prepares the attempt; the relay closes `source` at its end."""
        self.source = source
        self.sink = sink
        self.delivery = delivery
        self.times = times
        self.started_s = time.monotonic()
        self.last_event_s = self.started_s
        self.first_event_s: float | None = None
        self.end: RelayEnd | None = None
        self.watched_events = 0  # what the selector watches the caller for
        self._done = threading.Event()
        self._first = threading.Event()

    def wait_first_event(self, timeout_s: float) -> bool:
        """Waits for the first event or the end; False on a timeout."""
        return self._first.wait(timeout_s)

    def note_events(self) -> None:
        """Records that events have arrived."""
        self.last_event_s = time.monotonic()
        if self.first_event_s is None:
            self.first_event_s = self.last_event_s
            self._first.set()

    def wait(self, timeout_s: float) -> RelayEnd | None:
        """Returns the end, or None if there is none within the timeout."""
        self._done.wait(timeout_s)
        return self.end

    def finish(self, end: RelayEnd) -> None:
        """Records the end and wakes the waiting thread."""
        self.end = end
        self._first.set()
        self._done.set()

    def expired(self, now_s: float) -> RelayEnd | None:
        """Returns the end that the passing of time has brought, if any."""
        if now_s >= self.times.deadline_s:
            return RelayEnd.DEADLINE
        is_first = self.first_event_s is None
        bound_s = self.times.first_token_s if is_first else self.times.token_s
        is_silent = now_s - self.last_event_s > bound_s
        return RelayEnd.SOURCE_SILENT if is_silent else None
