"""The server's end of an HTTP/1.1 connection."""

import asyncio
import enum
import http
import time
from collections.abc import Callable
from typing import NamedTuple

import h11

from savorylift.wire.channel import Channel
from savorylift.wire.head_check import HEAD_END, find_fault
from savorylift.wire.message import Headers, Request

READABLE_HEAD_BYTES = 1_048_576


class InputLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: Largest request head.
        body_bytes: Largest body.
        head_s: Longest time from the first byte of a head to its end.
        idle_s: Longest silence between requests, and within a body.
    """

    head_bytes: int = 65_536
    body_bytes: int = 4_194_304
    head_s: float = 10.0
    idle_s: float = 60.0


class Closing(enum.Enum):
    """Why a connection gives no further request."""

    ENDED = "ended"
    IDLE = "idle"


class BadRequest(NamedTuple):
    """A request that can't be read.

    Attributes:
        status: Status code to answer.
        message: What is wrong, in one line.
    """

    status: int
    message: str


class ServerConnection:
    """Reads requests one at a time and writes their responses."""

    def __init__(
        self, channel: Channel, limits: Callable[[], InputLimits]
    ) -> None:
        """Reads `limits` again for each request."""
        self._channel = channel
        self._limits = limits
        self._state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=READABLE_HEAD_BYTES
        )
        self._pending = bytearray()
        self._started_s = 0.0
        self.is_closing = False

    @property
    def channel(self) -> Channel:
        """The connection's bytes."""
        return self._channel

    async def next_request(self) -> Request | BadRequest | Closing:
        """Returns the next request, or why there is none."""
        limits = self._limits()
        if not await self._wait_for_input(limits.idle_s):
            return Closing.ENDED if self._channel.is_ended else Closing.IDLE
        self._started_s = time.monotonic()
        try:
            async with asyncio.timeout(limits.head_s):
                head = await self._read_head(limits.head_bytes)
        except TimeoutError:
            return BadRequest(408, "the request head took too long")
        if not isinstance(head, bytes):
            return head
        fault = find_fault(head)
        if fault is not None:
            return BadRequest(400, fault)
        try:
            self._state.receive_data(head)
            event = self._state.next_event()
            if not isinstance(event, h11.Request):
                return BadRequest(400, "malformed request")
            return await self._read_body(event, limits)
        except h11.RemoteProtocolError as exc:
            return BadRequest(exc.error_status_hint, str(exc).lower())
        except TimeoutError:
            return BadRequest(408, "the request body took too long")
        except ConnectionError:
            return Closing.ENDED

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole response."""
        length = (("content-length", str(len(body))),)
        self.start_response(status, headers + length)
        if body:
            self.send_body(body)
        self.end_response()

    def start_response(self, status: int, headers: Headers) -> None:
        """Writes a head; without a length, the body goes in chunks."""
        if self.is_closing:
            headers = (*headers, ("connection", "close"))
        reason = http.HTTPStatus(status).phrase if _is_known(status) else ""
        head = h11.Response(
            status_code=status, headers=_raw(headers), reason=reason.encode()
        )
        self._write(head)

    def send_body(self, data: bytes) -> None:
        """Writes a part of the body."""
        self._write(h11.Data(data=data))

    def end_response(self) -> None:
        """Ends the response as complete."""
        self._write(h11.EndOfMessage())

    def can_go_on(self) -> bool:
        """Whether another request may follow; prepares for it."""
        if self.is_closing or self._channel.is_ended:
            return False
        if self._state.our_state is not h11.DONE:
            return False
        if self._state.their_state is not h11.DONE:
            return False
        rest, _ = self._state.trailing_data
        self._pending += rest
        self._state.start_next_cycle()
        return True

    async def _wait_for_input(self, idle_s: float) -> bool:
        if self._pending:
            return True
        try:
            async with asyncio.timeout(idle_s):
                self._pending += await self._channel.read()
        except (TimeoutError, ConnectionError):
            return False
        return bool(self._pending)

    async def _read_head(self, limit: int) -> bytes | BadRequest | Closing:
        searched = 0
        while True:
            while self._pending.startswith(b"\r\n"):
                del self._pending[:2]
                searched = 0
            end = self._pending.find(HEAD_END, max(searched - 3, 0))
            searched = len(self._pending)
            if end > limit or (end < 0 and searched > limit):
                return BadRequest(431, "the request head is too large")
            if end >= 0:
                head = bytes(self._pending[: end + len(HEAD_END)])
                del self._pending[: len(head)]
                return head
            try:
                data = await self._channel.read()
            except ConnectionError:
                return Closing.ENDED
            if not data:
                return Closing.ENDED
            self._pending += data

    async def _read_body(
        self, head: h11.Request, limits: InputLimits
    ) -> Request | BadRequest | Closing:
        declared = [v for k, v in head.headers if k == b"content-length"]
        if declared and int(declared[0]) > limits.body_bytes:
            return BadRequest(413, "the request body is too large")
        if self._state.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        if self._pending:
            self._state.receive_data(bytes(self._pending))
            self._pending.clear()
        while True:
            event = self._state.next_event()
            if isinstance(event, h11.EndOfMessage):
                return _request(head, bytes(body), self._started_s)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    return BadRequest(413, "the request body is too large")
            elif event is h11.NEED_DATA:
                async with asyncio.timeout(limits.idle_s):
                    data = await self._channel.read()
                if not data:
                    return Closing.ENDED
                self._state.receive_data(data)
            else:
                return BadRequest(400, "malformed body")

    def _write(self, event: h11.Event) -> None:
        data = self._state.send(event)
        if data:
            self._channel.write(data)


def _request(head: h11.Request, body: bytes, arrived_s: float) -> Request:
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


def _is_known(status: int) -> bool:
    return status in http.HTTPStatus._value2member_map_


def _raw(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [
        (key.encode("ascii"), value.encode("latin-1")) for key, value in headers
    ]
