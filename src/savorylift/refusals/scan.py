"""Reads whole streams of the refusal account."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from savorylift.log_service.log import (
    REFUSALS_STREAM,
    Log,
    LogFault,
    LogPage,
    LogRecord,
)
from savorylift.refusals.hours import HoursFold
from savorylift.refusals.messages import HOURS_STREAM
from savorylift.refusals.ranges import Range

Visit = Callable[[LogRecord], bool]  # False ends the scan


def scan(
    log: Log, stream: str, start: int, visit: Visit
) -> Result[tuple[int, Range | None], LogFault]:
    """Shows the records from `start` to the tail to `visit`.

    Returns:
        The offset after the last record that was taken, and the offsets from
        `start` on that were forgotten, if any.
    """
    offset, missed = start, None
    while True:
        read = log.read(stream, offset)
        if isinstance(read, Failure):
            return read
        page: LogPage = read.unwrap()
        if page.first_offset > offset:
            missed = (start, page.first_offset)
            offset = page.first_offset
        for record in page.records:
            if not visit(record):
                return Success((record.offset, missed))
            offset = record.offset + 1
        if offset >= page.next_offset:
            return Success((offset, missed))


def read_hours(log: Log) -> Result[HoursFold, LogFault]:
    """Returns the roll-ups that the log holds."""
    fold = HoursFold()

    def visit(record: LogRecord) -> bool:
        fold.apply(record)
        return True

    done = scan(log, HOURS_STREAM, 0, visit)
    return done if isinstance(done, Failure) else Success(fold)


def scan_batches(
    log: Log, start: int, visit: Visit
) -> Result[tuple[int, Range | None], LogFault]:
    """Shows the batches from `start` to the tail to `visit`."""
    return scan(log, REFUSALS_STREAM, start, visit)
