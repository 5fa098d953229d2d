"""Server side of an HTTP/1.1 connection."""

import asyncio
import enum
import io
import time
from collections.abc import Callable
from typing import NamedTuple

import h11
import structlog

from savorylift.wire.body_admission import UNBOUNDED, BodyAdmission
from savorylift.wire.body_budget import SMALL_BODY_BYTES, BodyLease
from savorylift.wire.channel import MAX_READ_BUFFER_BYTES, Channel
from savorylift.wire.coop_budget import CoopBudget
from savorylift.wire.head_check import HEAD_END, find_head_error
from savorylift.wire.message import Headers, Request
from savorylift.wire.server_response import ServerResponse

# Limit of h11 for an incomplete head; that of `InputLimits` is normally lower
# and applies first.
H11_MAX_EVENT_BYTES = 1_048_576
# Input that a connection buffers while no large body is being read.
MAX_HEAD_BUFFER_BYTES = 16_384
# How long a body waits until there is memory for it, and the share of the time
# that its caller has left which this may take.
MAX_BODY_WAIT_S = 0.7
BODY_WAIT_SHARE = 0.2
# When to come back if there is none. The wait has shown that bodies are served
# more slowly than they come.
BODY_RETRY_S = 0.5
# Longest time for a body that holds much memory if its caller names none.
MAX_LARGE_BODY_S = 60.0

_log = structlog.get_logger()


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
    """A request that can't be read whole: it has not run.

    Attributes:
        status: Status code of the response.
        message: What is wrong, in one line.
        retry_after_s: When to come back; None if that makes no difference.
    """

    status: int
    message: str
    retry_after_s: float | None = None


NO_MEMORY = BadRequest(
    503,
    "This node holds as many bodies as it can; the request did not run.",
    BODY_RETRY_S,
)


