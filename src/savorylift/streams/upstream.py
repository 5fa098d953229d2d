"""One connection to an engine that carries a generation's events.

Reads never block: `h11` parses what has arrived, so that a stalled engine
holds up nobody else's stream. `urllib3` offers no such reads.
"""

import contextlib
import enum
import json
import socket
import time
from collections.abc import Mapping
from typing import NamedTuple

import h11
from returns.result import Failure, Result, Success

from savorylift.streams.events import (
    END_MARK,
    EventSplitter,
    TokenEvent,
    decode_event,
)

READ_BYTES = 65_536
ERROR_BODY_BYTES = 65_536


class EngineRequest(NamedTuple):
    """An HTTP request that an engine answers with a generation's events."""

    method: str
    target: str
    body: Mapping[str, object] | None


class OpenFaultKind(enum.Enum):
    """What is known when a stream could not be opened."""

    NOT_SENT = enum.auto()
    REFUSED = enum.auto()
    LOST = enum.auto()


class OpenFault(NamedTuple):
    """Why a stream could not be opened.

    Attributes:
        kind: Whether the engine may be working on the request.
        code: The engine's error code when it refused, else an empty string.
        message: Cause, for operators.
    """

    kind: OpenFaultKind
    code: str
    message: str


class Received(NamedTuple):
    """What one read brought.

    Attributes:
        events: Token events in order of arrival.
        is_closed: True if no more will come on this connection.
        fault: Cause if the connection broke the protocol.
    """

    events: tuple[TokenEvent, ...]
    is_closed: bool
    fault: str | None


class EngineStream:
    """An open response; owned by one thread at a time."""

    def __init__(
        self,
        sock: socket.socket,
        parser: h11.Connection,
        headers: Mapping[str, str],
    ) -> None:
        """Takes over a socket whose response head was read."""
        self._sock = sock
        self._parser = parser
        self._splitter = EventSplitter()
        self.incarnation = headers.get("x-incarnation")
        self.is_cold = headers.get("x-cold") == "true"
        sock.setblocking(False)

    def fileno(self) -> int:
        """Returns the socket's descriptor, for selectors."""
        return self._sock.fileno()

    def close(self) -> None:
        """Closes the connection; it is never used again."""
        self._sock.close()

    def buffered(self) -> Received:
        """Returns events that arrived together with the response head."""
        return self._parse(b"", is_eof=False)

    def receive(self) -> Received:
        """Reads what has arrived; call it when the socket is readable."""
        try:
            data = self._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return Received((), is_closed=False, fault=None)
        except OSError as exc:
            return Received((), is_closed=True, fault=str(exc))
        return self._parse(data, is_eof=not data)

    def _parse(self, data: bytes, *, is_eof: bool) -> Received:
        events: list[TokenEvent] = []
        try:
            if data or is_eof:
                self._parser.receive_data(data)
            while True:
                item = self._parser.next_event()
                if isinstance(item, h11.Data):
                    fault = self._split(bytes(item.data), events)
                    if fault is not None:
                        return Received(
                            tuple(events), is_closed=True, fault=fault
                        )
                elif item is h11.NEED_DATA:
                    return Received(tuple(events), is_closed=is_eof, fault=None)
                else:
                    return Received(tuple(events), is_closed=True, fault=None)
        except h11.RemoteProtocolError as exc:
            return Received(tuple(events), is_closed=True, fault=str(exc))

    def _split(self, data: bytes, events: list[TokenEvent]) -> str | None:
        """Adds the events in `data`; returns the cause of a broken one."""
        for text in self._splitter.feed(data):
            if text == END_MARK:
                continue
            decoded = decode_event(text)
            if isinstance(decoded, Failure):
                return str(decoded.failure())
            events.append(decoded.unwrap())
        return "event too large" if self._splitter.is_overfull() else None


def open_stream(
    address: str, req: EngineRequest, connect_s: float, head_s: float
) -> Result[EngineStream, OpenFault]:
    """Sends a request and waits for the response head.

    Args:
        address: `ip:port` of the engine.
        req: The request.
        connect_s: Bound on opening the connection.
        head_s: Bound on the wait for the response head.
    """
    host, _, port = address.partition(":")
    try:
        sock = socket.create_connection((host, int(port)), connect_s)
    except OSError as exc:
        return Failure(OpenFault(OpenFaultKind.NOT_SENT, "", str(exc)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    parser = h11.Connection(h11.CLIENT)
    try:
        _send(sock, parser, address, req)
        result = _read_head(sock, parser, time.monotonic() + head_s)
    except (OSError, h11.RemoteProtocolError) as exc:
        result = Failure(OpenFault(OpenFaultKind.LOST, "", str(exc)))
    if isinstance(result, Failure):
        sock.close()
    return result


def _send(
    sock: socket.socket,
    parser: h11.Connection,
    address: str,
    req: EngineRequest,
) -> None:
    body = b"" if req.body is None else json.dumps(req.body).encode()
    headers = [
        ("Host", address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    head = h11.Request(method=req.method, target=req.target, headers=headers)
    sent = parser.send(head) or b""
    sent += parser.send(h11.Data(data=body)) or b""
    sent += parser.send(h11.EndOfMessage()) or b""
    sock.sendall(sent)


def _read_head(
    sock: socket.socket, parser: h11.Connection, deadline_s: float
) -> Result[EngineStream, OpenFault]:
    while True:
        item = parser.next_event()
        if item is h11.NEED_DATA:
            _receive_before(sock, parser, deadline_s)
            continue
        if isinstance(item, h11.InformationalResponse):
            continue
        if not isinstance(item, h11.Response):
            return Failure(
                OpenFault(OpenFaultKind.LOST, "", "no response head")
            )
        if item.status_code == 200:
            headers = {k.decode(): v.decode() for k, v in item.headers}
            return Success(EngineStream(sock, parser, headers))
        body = _read_body(sock, parser, deadline_s)
        return Failure(_refusal(item.status_code, body))


def _receive_before(
    sock: socket.socket, parser: h11.Connection, deadline_s: float
) -> None:
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        raise TimeoutError("no response head in time")
    sock.settimeout(left_s)
    parser.receive_data(sock.recv(READ_BYTES))


def _read_body(
    sock: socket.socket, parser: h11.Connection, deadline_s: float
) -> bytes:
    body = b""
    with contextlib.suppress(OSError, h11.RemoteProtocolError):
        while len(body) < ERROR_BODY_BYTES:
            item = parser.next_event()
            if item is h11.NEED_DATA:
                _receive_before(sock, parser, deadline_s)
            elif isinstance(item, h11.Data):
                body += bytes(item.data)
            else:
                break
    return body


def _refusal(status: int, body: bytes) -> OpenFault:
    try:
        error = json.loads(body)["error"]
        code, message = str(error["code"]), str(error["message"])
    except (ValueError, KeyError, TypeError):
        code, message = f"http_{status}", "no error body"
    return OpenFault(OpenFaultKind.REFUSED, code, message)
