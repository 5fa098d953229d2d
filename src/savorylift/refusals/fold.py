"""Which refusals of the stream count: a fold over its batches."""

from typing import NamedTuple

import msgspec

from savorylift.identity import NodeRef
from savorylift.log_service.log import LogRecord
from savorylift.refusals.messages import (
    BATCH_KIND,
    Batch,
    Checkpoint,
    LineKey,
    Row,
    SeenSequences,
)
from savorylift.refusals.ranges import SequenceSet

SEEN_KEPT_MS = 7 * 24 * 3_600_000


class Fresh(NamedTuple):
    """What one record adds to the account.

    Attributes:
        source: Node that refused; None if the record is no batch.
        rows: Refusals not counted before.
        counts: Numbers of refusals not counted before, by minute.
    """

    source: NodeRef | None = None
    rows: tuple[Row, ...] = ()
    counts: tuple[tuple[LineKey, int], ...] = ()


class _Seen:
    """Sequence numbers of one node, and when the newest came."""

    def __init__(self) -> None:
        self.sequences = SequenceSet()
        self.time_ms = 0


class RefusalFold:
    """Counts each sequence number of an incarnation once."""

    def __init__(self, checkpoint: Checkpoint | None = None) -> None:
        """Starts at a checkpoint, or before the first record."""
        self._seen: dict[NodeRef, _Seen] = {}
        for seen in checkpoint.seen if checkpoint else ():
            mark = self._of(NodeRef(seen.vm, seen.incarnation))
            mark.sequences.add_all(seen.sequences)
            mark.time_ms = seen.time_ms

    def apply(self, record: LogRecord) -> Fresh:
        """Applies one record; returns what had not been counted."""
        if record.kind != BATCH_KIND:
            return Fresh()
        batch = msgspec.json.decode(record.body, type=Batch)
        mark = self._of(batch.source)
        mark.time_ms = max(mark.time_ms, record.time_ms)
        rows = tuple(
            row
            for row in batch.rows
            if mark.sequences.add(row.sequence, row.sequence + 1)
        )
        counts = tuple(
            (line.key, mark.sequences.add_all(line.sequences))
            for line in batch.lines
        )
        return Fresh(batch.source, rows, counts)

    def dump(self, now_ms: int) -> tuple[SeenSequences, ...]:
        """Returns what is counted, without nodes whose records are all old."""
        return tuple(
            SeenSequences(*ref, mark.sequences.ranges(), mark.time_ms)
            for ref, mark in sorted(self._seen.items())
            if mark.time_ms > now_ms - SEEN_KEPT_MS
        )

    def _of(self, ref: NodeRef) -> _Seen:
        return self._seen.setdefault(ref, _Seen())
