"""Calls to the platform's store: a log with the newest record a key."""

import base64
import enum
import struct
import urllib.parse
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import Response

OPERATORS = "keyed.op"
SERVERS = "keyed.servers"
NODES = "keyed.nodes"
REFUSALS = "keyed.refusals"
RULES = "keyed.rules"

CONNECT_S = 0.5
# Slower answers are of no use: the next try starts a new connection.
ANSWER_S = 0.8
READ_KB = 1024
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


class Fault(enum.Enum):
    """Why a call to the store gave nothing."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    TRIMMED = "trimmed"
    OUTRUN = "outrun"
    UNREADABLE = "unreadable"


class StoreError(NamedTuple):
    """A call that failed.

    Attributes:
        fault: What kind of failure.
        detail: Status or error text, for logs.
    """

    fault: Fault
    detail: str


class Record(NamedTuple):
    """The newest known record of a key.

    Attributes:
        key: The key, without its topic.
        value: The value; None if the key was removed.
    """

    key: str
    value: bytes | None


class Batch(NamedTuple):
    """What one call returned.

    Attributes:
        records: Records in the order of the log.
        next_offset: Offset to read on from.
    """

    records: tuple[Record, ...]
    next_offset: int


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    end: int
    has_more: bool = False


class StoreClient:
    """Reads and writes partition 0 of keyed topics."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Every call opens a connection to `address` of its own."""
        self._address = address

    async def list_newest(self, topic: str) -> Result[Batch, StoreError]:
        """Returns the newest record of each key.

        Pages aren't a snapshot, so reading goes on from the end that the
        first page named.
        """
        records: list[Record] = []
        start: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            answer = await self._call("GET", "/log-newest", query)
            if isinstance(answer, StoreError):
                return Failure(answer)
            try:
                page = msgspec.json.decode(answer.body, type=_Page)
                records += [_record(item) for item in page.items]
            except (msgspec.DecodeError, ValueError) as exc:
                return Failure(StoreError(Fault.UNREADABLE, str(exc)))
            start = page.end if start is None else start
            if not page.has_more or not page.items:
                return Success(Batch(tuple(records), start))
            after = page.items[-1].key

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[Batch, StoreError]:
        """Returns records from `offset` on, waiting for one if need be."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "maxKb": str(READ_KB),
            "waitMs": str(round(wait_s * 1000)),
        }
        answer = await self._call("GET", "/log-read", query, wait_s=wait_s)
        if isinstance(answer, StoreError):
            return Failure(answer)
        records = _parse_records(answer.body)
        if records is None:
            return Failure(StoreError(Fault.UNREADABLE, "cut short"))
        # The answer may end within a record: only whole ones are counted.
        keyed = tuple(record for record in records if record is not None)
        return Success(Batch(keyed, offset + len(records)))

    async def append(
        self, topic: str, records: Sequence[Record], at: int | None = None
    ) -> Result[int, StoreError]:
        """Adds records, all or none; returns the offset of the first.

        Args:
            topic: Where to.
            records: What to add.
            at: Offset at which the topic must end for that, if any will not
                do; otherwise the fault is `OUTRUN`.
        """
        body = b"".join(_encode(record) for record in records)
        query = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = str(at)
        answer = await self._call("POST", "/log-append", query, body=body)
        if isinstance(answer, StoreError):
            return Failure(answer)
        try:
            return Success(int(msgspec.json.decode(answer.body)["offset"]))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
            return Failure(StoreError(Fault.UNREADABLE, str(exc)))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> Response | StoreError:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            answer = await fetch(
                self._address,
                method,
                target,
                body=body,
                timeout_s=ANSWER_S + wait_s,
                connect_s=CONNECT_S,
            )
        except (OSError, BrokenAnswerError) as exc:
            return StoreError(Fault.UNREACHABLE, f"{type(exc).__name__}: {exc}")
        if answer.status == 410:
            return StoreError(Fault.TRIMMED, "410")
        if answer.status == 412:
            return StoreError(Fault.OUTRUN, "412")
        if answer.status != 200:
            return StoreError(Fault.REFUSED, str(answer.status))
        return answer


def _encode(record: Record) -> bytes:
    name = record.key.encode()
    content = bytes([len(name)]) + name + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _record(item: _Item) -> Record:
    return Record(item.key, base64.b64decode(item.value))


def _parse_records(data: bytes) -> list[Record | None] | None:
    """Returns whole records; None in place of one that can't be read."""
    if len(data) < _READ_HEAD.size:
        return None
    position = _READ_HEAD.size
    records: list[Record | None] = []
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        start = position + _LENGTH.size
        if start + length > len(data):
            break
        records.append(_keyed(data[start : start + length]))
        position = start + length
    return records


def _keyed(record: bytes) -> Record | None:
    if not record or len(record) < 1 + record[0]:
        return None
    key = record[1 : 1 + record[0]]
    value = record[1 + record[0] :]
    try:
        return Record(key.decode(), value or None)
    except UnicodeDecodeError:
        return None
