"""Carries counts forward by the hour before the log forgets batches.

Each run counts the batches of which it is time, on top of the last valid
roll-up, and appends the hours that changed, those whose records grow old, and
last a checkpoint. Two nodes that run at once come to the same counts.
"""

import time
from collections import Counter
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.log_service.log import Log, LogEntry, LogFault, LogRecord
from savorylift.refusals.fold import RefusalFold
from savorylift.refusals.hours import (
    Counts,
    Hour,
    HoursFold,
    checkpoint_entry,
    hour_entries,
    hour_key,
)
from savorylift.refusals.messages import HOURS_STREAM, Checkpoint
from savorylift.refusals.pending import minute_key
from savorylift.refusals.ranges import Range
from savorylift.refusals.scan import read_hours, scan_batches

GROUP_RECORDS = 20
MAX_MISSED = 100


class RollUpCfg(NamedTuple):
    """When records are carried forward; all well under the log's retention.

    Attributes:
        batch_age_ms: Age from which a batch is counted by the hour.
        hour_age_ms: Age from which an unchanged hour is appended again.
        kept_ms: Age from which an hour is no longer carried forward.
    """

    batch_age_ms: int = 3_600_000
    hour_age_ms: int = 6 * 3_600_000
    kept_ms: int = 400 * 24 * 3_600_000


class _Added(NamedTuple):
    """Counts of the batches that a run takes in."""

    fold: RefusalFold
    by_hour: dict[int, Counts]
    until_offset: int
    missed: Range | None


def roll_up(log: Log, cfg: RollUpCfg) -> Result[bool, LogFault]:
    """Appends one roll-up if there is cause; returns whether there was."""
    read = read_hours(log)
    if isinstance(read, Failure):
        return read
    hours: HoursFold = read.unwrap()
    now_ms = int(time.time() * 1000)
    added = _count_batches(log, hours, now_ms - cfg.batch_age_ms)
    if isinstance(added, Failure):
        return added
    entries = _entries(hours, added.unwrap(), cfg, now_ms)
    if not entries:
        return Success(False)
    return _append_all(log, entries)


def _count_batches(
    log: Log, hours: HoursFold, until_ms: int
) -> Result[_Added, LogFault]:
    fold = RefusalFold(hours.checkpoint)
    by_hour: dict[int, Counts] = {}

    def visit(record: LogRecord) -> bool:
        if record.time_ms >= until_ms:
            return False
        fresh = fold.apply(record)
        lines = [(minute_key(row), 1) for row in fresh.rows]
        for key, count in (*lines, *fresh.counts):
            line = hour_key(key)
            by_hour.setdefault(line.start_ms, Counter())[line] += count
        return True

    done = scan_batches(log, hours.until_offset, visit)
    if isinstance(done, Failure):
        return done
    until_offset, missed = done.unwrap()
    return Success(_Added(fold, by_hour, until_offset, missed))


def _entries(
    hours: HoursFold, added: _Added, cfg: RollUpCfg, now_ms: int
) -> list[LogEntry]:
    known = hours.hours()
    old_ms = now_ms - cfg.hour_age_ms
    carried = {
        hour_ms
        for hour_ms, hour in known.items()
        if hour.time_ms < old_ms and hour_ms > now_ms - cfg.kept_ms
    }
    wanted = sorted(carried | added.by_hour.keys())
    if not wanted and added.until_offset == hours.until_offset:
        return []
    prefix = new_id("roll")
    entries: list[LogEntry] = []
    for hour_ms in wanted:
        counts = _sum(known.get(hour_ms), added.by_hour.get(hour_ms))
        entries += hour_entries(hour_ms, counts, added.until_offset, prefix)
    old_missed = hours.checkpoint.missed if hours.checkpoint else ()
    missed = (*old_missed, added.missed) if added.missed else old_missed
    checkpoint = Checkpoint(
        added.until_offset, added.fold.dump(now_ms), missed[-MAX_MISSED:]
    )
    return [*entries, checkpoint_entry(checkpoint, prefix)]


def _sum(known: Hour | None, added: Counts | None) -> Counts:
    total: Counts = Counter()
    total.update(known.counts if known else ())
    total.update(added or ())
    return total


def _append_all(log: Log, entries: list[LogEntry]) -> Result[bool, LogFault]:
    """Appends in groups; the checkpoint goes last and only after the rest."""
    for at in range(0, len(entries), GROUP_RECORDS):
        group = tuple(entries[at : at + GROUP_RECORDS])
        appended = log.append(HOURS_STREAM, group)
        if isinstance(appended, Failure):
            return appended
    return Success(True)
