"""A single-threaded HTTP/1.1 server for many event streams, on h11."""

import asyncio
import http
import urllib.parse
from collections.abc import Callable, Mapping
from typing import NamedTuple

import h11
import msgspec

MAX_UNSENT_BYTES = 4 << 20


class Request(NamedTuple):
    """One request, read whole."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes


class Exchange(asyncio.Protocol):
    """One connection; answers one request at a time.

    Attributes:
        is_silent: True once the connection neither reads nor writes.
    """

    def __init__(
        self,
        handler: Callable[["Exchange", Request], None],
        exchanges: set["Exchange"],
    ) -> None:
        """Joins `exchanges` while connected."""
        self.is_silent = False
        self._handler = handler
        self._exchanges = exchanges
        self._conn = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._exchanges.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._transport = None
        self._exchanges.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parses requests and hands over whole ones."""
        if self.is_silent:
            return
        self._conn.receive_data(data)
        self._advance()

    @property
    def is_open(self) -> bool:
        """True while writes can reach the other end."""
        return self._transport is not None

    def abort(self) -> None:
        """Cuts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def send_json(
        self, status: int, body: object, headers: Mapping[str, str] = {}
    ) -> None:
        """Sends a whole answer."""
        content = msgspec.json.encode(body)
        fields = {
            "Content-Type": "application/json",
            "Content-Length": str(len(content)),
            **headers,
        }
        self._send(_response(status, fields))
        self._send(h11.Data(data=content))
        self.finish()

    def start_events(self, headers: Mapping[str, str]) -> None:
        """Begins a chunked answer of server-sent events."""
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            **headers,
        }
        self._send(_response(200, fields))

    def send_event(self, event: bytes) -> None:
        """Sends one event as one chunk."""
        self._send(h11.Data(data=event))

    def finish(self) -> None:
        """Ends the answer and serves the connection's next request."""
        self._send(h11.EndOfMessage())
        if self._conn.our_state is h11.MUST_CLOSE and self._transport:
            self._transport.close()
        if self._conn.our_state is h11.DONE is self._conn.their_state:
            self._conn.start_next_cycle()
            asyncio.get_running_loop().call_soon(self._advance)

    def _send(self, event: h11.Event) -> None:
        if self._transport is None or self.is_silent:
            return
        self._transport.write(self._conn.send(event) or b"")
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()

    def _advance(self) -> None:
        try:
            while self._take(self._conn.next_event()):
                pass
        except h11.RemoteProtocolError:
            self.abort()

    def _take(self, event: object) -> bool:
        match event:
            case h11.Request():
                self._head = event
                self._body.clear()
            case h11.Data():
                self._body += event.data
            case h11.EndOfMessage():
                self._handler(self, self._request())
                return False
            case _:
                return False
        return True

    def _request(self) -> Request:
        assert self._head is not None
        target = urllib.parse.urlsplit(self._head.target.decode())
        return Request(
            self._head.method.decode(),
            target.path,
            dict(urllib.parse.parse_qsl(target.query)),
            bytes(self._body),
        )


def _response(status: int, headers: Mapping[str, str]) -> h11.Response:
    return h11.Response(
        status_code=status,
        reason=http.HTTPStatus(status).phrase,
        headers=list(headers.items()),
    )
