"""Server side of an HTTP/1.1 connection."""

import asyncio
import time
from collections.abc import Callable

import h11

from savorylift.wire import metrics
from savorylift.wire.body_admission import UNBOUNDED, BodyAdmission
from savorylift.wire.body_reader import BodyReader
from savorylift.wire.channel import Channel
from savorylift.wire.connection_input import ConnectionInput
from savorylift.wire.head_check import find_head_error
from savorylift.wire.message import Headers, Request
from savorylift.wire.progress import Phase, Progress
from savorylift.wire.request_head import body_length, decode_headers
from savorylift.wire.request_input import (
    NO_MEMORY,
    BadRequest,
    CloseReason,
    InputLimits,
)
from savorylift.wire.server_response import ServerResponse


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
        self._channel = channel
        self._get_limits = get_limits
        self._admission = admission
        self._input = ConnectionInput(channel)
        self._progress = Progress()
        self._unsent_at_start = 0
        self._begin_exchange()
        self.is_closing = False

    def _begin_exchange(self) -> None:
        """Replaces all that belongs to one request and its response."""
        # A parser that is used again would keep what it returned, too.
        self._parser = h11.Connection(
            h11.SERVER,
            # It gets heads whole: this bounds lines between and after chunks.
            max_incomplete_event_size=self._get_limits().max_head_bytes,
        )
        self._body_reader = BodyReader(
            self._input, self._parser, self._admission, self._progress
        )
        self._response = ServerResponse(
            self._channel, self._parser, self._admission
        )

    @property
    def channel(self) -> Channel:
        """The underlying connection."""
        return self._channel

    @property
    def address(self) -> str:
        """Address of the host that has opened the connection."""
        return self._channel.peer.rpartition(":")[0]

    @property
    def held_bytes(self) -> int:
        """Input that no request has used, and output that is yet unsent."""
        return self._input.size + self._channel.unsent_bytes

    @property
    def progress(self) -> Progress:
        """How far the exchange has come."""
        if self._progress.phase is Phase.ANSWER:
            unsent = self._channel.unsent_bytes
            self._progress.moved_bytes = self._unsent_at_start - unsent
        return self._progress

    def abort(self) -> None:
        """Closes the connection at once."""
        self._channel.abort()

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
        """Returns the next request, or why none; held until `release_body`."""
        self.release_body()
        self._progress.enter(Phase.IDLE)
        is_read = False
        try:
            req = await self._read_request()
            is_read = isinstance(req, Request)
        finally:
            if not is_read:
                self.release_body()
        self._progress.enter(Phase.SERVED)
        return req

    def release_body(self) -> None:
        """Declares that nothing refers to the body of the last request."""
        self._body_reader.release()

    def release_all(self) -> None:
        """Declares that the last request and its response have ended."""
        self.release_body()
        self._response.release()

    async def _read_request(self) -> Request | BadRequest | CloseReason:
        # A caller may send many requests at once.
        await self._input.coop_budget.spend()
        limits = self._get_limits()
        if not await self._input.wait(limits.idle_timeout_s):
            return (
                CloseReason.ENDED
                if self._channel.is_peer_closed
                else CloseReason.IDLE
            )
        arrived_s = time.monotonic()
        self._progress.enter(Phase.HEAD)
        reader = self._body_reader
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                head = await self._input.read_head(
                    limits.max_head_bytes, reader.take_for_head_now
                )
        except TimeoutError:
            return BadRequest(408, "the request head took too long")
        if not isinstance(head, bytes):
            return head
        if not await reader.take_for_head(head):
            return NO_MEMORY
        head_error = find_head_error(head)
        if head_error is not None:
            return BadRequest(400, head_error)
        try:
            return await self._parse(head, limits, arrived_s)
        except h11.RemoteProtocolError as exc:
            return BadRequest(exc.error_status_hint, str(exc).lower())
        except TimeoutError:
            return BadRequest(408, "the request body took too long")
        except ConnectionError:
            return CloseReason.ENDED

    async def _parse(
        self, head: bytes, limits: InputLimits, arrived_s: float
    ) -> Request | BadRequest | CloseReason:
        """Parses a head and reads the body that follows it."""
        self._parser.receive_data(head)
        event = self._parser.next_event()
        if not isinstance(event, h11.Request):
            return BadRequest(400, "malformed request")
        method, target = (
            event.method.decode("ascii"),
            event.target.decode("ascii"),
        )
        headers = decode_headers(event)
        length = body_length(event)
        # Not kept while the body comes: it takes more than the headers.
        del event
        body = await self._body_reader.read(length, headers, limits)
        if not isinstance(body, bytes):
            return body
        return Request(method, target, headers, body, arrived_s)

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

    async def drain(self) -> None:
        """Waits while the caller has much of the response yet to read."""
        if not self._channel.is_writable:
            self._begin_answer()
            await self._channel.drain()
            self._progress.enter(Phase.SERVED)

    async def flush(self) -> None:
        """Waits until the response may be followed by another one, or closed.

        A body without framing is handed to the system first. A connection is
        closed if its caller has read nothing for the longest pause.
        """
        while unsent := self._channel.unsent_bytes:
            self._begin_answer()
            try:
                async with asyncio.timeout(self._get_limits().idle_timeout_s):
                    return await self._response.flush()
            except TimeoutError:
                if self._channel.unsent_bytes >= unsent:
                    metrics.ANSWERS_UNREAD.inc()
                    self._channel.abort()
        return await self._response.flush()

    def _begin_answer(self) -> None:
        self._unsent_at_start = self._channel.unsent_bytes
        self._progress.enter(Phase.ANSWER)

    def prepare_next_request(self) -> bool:
        """Begins a new exchange; says whether the connection can be reused.

        A connection stays open if its response did not say that it closes,
        even if it is to close since: the next response says so.
        """
        if self._channel.is_peer_closed:
            return False
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        rest, _ = self._parser.trailing_data
        self._input.put_back(rest)
        # Nobody can have read the response that was just written.
        self._progress.count_ahead(is_ahead=bool(self._input.size))
        self.release_all()
        self._begin_exchange()
        return True
