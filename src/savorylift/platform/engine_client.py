"""Calls to model engines: copies of KV caches, and reports."""

import enum
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import structlog
from returns.result import Failure, Result, Success

from savorylift.backends.server_start import NO_REPORT, NO_START
from savorylift.exchange.server_notice import NO_NOTICE, ServerNotice
from savorylift.json_input import decode_json
from savorylift.platform.notices import decode_notice
from savorylift.wire.address import split_address
from savorylift.wire.channel import Channel
from savorylift.wire.client_call import BrokenAnswerError, fetch, fetch_on
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.message import Response, ResponseHead
from savorylift.wire.purpose import Purpose

# Takes the address of a server, its start if it says so, and its notice.
NoticeHandler = Callable[[tuple[str, int], int | None, ServerNotice], None]

# What a server says of itself.
REPORT = "/report"
# Answers of servers that know no such resource.
NO_REPORT_STATUSES = frozenset({400, 404, 405, 501})
MAX_LOGGED_CHARACTERS = 100

_log = structlog.get_logger()


class CopyFault(enum.Enum):
    """Reason why a copy failed."""

    NO_SUCH_RUN = "no_such_run"
    IN_PROGRESS = "in_progress"
    NO_ROOM = "no_room"
    UNREACHABLE = "unreachable"
    UNREADABLE = "unreadable"


class CopyError(NamedTuple):
    """A failed copy.

    Attributes:
        fault: Reason of the failure.
        handle: Handle of the KV cache kept at the source if the run was
            stopped; None otherwise.
    """

    fault: CopyFault
    handle: str | None = None


class CopyResult(NamedTuple):
    """A completed copy.

    Attributes:
        handle: Identifies the copy at its source and destination.
        events: Number of events that the run had generated when the copy was
            complete.
    """

    handle: str
    events: int


FAULT_BY_STATUS = {
    404: CopyFault.NO_SUCH_RUN,
    409: CopyFault.IN_PROGRESS,
    503: CopyFault.NO_ROOM,
}


async def copy_run(
    source: tuple[str, int],
    destination: tuple[str, int],
    attempt_id: str,
    *,
    stops_run: bool,
    timeout_s: float,
) -> Result[CopyResult, CopyError]:
    """Copies a run's KV cache, or the part added since the last copy.

    Args:
        source: Address of the engine that executes the run.
        destination: Address of the engine to copy to.
        attempt_id: Identifier of the run.
        stops_run: Whether the source stops the run before the copy, so that it
            can be resumed from the complete KV cache.
        timeout_s: Timeout of the whole call.
    """
    host, port = destination
    payload: dict[str, object] = {"id": attempt_id, "to": f"{host}:{port}"}
    if stops_run:
        payload["last"] = True
    try:
        response = await fetch(
            source,
            "POST",
            "/kv-move",
            headers=(("content-type", "application/json"),),
            body=msgspec.json.encode(payload),
            timeout_s=timeout_s,
            connect_timeout_s=timeout_s,
            purpose=Purpose.COPY,
        )
    except (OSError, BrokenAnswerError):
        return Failure(CopyError(CopyFault.UNREACHABLE))
    return _read_copy(response)


def _read_copy(response: Response) -> Result[CopyResult, CopyError]:
    """Reads what the source of a copy has answered."""
    body = decode_json(response.body or b"{}", dict).value_or({})
    handle = body.get("handle")
    handle = None if handle is None else str(handle)
    if response.status != 200:
        fault = FAULT_BY_STATUS.get(response.status, CopyFault.UNREADABLE)
        return Failure(CopyError(fault, handle))
    # Despite its name, the field holds the number of events so far.
    events = body.get("createdRev")
    if handle is None or not isinstance(events, int):
        return Failure(CopyError(CopyFault.UNREADABLE, handle))
    return Success(CopyResult(handle, events))


