"""Server side of an HTTP/1.1 connection."""

import asyncio
import enum
import http
import time
from collections.abc import Callable
from typing import NamedTuple

import h11

from savorylift.wire.channel import Channel
from savorylift.wire.coop_budget import CoopBudget
from savorylift.wire.head_check import HEAD_END, find_head_error
from savorylift.wire.message import Headers, Request

# Limit of h11 for an incomplete head; that of `InputLimits` is normally lower
# and applies first.
H11_MAX_EVENT_BYTES = 1_048_576


class InputLimits(NamedTuple):
    """Size limits and timeouts for requests on a connection.

    Attributes:
        max_head_bytes: Largest request head.
        max_body_bytes: Largest body.
        head_timeout_s: Longest time from the first byte of a head to its end.
        idle_timeout_s: Longest pause between requests, and between two reads
            of a body.
    """

    max_head_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class CloseReason(enum.Enum):
    """Why no further request can be read from a connection."""

    ENDED = "ended"
    IDLE = "idle"


class BadRequest(NamedTuple):
    """A request that can't be parsed or exceeds a limit.

    Attributes:
        status: Status code of the response.
        message: What is wrong, in one line.
    """

    status: int
    message: str


class ServerConnection:
    """Reads requests one at a time and writes their responses.

    Attributes:
        is_closing: Whether to close after the next response, which then says
            so in its `Connection` header.
        added_headers: Headers of every response.
    """

    def __init__(
        self, channel: Channel, get_limits: Callable[[], InputLimits]
    ) -> None:
        """Calls `get_limits` for each request, so that changes apply."""
        self._channel = channel
        self._get_limits = get_limits
        self._h11 = _make_parser()
        self._unparsed = bytearray()
        self._request_started_s = 0.0
        self._is_close_delimited = False
        self._is_response_ended = False
        self._coop_budget = CoopBudget()
        self.is_closing = False
        self.added_headers: Headers = ()

    @property
    def channel(self) -> Channel:
        """The underlying connection."""
        return self._channel

    @property
    def awaits_response(self) -> bool:
        """Whether a request was read whose response has not started."""
        return self._h11.our_state is h11.SEND_RESPONSE

    async def next_request(self) -> Request | BadRequest | CloseReason:
        """Returns the next request, or why there is none that can be served."""
        # A caller may send many requests at once.
        await self._coop_budget.spend()
        limits = self._get_limits()
        if not await self._wait_for_input(limits.idle_timeout_s):
            return (
                CloseReason.ENDED
                if self._channel.is_peer_closed
                else CloseReason.IDLE
            )
        self._request_started_s = time.monotonic()
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                head = await self._read_head(limits.max_head_bytes)
        except TimeoutError:
            return BadRequest(408, "the request head took too long")
        if not isinstance(head, bytes):
            return head
        head_error = find_head_error(head)
        if head_error is not None:
            return BadRequest(400, head_error)
        try:
            self._h11.receive_data(head)
            event = self._h11.next_event()
            if not isinstance(event, h11.Request):
                return BadRequest(400, "malformed request")
            return await self._read_body(event, limits)
        except h11.RemoteProtocolError as exc:
            return BadRequest(exc.error_status_hint, str(exc).lower())
        except TimeoutError:
            return BadRequest(408, "the request body took too long")
        except ConnectionError:
            return CloseReason.ENDED

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response."""
        length = (("content-length", str(len(body))),)
        self.start_response(status, headers + length)
        if body:
            self.send_body(body)
        self.end_response()

    def respond_unframed(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Writes a response whose body may be incomplete.

        Nothing but the close of the connection marks its end.
        """
        self.start_response(status, headers, is_close_delimited=True)
        if body:
            self.send_body(body)
        self.end_response()

    def start_response(
        self,
        status: int,
        headers: Headers,
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Writes a response head; without a length, the body is chunked.

        Args:
            status: Status code.
            headers: Headers with lower-case names.
            is_close_delimited: Whether nothing but the close of the connection
                marks the end of the body. Until `end_response`, any close
                resets the connection.
        """
        if is_close_delimited:
            self.is_closing = True
            # To such callers, h11 sends bodies without any framing.
            self._h11.their_http_version = b"1.0"
        headers += self.added_headers
        if self.is_closing:
            headers = (*headers, ("connection", "close"))
        reason = (
            http.HTTPStatus(status).phrase
            if _is_standard_status(status)
            else ""
        )
        head = h11.Response(
            status_code=status,
            headers=_encode_headers(headers),
            reason=reason.encode(),
        )
        has_length = any(key == "content-length" for key, _ in headers)
        if self._h11.their_http_version == b"1.0" and not has_length:
            self._is_close_delimited = True
            self._channel.reset_on_close()
        self._write(head)

    def send_body(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        self._write(h11.Data(data=data))

    def end_response(self) -> None:
        """Marks the response as complete."""
        self._write(h11.EndOfMessage())
        self._is_response_ended = True

    async def flush(self) -> None:
        """Waits until the response may be followed by another one, or closed.

        A body without framing is handed to the system first.
        """
        if self._is_close_delimited and self._is_response_ended:
            await self._channel.allow_close()
        await self._channel.drain()

    def prepare_next_request(self) -> bool:
        """Resets the parser; says whether the connection can be reused.

        A connection stays open if its response did not say that it closes,
        even if it is to close since: the next response says so.
        """
        if self._channel.is_peer_closed:
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        rest, _ = self._h11.trailing_data
        self._unparsed += rest
        # A parser that is used again would keep what it returned, too.
        self._h11 = _make_parser()
        return True

    async def _wait_for_input(self, idle_timeout_s: float) -> bool:
        if self._unparsed:
            return True
        try:
            async with asyncio.timeout(idle_timeout_s):
                self._unparsed += await self._channel.read()
        except (TimeoutError, ConnectionError):
            return False
        return bool(self._unparsed)

    async def _read_head(
        self, max_bytes: int
    ) -> bytes | BadRequest | CloseReason:
        searched = 0
        while True:
            # Empty lines before the request line are ignored (RFC 9112, 2.2).
            while self._unparsed.startswith(b"\r\n"):
                del self._unparsed[:2]
                searched = 0
            # The first bytes of `HEAD_END` may have been read before.
            end = self._unparsed.find(HEAD_END, max(searched - 3, 0))
            searched = len(self._unparsed)
            if end > max_bytes or (end < 0 and searched > max_bytes):
                return BadRequest(431, "the request head is too large")
            if end >= 0:
                head = bytes(self._unparsed[: end + len(HEAD_END)])
                del self._unparsed[: len(head)]
                return head
            try:
                data = await self._channel.read()
            except ConnectionError:
                return CloseReason.ENDED
            if not data:
                return CloseReason.ENDED
            await self._coop_budget.spend(len(data))
            self._unparsed += data

    async def _read_body(
        self, head: h11.Request, limits: InputLimits
    ) -> Request | BadRequest | CloseReason:
        declared = [v for k, v in head.headers if k == b"content-length"]
        if declared and int(declared[0]) > limits.max_body_bytes:
            return BadRequest(413, "the request body is too large")
        if self._h11.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        if self._unparsed:
            self._h11.receive_data(bytes(self._unparsed))
            self._unparsed.clear()
        while True:
            await self._coop_budget.spend()
            event = self._h11.next_event()
            if isinstance(event, h11.EndOfMessage):
                return _build_request(
                    head, bytes(body), self._request_started_s
                )
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.max_body_bytes:
                    return BadRequest(413, "the request body is too large")
            elif event is h11.NEED_DATA:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await self._channel.read()
                if not data:
                    return CloseReason.ENDED
                await self._coop_budget.spend(len(data))
                self._h11.receive_data(data)
            else:
                return BadRequest(400, "malformed body")

    def _write(self, event: h11.Event) -> None:
        data = self._h11.send(event)
        if data:
            self._channel.write(data)


def _make_parser() -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=H11_MAX_EVENT_BYTES
    )


def _build_request(head: h11.Request, body: bytes, arrived_s: float) -> Request:
    headers = tuple(
        (key.decode("ascii"), value.decode("latin-1"))
        for key, value in head.headers
    )
    return Request(
        head.method.decode("ascii"),
        head.target.decode("ascii"),
        headers,
        body,
        arrived_s,
    )


def _is_standard_status(status: int) -> bool:
    return status in http.HTTPStatus._value2member_map_


def _encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [
        (key.encode("ascii"), value.encode("latin-1")) for key, value in headers
    ]
