"""The platform's append-only log as the rest of the package sees it."""

from typing import NamedTuple, Protocol

from returns.result import Result

RULES_STREAM = "rules"
REFUSALS_STREAM = "refusals"
CLAIMS_STREAM = "claims"  # shard N > 0 is read from `claims-N`


class LogRecord(NamedTuple):
    """One record of a log stream.

    Attributes:
        offset: Position in the stream, assigned by the log, from 0.
        record_id: Identifier made by the writer; a second record with the
            same identifier is ignored by readers.
        kind: Record type, such as `rules.edit`.
        body: JSON text of the record's message.
        time_ms: Wall-clock time of the append by the log's clock.
    """

    offset: int
    record_id: str
    kind: str
    body: str
    time_ms: int


class LogEntry(NamedTuple):
    """A record to append; fields as in `LogRecord`."""

    record_id: str
    kind: str
    body: str


class LogPage(NamedTuple):
    """Answer to a read.

    Attributes:
        first_offset: Oldest offset the stream still keeps.
        next_offset: Offset the next append will get (the stream's tail).
        records: Records from the asked offset on, in offset order.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogFault(NamedTuple):
    """A log request without a usable answer.

    Attributes:
        may_have_applied: True when an append may have taken effect.
        message: Cause, for operators.
    """

    may_have_applied: bool
    message: str


class Log(Protocol):
    """Reads and appends records of the platform's log."""

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        """Appends entries atomically; returns the first one's offset."""

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        """Reads records from `offset`, waiting up to `wait_s` for one."""
