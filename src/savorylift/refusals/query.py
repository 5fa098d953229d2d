"""Answers who was turned away in a period, and why."""

from collections import Counter
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.identity import NodeRef
from savorylift.log_service.log import Log, LogFault, LogRecord
from savorylift.outcomes import Ending, Reason
from savorylift.refusals.fold import RefusalFold
from savorylift.refusals.hours import HOUR_MS, HoursFold
from savorylift.refusals.messages import LineKey, Row
from savorylift.refusals.pending import MINUTE_MS, minute_key
from savorylift.refusals.ranges import Range
from savorylift.refusals.scan import read_hours, scan_batches


class Period(NamedTuple):
    """What is asked for.

    Attributes:
        from_ms: Wall-clock start.
        to_ms: Wall-clock end, not included.
        team: Only this team's refusals; None for all.
    """

    from_ms: int
    to_ms: int
    team: str | None = None


class ReportLine(NamedTuple):
    """Refusals of one team for one reason under one rule."""

    team: str
    ending: Ending
    reason: Reason
    rule: str | None
    asked_by: str | None
    refusals: int


class Report(NamedTuple):
    """The account of a period.

    Attributes:
        lines: By team, ending, reason and rule.
        total: Sum of the lines.
        is_widened: True if counts kept by the hour or minute reach past the
            ends of the period.
        missed: Offsets of batches that were forgotten uncounted.
    """

    lines: tuple[ReportLine, ...]
    total: int
    is_widened: bool
    missed: tuple[Range, ...]


class FoundRow(NamedTuple):
    """A refusal and the node that gave it."""

    source: NodeRef
    row: Row


class _Tally:
    """Sums up what falls into the period."""

    def __init__(self, period: Period) -> None:
        self.counts: Counter[LineKey] = Counter()
        self.is_widened = False
        self._period = period

    def add_row(self, row: Row) -> None:
        period = self._period
        if period.from_ms <= row.time_ms < period.to_ms:
            self._add(minute_key(row), 1)

    def add_line(self, key: LineKey, count: int, span_ms: int) -> None:
        period = self._period
        end_ms = key.start_ms + span_ms
        if key.start_ms >= period.to_ms or end_ms <= period.from_ms:
            return
        if self._add(key, count):
            starts_before = key.start_ms < period.from_ms
            self.is_widened |= starts_before or end_ms > period.to_ms

    def _add(self, key: LineKey, count: int) -> bool:
        if self._period.team not in (None, key.team):
            return False
        self.counts[key._replace(start_ms=0)] += count
        return True


def report(log: Log, period: Period) -> Result[Report, LogFault]:
    """Reads the account and sums up one period."""
    read = read_hours(log)
    if isinstance(read, Failure):
        return read
    hours: HoursFold = read.unwrap()
    tally = _Tally(period)
    for hour in hours.hours().values():
        for key, count in hour.counts.items():
            tally.add_line(key, count, HOUR_MS)
    fold = RefusalFold(hours.checkpoint)

    def visit(record: LogRecord) -> bool:
        fresh = fold.apply(record)
        for row in fresh.rows:
            tally.add_row(row)
        for key, count in fresh.counts:
            tally.add_line(key, count, MINUTE_MS)
        return True

    done = scan_batches(log, hours.until_offset, visit)
    if isinstance(done, Failure):
        return done
    return Success(_to_report(tally, hours, done.unwrap()[1]))


def find_request(
    log: Log, request_id: str
) -> Result[tuple[FoundRow, ...], LogFault]:
    """Returns the refusals of one request that the log still has whole."""
    fold = RefusalFold()
    found: list[FoundRow] = []

    def visit(record: LogRecord) -> bool:
        fresh = fold.apply(record)
        if fresh.source is not None:
            source = fresh.source
            rows = [r for r in fresh.rows if r.request_id == request_id]
            found.extend(FoundRow(source, row) for row in rows)
        return True

    done = scan_batches(log, 0, visit)
    return done if isinstance(done, Failure) else Success(tuple(found))


def _to_report(tally: _Tally, hours: HoursFold, missed: Range | None) -> Report:
    lines = [
        ReportLine(*key[1:], count)
        for key, count in tally.counts.items()
        if count
    ]
    lines.sort(key=lambda line: (line.team, -line.refusals, line.reason))
    known = hours.checkpoint.missed if hours.checkpoint else ()
    return Report(
        tuple(lines),
        sum(line.refusals for line in lines),
        tally.is_widened,
        (*known, missed) if missed else known,
    )
