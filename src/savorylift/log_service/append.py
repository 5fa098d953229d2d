"""Appends that end only with what was read back from the log.

An append is repeated with the same record identifiers after a fault, which
is idempotent: readers ignore a second record with the same identifier. The
record that counts is therefore the first one with the identifier, which may
stand before the offset that a later attempt was answered with.
"""

import time
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from returns.result import Success

from savorylift.log_service.log import Log, LogEntry, LogPage

RETRY_PAUSE_S = 0.1


class Appended(NamedTuple):
    """The entries were read back.

    Attributes:
        offset: Offset of the first record that carries the first entry's
            identifier.
    """

    offset: int


class NotAppended(NamedTuple):
    """The log certainly did not take the entries and never will."""

    message: str


class AppendUnknown(NamedTuple):
    """The entries were not read back, but may be or come to be there."""

    message: str


AppendOutcome: TypeAlias = Appended | NotAppended | AppendUnknown


class AppendRequest(NamedTuple):
    """What to append.

    Attributes:
        stream: Stream to append to.
        entries: Entries, appended atomically.
        start_offset: The stream's tail as read before the first attempt.
        deadline_s: `time.monotonic()` at which to give up.
    """

    stream: str
    entries: tuple[LogEntry, ...]
    start_offset: int
    deadline_s: float


def append_and_read_back(
    log: Log,
    req: AppendRequest,
    pause: Callable[[float], None] = time.sleep,
) -> AppendOutcome:
    """Appends until the entries are read back or the deadline passes."""
    writer = _Writer(log, req)
    while True:
        outcome = writer.step()
        if outcome is not None:
            return outcome
        if time.monotonic() >= req.deadline_s:
            return writer.give_up()
        pause(RETRY_PAUSE_S)


class _Writer:
    """One append's attempts and how far the stream was read back."""

    def __init__(self, log: Log, req: AppendRequest) -> None:
        self._log = log
        self._req = req
        self._next_offset = req.start_offset
        self._is_answered = False
        self._may_have_applied = False
        self._message = "no attempt was answered"

    def step(self) -> AppendOutcome | None:
        """Appends once and reads to the tail; None to try again."""
        if not self._is_answered:
            self._append()
        return self._read_to_tail() if self._may_have_applied else None

    def give_up(self) -> AppendOutcome:
        """Returns what is known at the deadline."""
        if self._may_have_applied:
            return AppendUnknown(self._message)
        return NotAppended(self._message)

    def _append(self) -> None:
        result = self._log.append(self._req.stream, self._req.entries)
        if isinstance(result, Success):
            self._is_answered = True
            self._may_have_applied = True
            return
        fault = result.failure()
        self._may_have_applied |= fault.may_have_applied
        self._message = fault.message

    def _read_to_tail(self) -> AppendOutcome | None:
        while True:
            result = self._log.read(self._req.stream, self._next_offset)
            if not isinstance(result, Success):
                self._message = result.failure().message
                return None
            page: LogPage = result.unwrap()
            if page.first_offset > self._next_offset:
                return AppendUnknown("the log forgot records before a read")
            offset = self._find(page)
            if offset is not None:
                return Appended(offset)
            if not page.records:
                return None
            self._next_offset = page.records[-1].offset + 1

    def _find(self, page: LogPage) -> int | None:
        record_id = self._req.entries[0].record_id
        for record in page.records:
            if record.record_id == record_id:
                return record.offset
        return None
