"""Reads the body of one request."""

import asyncio
import io
import time

import h11
import structlog

from savorylift.wire.body_admission import BodyAdmission
from savorylift.wire.body_budget import SMALL_BODY_BYTES
from savorylift.wire.body_lease import BodyLease
from savorylift.wire.connection_input import (
    MAX_HEAD_BUFFER_BYTES,
    ConnectionInput,
)
from savorylift.wire.message import Headers
from savorylift.wire.progress import MIN_BYTES_PER_S, Phase, Progress
from savorylift.wire.request_input import (
    NO_MEMORY,
    BadRequest,
    CloseReason,
    InputLimits,
)

# How long a body waits until there is memory for it, and the share of the time
# that its caller has left which this may take.
MAX_BODY_WAIT_S = 0.7
BODY_WAIT_SHARE = 0.2
# Longest time for a body, on top of what it takes at the lowest rate.
MAX_BODY_S = 60.0
# Heads that take more memory than this wait for it, like bodies.
SMALL_HEAD_BYTES = 16_384
# What a decoded header field takes at most on top of its bytes.
FIELD_BYTES = 400

_log = structlog.get_logger()


class BodyReader:
    """Reads one body, and holds the memory that it takes."""

    def __init__(
        self,
        source: ConnectionInput,
        parser: h11.Connection,
        admission: BodyAdmission,
        progress: Progress,
    ) -> None:
        """Creates a reader that holds no memory.

        Args:
            source: Where the body comes from.
            parser: Parses the request.
            admission: Decides when the body may be read.
            progress: Told how far the body has come.
        """
        self._source = source
        self._parser = parser
        self._admission = admission
        self._progress = progress
        self._lease = BodyLease(progress, source.channel.abort)
        self._head_bytes = 0

    def release(self) -> None:
        """Declares that nothing refers to the request."""
        if self._lease.is_used:
            self._admission.budget.release(self._lease)
        self._lease.team = ""

    def take_for_head_now(self, size: int) -> bool:
        """Takes memory for a head; returns whether so much is free."""
        if not self._admission.budget.take_now(self._lease, size):
            return False
        self._head_bytes = size
        return True

    async def take_for_head(self, head: bytes) -> bool:
        """Takes the memory that a decoded head needs; waits for it briefly.

        Many short fields take much more than their bytes.

        Returns:
            Whether there is so much.
        """
        size = len(head) + FIELD_BYTES * head.count(b"\r\n")
        wanted = size - self._head_bytes
        if size <= SMALL_HEAD_BYTES or wanted <= 0:
            return True
        self._head_bytes = size
        budget = self._admission.budget
        return await budget.take(self._lease, wanted, MAX_BODY_WAIT_S)

    async def read(
        self, length: int | None, headers: Headers, limits: InputLimits
    ) -> bytes | BadRequest | CloseReason:
        """Returns the body, or why it can't be read.

        Args:
            length: Length of the body; None if it comes in chunks.
            headers: Its headers, decoded.
            limits: Limits for the request.

        Raises:
            ConnectionError: The connection was reset.
            TimeoutError: The body took too long.
            h11.RemoteProtocolError: The body is malformed.
        """
        if length == 0:
            return await self._receive(0, headers, limits)
        if length is not None and length > limits.max_body_bytes:
            return BadRequest(413, "the request body is too large")
        self._lease.team = self._admission.find_team(headers)
        # A body in chunks takes more once it turns out to be large.
        size = SMALL_BODY_BYTES if length is None else length
        if not self._admission.budget.take_now(
            self._lease, size
        ) and not await self._wait_for_memory(size, headers):
            return NO_MEMORY
        if self._parser.they_are_waiting_for_100_continue:
            self._send_continue()
        self._progress.enter(Phase.BODY)
        try:
            return await self._receive(length, headers, limits)
        finally:
            self._source.expect(0)

    def _latest_end_s(
        self, length: int | None, headers: Headers, limits: InputLimits
    ) -> float:
        """Returns until when a body may be read, as a monotonic time."""
        size = limits.max_body_bytes if length is None else length
        longest_s = MAX_BODY_S + size / MIN_BYTES_PER_S
        time_left_s = self._admission.decode_time_left(headers)
        if time_left_s is not None:
            longest_s = min(longest_s, time_left_s)
        return time.monotonic() + longest_s

    async def _receive(
        self, length: int | None, headers: Headers, limits: InputLimits
    ) -> bytes | BadRequest | CloseReason:
        body = _buffer_for(length)
        unparsed = self._source.take()
        if unparsed:
            self._parser.receive_data(unparsed)
        is_reserved = length is not None
        end_s: float | None = None
        while True:
            await self._source.coop_budget.spend()
            event = self._parser.next_event()
            if isinstance(event, h11.EndOfMessage):
                if length is None:
                    self._admission.budget.shrink(
                        self._lease, self._head_bytes + body.tell()
                    )
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
                if end_s is None:
                    end_s = self._latest_end_s(length, headers, limits)
                wait_s = min(limits.idle_timeout_s, end_s - time.monotonic())
                # Chunks don't tell where their body ends.
                rest = MAX_HEAD_BUFFER_BYTES
                if length is not None:
                    rest = length - body.tell()
                self._source.expect(rest)
                async with asyncio.timeout(wait_s):
                    data = await self._source.channel.read()
                if not data:
                    return CloseReason.ENDED
                self._progress.moved_bytes += len(data)
                await self._source.coop_budget.spend(len(data))
                self._parser.receive_data(data)
            else:
                return BadRequest(400, "malformed body")

    async def _wait_for_memory(self, size: int, headers: Headers) -> bool:
        """Takes memory for a body; returns whether there was so much.

        Meanwhile nothing more of it is received: its caller is held by TCP.
        """
        budget = self._admission.budget
        if budget.take_now(self._lease, size):
            return True
        time_left_s = self._admission.decode_time_left(headers)
        max_wait_s = MAX_BODY_WAIT_S
        if time_left_s is not None:
            max_wait_s = min(max_wait_s, BODY_WAIT_SHARE * time_left_s)
        began_s = time.monotonic()
        is_taken = await budget.take(self._lease, size, max_wait_s)
        _log.info(
            "body_waited",
            peer=self._source.channel.peer,
            size=size,
            waited_ms=round((time.monotonic() - began_s) * 1000),
            is_read=is_taken,
            held=budget.held_bytes,
        )
        return is_taken

    def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        self._source.channel.write(self._parser.send(event) or b"")


def _buffer_for(length: int | None) -> io.BytesIO:
    """Returns an empty buffer for a body of `length` bytes, if it is known."""
    # Unlike a bytearray, it returns its content without a copy. All at once:
    # pieces of memory that grow would leave gaps. The system provides a page
    # only once something is written there, so that slow bodies take little.
    if length is not None and length > SMALL_BODY_BYTES:
        return io.BytesIO(bytes(length))
    return io.BytesIO()
