"""In-memory stand-ins of the platform's services with faults."""

import itertools
import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable
from enum import StrEnum

from returns.result import Failure, Result, Success

from savorylift.log_service.log import LogEntry, LogFault, LogPage, LogRecord


class AppendFault(StrEnum):
    """What happens to one append."""

    REFUSED = "refused"  # not applied, and the writer knows
    LOST_REQUEST = "lost_request"  # not applied, the writer can't know
    LOST_ANSWER = "lost_answer"  # applied, the writer can't know
    LATE = "late"  # applied by `deliver_late`, the writer can't know


class FakeLog:
    """Implements `Log` in memory; safe for use by several threads.

    Attributes:
        is_down: While True every request is refused.
        append_faults: Consumed one an append; then appends succeed.
        page_size: Most records a read returns.
        before_append: Called once before the next append, if set.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.append_faults: deque[AppendFault] = deque()
        self.page_size = 500
        self.before_append: Callable[[], object] | None = None
        self.reads = 0
        self._changed = threading.Condition()
        self._records: dict[str, list[LogRecord]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
        self._late: deque[tuple[str, tuple[LogEntry, ...]]] = deque()

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        hook, self.before_append = self.before_append, None
        if hook is not None:
            hook()
        with self._changed:
            if self.is_down:
                return Failure(LogFault(False, "down"))
            fault = self.append_faults.popleft() if self.append_faults else None
            if fault is AppendFault.REFUSED:
                return Failure(LogFault(False, "refused"))
            if fault is AppendFault.LATE:
                self._late.append((stream, entries))
            if fault in (AppendFault.LATE, AppendFault.LOST_REQUEST):
                return Failure(LogFault(True, "timeout"))
            offset = self._apply(stream, entries)
            if fault is AppendFault.LOST_ANSWER:
                return Failure(LogFault(True, "timeout"))
            return Success(offset)

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        with self._changed:
            self.reads += 1
            if wait_s:
                self._changed.wait_for(
                    lambda: self.is_down or self.tail(stream) > offset, wait_s
                )
            if self.is_down:
                return Failure(LogFault(False, "down"))
            first = self._first[stream]
            start = max(offset, first)
            kept = self._records[stream][start : start + self.page_size]
            return Success(LogPage(first, self.tail(stream), tuple(kept)))

    def tail(self, stream: str) -> int:
        return len(self._records[stream])

    def all_records(self, stream: str) -> tuple[LogRecord, ...]:
        """Returns every record ever appended, forgotten ones too."""
        return tuple(self._records[stream])

    def trim(self, stream: str, first_offset: int) -> None:
        """Forgets the records before `first_offset`."""
        bound = min(first_offset, self.tail(stream))
        self._first[stream] = max(self._first[stream], bound)

    def set_down(self, *, is_down: bool) -> None:
        with self._changed:
            self.is_down = is_down
            self._changed.notify_all()

    def deliver_late(self) -> None:
        """Applies the oldest append that is still on its way, if any."""
        with self._changed:
            if self._late:
                self._apply(*self._late.popleft())

    def _apply(self, stream: str, entries: tuple[LogEntry, ...]) -> int:
        kept = self._records[stream]
        first = len(kept)
        now_ms = int(time.time() * 1000)
        for offset, entry in zip(itertools.count(first), entries):
            kept.append(LogRecord(offset, *entry, now_ms))
        self._changed.notify_all()
        return first