async def drop_copy(
    source: tuple[str, int], handle: str, *, timeout_s: float
) -> bool:
    """Frees a copy at both ends; returns whether the source confirmed it."""
    try:
        response = await fetch(
            source,
            "DELETE",
            f"/kv-handle/{handle}",
            timeout_s=timeout_s,
            connect_timeout_s=timeout_s,
            purpose=Purpose.COPY,
        )
    except (OSError, BrokenAnswerError):
        return False
    return response.status < 300


def _ignore_notice(
    address: tuple[str, int], started_ms: int | None, notice: ServerNotice
) -> None:
    """Does nothing with what a server says of its plans."""


async def read_start(
    address: tuple[str, int],
    timeout_s: float,
    on_notice: NoticeHandler = _ignore_notice,
) -> int | None:
    """Returns when the server at an address started, as its report says.

    That is a Unix time in milliseconds; `NO_START` if it doesn't say,
    `NO_REPORT` if it has no report, and None if it doesn't answer.

    Args:
        address: Address of the server.
        timeout_s: Timeout of the whole call.
        on_notice: Called with what the answer says of the server's plans.
    """
    response = await _fetch_report(address, timeout_s)
    if response is None:
        return None
    if response.status in NO_REPORT_STATUSES:
        on_notice(address, None, decode_notice(_head_of(response)))
        return NO_REPORT
    return _start_with_notice(response, address, on_notice)


async def read_start_on(
    channel: Channel,
    timeout_s: float,
    on_notice: NoticeHandler = _ignore_notice,
) -> int | None:
    """Returns the start that a server names on an open connection.

    That is a Unix time in milliseconds; `NO_START` if it doesn't say, and None
    if it doesn't answer. Closes the connection.

    Args:
        channel: The connection.
        timeout_s: Timeout of the call.
        on_notice: Called with what the answer says of the server's plans.
    """
    peer = channel.peer
    try:
        async with InputTimeout(timeout_s):
            response = await fetch_on(
                channel, "GET", REPORT, (("host", peer),), b""
            )
    except (OSError, BrokenAnswerError):
        return None
    return _start_with_notice(response, split_address(peer), on_notice)


def _start_with_notice(
    response: Response, address: tuple[str, int], on_notice: NoticeHandler
) -> int:
    """Returns the start in a report, and passes on the server's notice."""
    start_ms = _start_in(response)
    said_ms = None if start_ms == NO_START else start_ms
    on_notice(address, said_ms, decode_notice(_head_of(response)))
    return start_ms


def _start_in(response: Response) -> int:
    report = decode_json(response.body, dict).value_or({})
    born = report.get("born", NO_START)
    if type(born) is int and born >= 0:
        return born
    _log.warning("report_unsound", born=repr(born)[:MAX_LOGGED_CHARACTERS])
    return NO_START


async def read_notice(
    address: tuple[str, int],
    *,
    timeout_s: float,
    on_start: Callable[[int], None] | None = None,
) -> ServerNotice:
    """Returns what an engine says of its plans; nothing on errors.

    Args:
        address: Address of the engine.
        timeout_s: Timeout of the whole call.
        on_start: Called with what `read_start` would return, if it answers.
    """
    response = await _fetch_report(address, timeout_s)
    if response is None:
        return NO_NOTICE
    if on_start is not None:
        has_report = response.status not in NO_REPORT_STATUSES
        on_start(_start_in(response) if has_report else NO_REPORT)
    notice = decode_notice(_head_of(response))
    report = decode_json(response.body, dict).value_or({})
    if report.get("state") == "draining":
        return notice._replace(is_leaving=True)
    return notice


def _head_of(response: Response) -> ResponseHead:
    return ResponseHead(response.status, response.headers)


async def _fetch_report(
    address: tuple[str, int], timeout_s: float
) -> Response | None:
    """Returns a server's report of itself; None if it doesn't answer."""
    try:
        return await fetch(
            address,
            "GET",
            REPORT,
            timeout_s=timeout_s,
            connect_timeout_s=timeout_s,
            purpose=Purpose.REPORT,
        )
    except (OSError, BrokenAnswerError):
        return None
