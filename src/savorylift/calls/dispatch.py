"""One HTTP exchange with a plain service on a connection of its own."""

import socket
import time
from typing import NamedTuple, Protocol

import msgspec
import urllib3.exceptions
from urllib3.connection import HTTPConnection
from urllib3.response import BaseHTTPResponse

from savorylift.calls.http_form import (
    REQUEST_ID_HEADER,
    end_to_end,
    request_headers,
)
from savorylift.calls.request import CallRequest, Headers

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
INCARNATION_HEADER = "X-Incarnation"
BODILESS_STATUSES = frozenset({204, 304})
REFUSED_STATUS = 503
REFUSED_CODES = frozenset({"overloaded", "leaving"})

_TRANSPORT_ERRORS = (OSError, urllib3.exceptions.HTTPError)


class Answered(NamedTuple):
    """The service answered this request whole.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Whole body.
        first_byte_s: Delay from sending to the status line.
        incarnation: Backend server's incarnation, if it named one.
    """

    status: int
    headers: Headers
    body: bytes
    first_byte_s: float
    incarnation: str | None


class NotSent(NamedTuple):
    """Nothing of the request left this node."""

    message: str


class BackendRefused(NamedTuple):
    """The service refused the request before running it.

    Attributes:
        code: `overloaded` or `leaving`.
        incarnation: Backend server's incarnation, if it named one.
    """

    code: str
    incarnation: str | None


class AnswerLost(NamedTuple):
    """The request may have run, and its answer can't be had."""

    message: str


DispatchOutcome = Answered | NotSent | BackendRefused | AnswerLost


class Dispatcher(Protocol):
    """Sends a call to one backend server."""

    def dispatch(self, address: str, req: CallRequest) -> DispatchOutcome:
        """Sends `req` once to `ip:port`, blocking until its deadline."""


class _ErrorDetail(msgspec.Struct):
    code: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class HttpDispatcher:
    """Sends each call once, over a fresh connection that is then closed."""

    def dispatch(self, address: str, req: CallRequest) -> DispatchOutcome:
        """Sends `req` once to `ip:port`, blocking until its deadline."""
        remaining_s = req.deadline_s - time.monotonic()
        if remaining_s <= 0:
            return NotSent("deadline passed before the connection was made")
        host, _, port = address.rpartition(":")
        timeout_s = min(CONNECT_TIMEOUT_S, remaining_s)
        conn = HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            return _exchange(conn, req)
        finally:
            conn.close()


def _exchange(conn: HTTPConnection, req: CallRequest) -> DispatchOutcome:
    try:
        conn.connect()
    except _TRANSPORT_ERRORS as exc:
        return NotSent(f"no connection: {type(exc).__name__}")
    conn.auto_open = 0  # a dropped connection must not be reopened to resend
    try:
        return _send_and_read(conn, req)
    except _TRANSPORT_ERRORS as exc:
        return AnswerLost(f"connection failed: {type(exc).__name__}")
    except Exception as exc:
        return AnswerLost(f"unreadable answer: {type(exc).__name__}")


def _send_and_read(conn: HTTPConnection, req: CallRequest) -> DispatchOutcome:
    sock = conn.sock  # `conn` forgets it when the answer says `close`
    assert sock is not None
    sent_s = time.monotonic()
    _limit_wait(sock, req.deadline_s)
    conn.request(
        req.method,
        req.path,
        body=req.body or None,
        headers=request_headers(req),
        preload_content=False,
    )
    resp = conn.getresponse()
    try:
        first_byte_s = time.monotonic() - sent_s
        return _read_answer(sock, resp, req, first_byte_s)
    finally:
        resp.close()


def _read_answer(
    sock: socket.socket,
    resp: BaseHTTPResponse,
    req: CallRequest,
    first_byte_s: float,
) -> DispatchOutcome:
    answered_id = resp.headers.get(REQUEST_ID_HEADER)
    if answered_id not in (None, req.request_id):
        return AnswerLost("the answer belongs to another request")
    if not _has_marked_end(resp, req.method):
        return AnswerLost("the answer has neither length nor end mark")
    body = _read_body(sock, resp, req.deadline_s)
    if body is None:
        return AnswerLost("the answer is late or too large")
    incarnation = resp.headers.get(INCARNATION_HEADER)
    code = _refusal_code(resp.status, body)
    if code is not None:
        # A refusal may lack the id: only this request used the connection.
        return BackendRefused(code, incarnation)
    if answered_id is None:
        return AnswerLost("the answer names no request")
    headers = end_to_end(tuple(resp.headers.items()))
    return Answered(resp.status, headers, body, first_byte_s, incarnation)


def _has_marked_end(resp: BaseHTTPResponse, method: str) -> bool:
    """Returns True if a cut connection can be told from the answer's end."""
    if method == "HEAD" or resp.status in BODILESS_STATUSES:
        return True
    is_chunked = resp.headers.get("Transfer-Encoding", "").lower() == "chunked"
    return is_chunked or "Content-Length" in resp.headers


def _limit_wait(sock: socket.socket, deadline_s: float) -> None:
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError
    sock.settimeout(remaining_s)


def _read_body(
    sock: socket.socket, resp: BaseHTTPResponse, deadline_s: float
) -> bytes | None:
    """Returns the whole body, or None past the bound on its size."""
    parts: list[bytes] = []
    size = 0
    while size <= MAX_ANSWER_BYTES:
        if resp.closed:  # its socket is closed too and takes no timeout
            return b"".join(parts)
        _limit_wait(sock, deadline_s)
        part = resp.read1(READ_BYTES)
        if not part:
            return b"".join(parts)
        parts.append(part)
        size += len(part)
    return None


def _refusal_code(status: int, body: bytes) -> str | None:
    if status != REFUSED_STATUS:
        return None
    try:
        code = msgspec.json.decode(body, type=_ErrorBody).error.code
    except msgspec.DecodeError:
        return None
    return code if code in REFUSED_CODES else None
