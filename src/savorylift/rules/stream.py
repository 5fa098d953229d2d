"""The rules stream's records in offset order, applied to several folds.

Plain state without threads or clock; `RulesActor` owns one.
"""

import itertools
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from returns.result import Success

from savorylift.log_service.fold import Fold
from savorylift.log_service.log import LogEntry, LogPage, LogRecord
from savorylift.rules.messages import RecordKind, decode
from savorylift.rules.snapshot import (
    SnapshotMark,
    decode_state,
    encode_state,
    join_parts,
    read_mark,
    snapshot_entries,
)

MAX_RECENT_IDS = 2048
TAIL_RECORDS = 1024
TAIL_CHARS = 512 * 1024
ANSWER_CHARS = 64 * 1024

_OWN_DUMP = "stream"


class _OwnState(NamedTuple):
    next_offset: int
    recent_ids: tuple[str, ...]
    mark: SnapshotMark | None


class RulesStream:
    """Applies records once each, in offset order, from any source.

    At its start, and after a gap (the log forgot records that were still
    wanted), it keeps its state, collects records up to the log's tail and
    goes on from the newest snapshot among them that joins up.

    Attributes:
        next_offset: Offset of the next record to fold in.
        first_offset: Oldest offset the log was seen to keep.
        is_rebuilding: True at first, and from a gap on, until the log's tail
            was reached and a state that joins up was found.
        mark: Newest complete snapshot folded in; None if there is none.
        oldest_ms: Time of the oldest record read; None before the first.
    """

    def __init__(self, folds: Mapping[str, Fold]) -> None:
        """Starts before the first record with `folds` in their first state."""
        assert _OWN_DUMP not in folds
        self.next_offset = 0
        self.first_offset = 0
        self.is_rebuilding = True
        self.mark: SnapshotMark | None = None
        self.oldest_ms: int | None = None
        self._folds = dict(folds)
        self._recent_ids: deque[str] = deque()
        self._seen: set[str] = set()
        self._tail: deque[LogRecord] = deque()
        self._tail_chars = 0
        self._ahead: list[LogRecord] = []

    def read_offset(self) -> int:
        """Returns the offset to read the log from next."""
        if self._ahead:
            return self._ahead[-1].offset + 1
        if self.is_rebuilding:
            return max(self.next_offset, self.first_offset)
        return self.next_offset

    def has_applied(self, record_id: str) -> bool:
        """Returns True if the record was folded in not long ago."""
        return record_id in self._seen

    def take_page(self, page: LogPage) -> None:
        """Takes an answer of the log."""
        self.first_offset = max(self.first_offset, page.first_offset)
        if page.records and self.oldest_ms is None:
            self.oldest_ms = page.records[0].time_ms
        if page.first_offset > self.next_offset:
            self._begin_rebuild()
        if not self.is_rebuilding:
            self.take_records(page.records)
            return
        self._collect(page.records)
        if self.read_offset() >= page.next_offset:
            self._rebuild()

    def take_records(self, records: Sequence[LogRecord]) -> None:
        """Takes another node's records; only those that are next count."""
        for record in records:
            if not self.is_rebuilding and record.offset == self.next_offset:
                self._apply(record)

    def records_from(
        self, offset: int, max_chars: int = ANSWER_CHARS
    ) -> tuple[LogRecord, ...]:
        """Returns recent records from `offset` on; empty if too old.

        Bodies beyond `max_chars` are left out, but for the first one's.
        """
        if not self._tail or self._tail[0].offset > offset:
            return ()
        start = offset - self._tail[0].offset
        chosen: list[LogRecord] = []
        chars = 0
        for record in itertools.islice(self._tail, start, None):
            chars += len(record.body)
            if chosen and chars > max_chars:
                break
            chosen.append(record)
        return tuple(chosen)

    def dumps(self) -> dict[str, str]:
        """Returns the whole state by fold name."""
        own = _OwnState(self.next_offset, tuple(self._recent_ids), self.mark)
        dumps = {name: fold.dump() for name, fold in self._folds.items()}
        dumps[_OWN_DUMP] = msgspec.json.encode(own).decode()
        return dumps

    def state_text(self) -> str:
        """Returns the whole state as text for another node."""
        return encode_state(self.dumps())

    def take_state(self, data: str) -> bool:
        """Takes another node's state if it is ahead of this one.

        Returns:
            True if the state was loaded.
        """
        dumps = decode_state(data)
        if not isinstance(dumps, Success):
            return False
        return self._load(dumps.unwrap())

    def snapshot(self) -> tuple[LogEntry, ...]:
        """Returns records of a snapshot of the state as it is now."""
        assert not self.is_rebuilding
        return snapshot_entries(self.next_offset - 1, self.dumps())

    def _begin_rebuild(self) -> None:
        self.is_rebuilding = True
        # What was collected before the log's new start can't be joined to
        # anything that is still to come, unless it reaches that start.
        if self._ahead and self._ahead[-1].offset + 1 < self.first_offset:
            self._ahead = []

    def _collect(self, records: Sequence[LogRecord]) -> None:
        for record in records:
            if record.offset == self.read_offset():
                self._ahead.append(record)

    def _rebuild(self) -> None:
        for end in range(len(self._ahead), 0, -1):
            mark = read_mark(self._ahead[end - 1])
            if mark is not None and self._joins_up(mark):
                start = mark.first_record - self._ahead[0].offset
                dumps = join_parts(self._ahead[start:end])
                if dumps.map(self._load) == Success(True):
                    return
        self._join_ahead()

    def _joins_up(self, mark: SnapshotMark) -> bool:
        first = self._ahead[0].offset
        return mark.offset >= first - 1 and mark.first_record >= first

    def _load(self, dumps: dict[str, str]) -> bool:
        own = self._read_own(dumps)
        if own is None or own.next_offset <= self.next_offset:
            return False
        if not self._load_folds(dumps):
            return False
        self.next_offset = own.next_offset
        self.mark = own.mark
        self._recent_ids = deque(own.recent_ids)
        self._seen = set(own.recent_ids)
        self._tail.clear()
        self._tail_chars = 0
        self._join_ahead()
        return True

    def _load_folds(self, dumps: dict[str, str]) -> bool:
        before = {name: fold.dump() for name, fold in self._folds.items()}
        try:
            for name, fold in self._folds.items():
                fold.load(dumps[name])
        except msgspec.DecodeError:
            # One unreadable snapshot must not end every node that reads it.
            for name, fold in self._folds.items():
                fold.load(before[name])
            return False
        return True

    def _read_own(self, dumps: dict[str, str]) -> _OwnState | None:
        if not dumps.keys() >= {_OWN_DUMP, *self._folds}:
            return None
        return decode(dumps[_OWN_DUMP], _OwnState).value_or(None)

    def _join_ahead(self) -> None:
        ahead, self._ahead = self._ahead, []
        start = ahead[0].offset if ahead else self.first_offset
        if start > self.next_offset:
            self._ahead = ahead
            return
        self.is_rebuilding = False
        self.take_records(ahead)

    def _apply(self, record: LogRecord) -> None:
        self.next_offset = record.offset + 1
        self._keep(record)
        if record.record_id in self._seen:
            return
        self._remember(record.record_id)
        if record.kind == RecordKind.SNAPSHOT:
            self._take_mark(read_mark(record))
            return
        for fold in self._folds.values():
            fold.apply(record)

    def _take_mark(self, mark: SnapshotMark | None) -> None:
        # A slow writer's snapshot may stand for less than an earlier one.
        if mark and (self.mark is None or mark.offset >= self.mark.offset):
            self.mark = mark

    def _remember(self, record_id: str) -> None:
        self._seen.add(record_id)
        self._recent_ids.append(record_id)
        if len(self._recent_ids) > MAX_RECENT_IDS:
            self._seen.discard(self._recent_ids.popleft())

    def _keep(self, record: LogRecord) -> None:
        self._tail.append(record)
        self._tail_chars += len(record.body)
        while len(self._tail) > TAIL_RECORDS or self._tail_chars > TAIL_CHARS:
            self._tail_chars -= len(self._tail.popleft().body)
