"""Snapshots of every fold's state, as records and between nodes."""

import base64
import binascii
import zlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.platform.log import LogEntry, LogRecord
from savorylift.rendezvous import rank
from savorylift.rules.messages import (
    RecordKind,
    SnapshotPart,
    decode,
    encode,
)

PART_CHARS = 64 * 1024
MAX_STATE_BYTES = 64 * 1024 * 1024

DUE_FRACTION = 0.5  # of retention, for the node that ranks first
RANK_FRACTION = 0.05  # of retention, more for each further rank
LATEST_FRACTION = 0.9
LOST_RANK_DELAY_S = 2.0  # between ranks once no snapshot is usable


class SnapshotMark(NamedTuple):
    """Where the newest complete snapshot of a stream stands.

    Attributes:
        offset: Newest offset folded into it.
        first_record: Offset of its first part.
        time_ms: Wall-clock time of its append by the log's clock.
    """

    offset: int
    first_record: int
    time_ms: int

    def is_usable(self, first_offset: int) -> bool:
        """Returns True if a log kept from `first_offset` can use it."""
        return (
            self.first_record >= first_offset
            and self.offset >= first_offset - 1
        )


class SnapshotTurn(NamedTuple):
    """What decides whether this node writes a snapshot now.

    Attributes:
        mark: Newest snapshot; None if there is none.
        first_offset: Oldest offset the log keeps.
        oldest_ms: Time of the oldest record known; None if none is.
        now_ms: Wall-clock time.
        retention_s: How long the log keeps records.
        unusable_s: Seconds since `mark` was first seen to be unusable.
        vm: This node.
        members: VM names of the nodes on the roster.
    """

    mark: SnapshotMark | None
    first_offset: int
    oldest_ms: int | None
    now_ms: int
    retention_s: float
    unusable_s: float
    vm: str
    members: Sequence[str]

    def is_due(self) -> bool:
        """Returns True if it's this node's turn to write a snapshot.

        Ranks follow from rendezvous hashing, so that one node does it
        and the next ones only if it hasn't.
        """
        if self.is_lost():
            return self.unusable_s >= self._rank() * LOST_RANK_DELAY_S
        since_ms = self.mark.time_ms if self.mark else self.oldest_ms
        if since_ms is None:
            return False
        fraction = DUE_FRACTION + RANK_FRACTION * self._rank()
        limit_s = self.retention_s * min(fraction, LATEST_FRACTION)
        return (self.now_ms - since_ms) / 1000 >= limit_s

    def is_lost(self) -> bool:
        """Returns True if the log has forgotten what a new reader needs."""
        if self.mark is None:
            return self.first_offset > 0
        return not self.mark.is_usable(self.first_offset)

    def _rank(self) -> int:
        key = f"snapshot {self.mark.offset if self.mark else -1}"
        order = rank(key, {*self.members, self.vm})
        return order.index(self.vm)


def encode_state(dumps: Mapping[str, str]) -> str:
    """Returns the text of every fold's dump, by fold name."""
    return base64.b85encode(
        zlib.compress(msgspec.json.encode(dict(dumps)))
    ).decode()


def decode_state(data: str) -> Result[dict[str, str], str]:
    """Returns the dumps by fold name, or why they can't be read."""
    try:
        packed = base64.b85decode(data)
        inflater = zlib.decompressobj()
        text = inflater.decompress(packed, MAX_STATE_BYTES)
        return Success(msgspec.json.decode(text, type=dict[str, str]))
    except (ValueError, zlib.error, binascii.Error) as exc:
        return Failure(str(exc))


def snapshot_entries(
    offset: int, dumps: Mapping[str, str]
) -> tuple[LogEntry, ...]:
    """Returns the records of a snapshot, to be appended together."""
    data = encode_state(dumps)
    snapshot_id = new_id("snapshot")
    starts = range(0, len(data), PART_CHARS)
    return tuple(
        LogEntry(
            f"{snapshot_id}-{part}",
            RecordKind.SNAPSHOT,
            encode(
                SnapshotPart(
                    snapshot_id,
                    offset,
                    part,
                    len(starts),
                    data[start : start + PART_CHARS],
                )
            ),
        )
        for part, start in enumerate(starts)
    )


def read_mark(record: LogRecord) -> SnapshotMark | None:
    """Returns where a snapshot stands if `record` is its last part."""
    part = _read_part(record)
    if part is None or part.part != part.parts - 1:
        return None
    first_record = record.offset - part.part
    if not -1 <= part.offset < first_record:
        return None
    return SnapshotMark(part.offset, first_record, record.time_ms)


def join_parts(records: Sequence[LogRecord]) -> Result[dict[str, str], str]:
    """Returns the dumps of a snapshot whose parts are `records`."""
    parts = [_read_part(record) for record in records]
    whole = [part for part in parts if part is not None]
    if [part.part for part in whole] != list(range(len(records))):
        return Failure("a part is missing")
    if len({part.snapshot_id for part in whole}) != 1:
        return Failure("parts of different snapshots")
    return decode_state("".join(part.data for part in whole))


def _read_part(record: LogRecord) -> SnapshotPart | None:
    if record.kind != RecordKind.SNAPSHOT:
        return None
    return decode(record.body, SnapshotPart).value_or(None)
