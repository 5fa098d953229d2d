"""Counts by the hour, as the roll-up stream gives them."""

from collections import Counter
from typing import NamedTuple

import msgspec

from savorylift.log_service.log import LogEntry, LogRecord
from savorylift.refusals.messages import (
    CHECKPOINT_KIND,
    HOUR_KIND,
    Checkpoint,
    HourPart,
    LineKey,
)

HOUR_MS = 3_600_000
PART_LINES = 400

Counts = Counter[LineKey]


class Hour(NamedTuple):
    """One hour's counts.

    Attributes:
        counts: By line; the key's start is the hour's.
        until_offset: All batches before this offset are counted.
        time_ms: When its newest part was appended.
    """

    counts: Counts
    until_offset: int
    time_ms: int


class _Parts:
    """Parts of one hour at one offset."""

    def __init__(self) -> None:
        self.by_number: dict[int, HourPart] = {}
        self.time_ms = 0

    def add(self, part: HourPart, time_ms: int) -> None:
        self.by_number[part.part] = part
        self.time_ms = max(self.time_ms, time_ms)

    def is_whole(self) -> bool:
        wanted = next(iter(self.by_number.values())).parts
        return len(self.by_number) == wanted

    def to_hour(self, until_offset: int) -> Hour:
        counts: Counts = Counter()
        for part in self.by_number.values():
            counts.update(dict(part.counts))
        return Hour(counts, until_offset, self.time_ms)


class HoursFold:
    """Fold over the roll-up stream.

    Parts count once a checkpoint that is not behind them has been appended;
    of several roll-ups of an hour the newest such one counts.
    """

    def __init__(self) -> None:
        """Starts before the first record."""
        self.checkpoint: Checkpoint | None = None
        self._parts: dict[int, dict[int, _Parts]] = {}

    def apply(self, record: LogRecord) -> None:
        """Applies one record; ignores kinds that it does not know."""
        if record.kind == HOUR_KIND:
            part = msgspec.json.decode(record.body, type=HourPart)
            by_offset = self._parts.setdefault(part.hour_ms, {})
            parts = by_offset.setdefault(part.until_offset, _Parts())
            parts.add(part, record.time_ms)
        elif record.kind == CHECKPOINT_KIND:
            found = msgspec.json.decode(record.body, type=Checkpoint)
            if self.until_offset <= found.until_offset:
                self.checkpoint = found

    @property
    def until_offset(self) -> int:
        """All batches before this offset are counted by the hour."""
        return self.checkpoint.until_offset if self.checkpoint else 0

    def hours(self) -> dict[int, Hour]:
        """Returns the valid counts by the hour's start."""
        valid = {}
        for hour_ms, by_offset in self._parts.items():
            usable = [
                offset
                for offset, parts in by_offset.items()
                if offset <= self.until_offset and parts.is_whole()
            ]
            if usable:
                newest = max(usable)
                valid[hour_ms] = by_offset[newest].to_hour(newest)
        return valid


def hour_key(key: LineKey) -> LineKey:
    """Returns the line of the hour that a line of a minute belongs to."""
    return key._replace(start_ms=key.start_ms - key.start_ms % HOUR_MS)


def hour_entries(
    hour_ms: int, counts: Counts, until_offset: int, id_prefix: str
) -> list[LogEntry]:
    """Returns the records of one hour."""
    lines = sorted(counts.items(), key=_sort_key)
    chunks = [
        tuple(lines[at : at + PART_LINES])
        for at in range(0, len(lines), PART_LINES)
    ]
    return [
        LogEntry(
            f"{id_prefix}-{hour_ms}-{number}",
            HOUR_KIND,
            _encode(
                HourPart(hour_ms, until_offset, number, len(chunks), chunk)
            ),
        )
        for number, chunk in enumerate(chunks)
    ]


def checkpoint_entry(checkpoint: Checkpoint, id_prefix: str) -> LogEntry:
    """Returns the record that makes a roll-up valid."""
    return LogEntry(
        f"{id_prefix}-checkpoint", CHECKPOINT_KIND, _encode(checkpoint)
    )


def _sort_key(line: tuple[LineKey, int]) -> tuple[str, ...]:
    return tuple(str(field) for field in line[0])


def _encode(body: HourPart | Checkpoint) -> str:
    return msgspec.json.encode(body).decode()
