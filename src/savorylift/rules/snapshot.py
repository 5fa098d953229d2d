"""Snapshots of every fold's state, as records and between nodes."""

import base64
import binascii
import zlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.log_service.log import LogEntry, LogRecord
from savorylift.rules.messages import (
    RecordKind,
    SnapshotPart,
    decode,
    encode,
)

PART_CHARS = 64 * 1024
MAX_STATE_BYTES = 64 * 1024 * 1024


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