class ServerConnection:
    """Reads requests one at a time and writes their responses.

    Attributes:
        is_closing: Whether to close after the next response, which then says
            so in its `Connection` header.
    """

    def __init__(
        self,
        channel: Channel,
        get_limits: Callable[[], InputLimits],
        admission: BodyAdmission = UNBOUNDED,
    ) -> None:
        """Creates a connection that has read nothing yet.

        Args:
            channel: The connection.
            get_limits: Called for each request, so that changes apply.
            admission: Decides when a body may be read.
        """
        channel.limit_input(MAX_HEAD_BUFFER_BYTES)
        self._admission = admission
        self._body_lease = BodyLease()
        self._channel = channel
        self._get_limits = get_limits
        self._h11 = _make_parser()
        self._response = ServerResponse(channel, self._h11, admission)
        self._unparsed = bytearray()
        self._request_started_s = 0.0
        self._coop_budget = CoopBudget()
        self.is_closing = False

    @property
    def channel(self) -> Channel:
        """The underlying connection."""
        return self._channel

    @property
    def awaits_response(self) -> bool:
        """Whether a request was read whose response has not started."""
        return self._response.is_awaited

    @property
    def ends_on_close(self) -> bool:
        """Whether a close now marks the last response as complete."""
        return self._response.ends_on_close

    @property
    def added_headers(self) -> Headers:
        """Headers that the next response has beside its own."""
        return self._response.added_headers

    def add_headers(self, headers: Headers) -> None:
        """Sets the headers that the next response has beside its own."""
        self._response.added_headers = headers

    async def next_request(self) -> Request | BadRequest | CloseReason:
        """Returns the next request, or why there is none that can be served.

        Its body counts as held until `release_body`.
        """
        self.release_body()
        is_read = False
        try:
            req = await self._read_request()
            is_read = isinstance(req, Request)
        finally:
            if not is_read:
                self.release_body()
        return req

    def release_body(self) -> None:
        """Declares that nothing refers to the body of the last request."""
        if self._body_lease.is_used:
            self._admission.budget.release(self._body_lease)

    def release_all(self) -> None:
        """Declares that the connection has ended."""
        self.release_body()
        self._response.release()

    async def _read_request(self) -> Request | BadRequest | CloseReason:
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
        self._response.start(
            status,
            headers,
            is_close_delimited=is_close_delimited,
            is_last=self.is_closing,
        )

    def send_body(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        self._response.send_body(data)

    def end_response(self) -> None:
        """Marks the response as complete."""
        self._response.end()

    async def flush(self) -> None:
        """Waits until the response may be followed by another one, or closed.

        A body without framing is handed to the system first.
        """
        await self._response.flush()

    def prepare_next_request(self) -> bool:
        """Begins a new exchange; says whether the connection can be reused.

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
        self._response = ServerResponse(
            self._channel, self._h11, self._admission
        )
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
        length = _body_length(head)
        if length is not None and length > limits.max_body_bytes:
            return BadRequest(413, "the request body is too large")
        headers = _decode_headers(head)
        # A body in chunks takes more once it turns out to be large.
        size = SMALL_BODY_BYTES if length is None else length
        if (
            size
            and not self._admission.budget.take_now(self._body_lease, size)
            and not await self._wait_for_memory(size, headers)
        ):
            return NO_MEMORY
        if self._h11.they_are_waiting_for_100_continue:
            self._send_continue()
        if length is not None and length <= SMALL_BODY_BYTES:
            body = await self._receive_body(length, headers, limits)
        else:
            body = await self._receive_large_body(length, headers, limits)
        if not isinstance(body, bytes):
            return body
        return _build_request(head, headers, body, self._request_started_s)

    async def _receive_large_body(
        self, length: int | None, headers: Headers, limits: InputLimits
    ) -> bytes | BadRequest | CloseReason:
        """Reads a body that may be large, for as long as its caller waits."""
        time_left_s = self._admission.decode_time_left(headers)
        if time_left_s is None:
            time_left_s = MAX_LARGE_BODY_S
        self._channel.limit_input(MAX_READ_BUFFER_BYTES)
        try:
            async with asyncio.timeout(time_left_s):
                return await self._receive_body(length, headers, limits)
        finally:
            self._channel.limit_input(MAX_HEAD_BUFFER_BYTES)

    async def _receive_body(
        self, length: int | None, headers: Headers, limits: InputLimits
    ) -> bytes | BadRequest | CloseReason:
        # Unlike a bytearray, it returns its content without a copy.
        body = io.BytesIO()
        if length is not None and length > SMALL_BODY_BYTES:
            # All at once: pieces of memory that grow would leave gaps.
            body.seek(length - 1)
            body.write(b"\0")
            body.seek(0)
        if self._unparsed:
            self._h11.receive_data(bytes(self._unparsed))
            self._unparsed.clear()
        is_reserved = length is not None
        while True:
            await self._coop_budget.spend()
            event = self._h11.next_event()
            if isinstance(event, h11.EndOfMessage):
                if length is None:
                    self._admission.budget.shrink(self._body_lease, body.tell())
                return body.getvalue()
            if isinstance(event, h11.Data):
                total = body.tell() + len(event.data)
                if total > limits.max_body_bytes:
                    return BadRequest(413, "the request body is too large")
                if not is_reserved and total > SMALL_BODY_BYTES:
                    is_reserved = True
                    rest = limits.max_body_bytes
                    if not await self._wait_for_memory(rest, headers):
                        return NO_MEMORY
                body.write(event.data)
            elif event is h11.NEED_DATA:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await self._channel.read()
                if not data:
                    return CloseReason.ENDED
                await self._coop_budget.spend(len(data))
                self._h11.receive_data(data)
            else:
                return BadRequest(400, "malformed body")

    async def _wait_for_memory(self, size: int, headers: Headers) -> bool:
        """Takes memory for a body; returns whether there was so much.

        Meanwhile nothing more of it is received: its caller is held by TCP.
        """
        budget = self._admission.budget
        if budget.take_now(self._body_lease, size):
            return True
        time_left_s = self._admission.decode_time_left(headers)
        max_wait_s = MAX_BODY_WAIT_S
        if time_left_s is not None:
            max_wait_s = min(max_wait_s, BODY_WAIT_SHARE * time_left_s)
        began_s = time.monotonic()
        is_taken = await budget.take(self._body_lease, size, max_wait_s)
        _log.info(
            "body_waited",
            peer=self._channel.peer,
            size=size,
            waited_ms=round((time.monotonic() - began_s) * 1000),
            is_read=is_taken,
            held=budget.held_bytes,
        )
        return is_taken

    def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        self._channel.write(self._h11.send(event) or b"")


def _make_parser() -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=H11_MAX_EVENT_BYTES
    )


def _body_length(head: h11.Request) -> int | None:
    """Returns the length of a body; None if it comes in chunks."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0


def _decode_headers(head: h11.Request) -> Headers:
    return tuple(
        (key.decode("ascii"), value.decode("latin-1"))
        for key, value in head.headers
    )


def _build_request(
    head: h11.Request, headers: Headers, body: bytes, arrived_s: float
) -> Request:
    return Request(
        head.method.decode("ascii"),
        head.target.decode("ascii"),
        headers,
        body,
        arrived_s,
    )
