"""The platform's log over HTTP."""

import urllib.parse

import msgspec
from returns.result import Failure, Result, Success

from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import (
    ClientConfig,
    ClientFault,
    JsonClient,
    JsonRequest,
    bad_answer,
)
from savorylift.log_service.log import LogEntry, LogFault, LogPage, LogRecord

READ_LIMIT = 500  # records a page; bounds the memory one answer takes


class _WireEntry(msgspec.Struct):
    id: str
    kind: str
    body: str


class _WireAppend(msgspec.Struct):
    records: list[_WireEntry]


class _WireAppended(msgspec.Struct):
    first_offset: int


class _WireRecord(msgspec.Struct):
    offset: int
    id: str
    kind: str
    body: str
    time_ms: int


class _WirePage(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[_WireRecord]


class HttpLog:
    """Implements `Log`; safe for use by several threads."""

    def __init__(self, cfg: ClientConfig, counters: PlatformCounters) -> None:
        """Makes a client; connections are opened when first needed."""
        self._client = JsonClient("log", cfg, counters)

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        """Appends entries atomically; returns the first one's offset."""
        wire = _WireAppend([_WireEntry(*entry) for entry in entries])
        req = JsonRequest("POST", _path(stream), msgspec.json.encode(wire))
        answer = self._client.request(req, _WireAppended)
        return answer.map(lambda wire: wire.first_offset).alt(_log_fault)

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        """Reads records from `offset`, waiting up to `wait_s` for one."""
        query = urllib.parse.urlencode(
            {
                "from": offset,
                "wait_ms": int(wait_s * 1000),
                "limit": READ_LIMIT,
            }
        )
        req = JsonRequest("GET", f"{_path(stream)}?{query}", wait_s=wait_s)
        answer = self._client.request(req, _WirePage)
        return answer.bind(_read_page).alt(_log_fault)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


def _path(stream: str) -> str:
    return f"/v1/streams/{urllib.parse.quote(stream, safe='')}/records"


def _read_page(wire: _WirePage) -> Result[LogPage, ClientFault]:
    records = tuple(
        LogRecord(rec.offset, rec.id, rec.kind, rec.body, rec.time_ms)
        for rec in wire.records
    )
    page = LogPage(wire.first_offset, wire.next_offset, records)
    if not _is_in_order(page):
        return Failure(bad_answer("records out of order"))
    return Success(page)


def _is_in_order(page: LogPage) -> bool:
    previous = page.first_offset - 1
    for record in page.records:
        if record.offset <= previous:
            return False
        previous = record.offset
    return previous < page.next_offset


def _log_fault(fault: ClientFault) -> LogFault:
    return LogFault(fault.may_have_applied, fault.message)
