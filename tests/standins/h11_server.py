"""A single-threaded HTTP/1.1 server for event streams, based on h11."""

import asyncio
import http
import urllib.parse
from collections.abc import Callable, Mapping
from typing import NamedTuple

import h11
import msgspec

MAX_UNSENT_BYTES = 4 << 20  # a connection with more is aborted


class Request(NamedTuple):
    """One request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes


class HttpConnection(asyncio.Protocol):
    """One server connection; handles one request at a time.

    Attributes:
        is_silent: Whether the connection ignores input and discards output.
        notice: Headers that all its responses bear besides.
        retry_after: Header that its 503 responses bear; None for none.
    """

    def __init__(
        self,
        handler: Callable[["HttpConnection", Request], None],
        connections: set["HttpConnection"],
    ) -> None:
        """Creates a connection that adds itself to `connections` while open.

        Args:
            handler: Called with the connection and each complete request.
            connections: Set of the server's open connections.
        """
        self.is_silent = False
        self.notice: Mapping[str, str] = {}
        self.retry_after: str | None = None
        self._handler = handler
        self._connections = connections
        self._h11_conn = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds this connection to the open ones."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes this connection from the open ones."""
        self._transport = None
        self._connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parses input and passes complete requests to the handler."""
        if self.is_silent:
            return
        self._h11_conn.receive_data(data)
        self._process_events()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None

    def abort(self) -> None:
        """Closes the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def send_json(
        self, status: int, body: object, headers: Mapping[str, str] = {}
    ) -> None:
        """Sends a complete JSON response."""
        content = msgspec.json.encode(body)
        fields = {
            "Content-Type": "application/json",
            "Content-Length": str(len(content)),
            **headers,
            **self.notice,
        }
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE and self.retry_after:
            fields["Retry-After"] = self.retry_after
        self._send(_response(status, fields))
        self._send(h11.Data(data=content))
        self.finish()

    def start_events(self, headers: Mapping[str, str]) -> None:
        """Starts a chunked response of server-sent events."""
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            **headers,
            **self.notice,
        }
        self._send(_response(200, fields))

    def send_event(self, event: bytes) -> None:
        """Sends one event as one chunk."""
        self._send(h11.Data(data=event))

    def finish(self) -> None:
        """Ends the response and continues with the next request, if any."""
        self._send(h11.EndOfMessage())
        if self._h11_conn.our_state is h11.MUST_CLOSE and self._transport:
            self._transport.close()
        if self._h11_conn.our_state is h11.DONE is self._h11_conn.their_state:
            self._h11_conn.start_next_cycle()
            asyncio.get_running_loop().call_soon(self._process_events)

    def _send(self, event: h11.Event) -> None:
        if self._transport is None or self.is_silent:
            return
        self._transport.write(self._h11_conn.send(event) or b"")
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()

    def _process_events(self) -> None:
        try:
            while self._handle_event(self._h11_conn.next_event()):
                pass
        except h11.RemoteProtocolError:
            self.abort()

    def _handle_event(self, event: object) -> bool:
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
