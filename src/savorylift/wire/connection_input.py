"""What a connection has received and no request has used yet."""

import asyncio
from collections.abc import Callable

from savorylift.wire.channel import MAX_READ_BUFFER_BYTES, Channel
from savorylift.wire.coop_budget import CoopBudget
from savorylift.wire.head_check import HEAD_END
from savorylift.wire.request_input import NO_MEMORY, BadRequest, CloseReason

# Input that a connection buffers while no body is being read.
INPUT_BUFFER_BYTES = 4096
# Larger heads take memory for bodies.
MAX_HEAD_BUFFER_BYTES = 16_384


class ConnectionInput:
    """Reads a connection, request after request.

    Attributes:
        channel: The connection.
        coop_budget: Lets other tasks run between steps.
    """

    def __init__(self, channel: Channel) -> None:
        """Starts with nothing read."""
        channel.limit_input(INPUT_BUFFER_BYTES)
        self.channel = channel
        self.coop_budget = CoopBudget()
        self._unparsed = bytearray()

    @property
    def size(self) -> int:
        """Bytes that were received and no request has used."""
        return len(self._unparsed) + self.channel.unread_bytes

    def expect(self, rest: int) -> None:
        """Fits the buffer to a body, which has its memory.

        It gets little that follows the body.

        Args:
            rest: Bytes of the body that are yet to come; 0 if there is none.
        """
        size = min(max(rest, INPUT_BUFFER_BYTES), MAX_READ_BUFFER_BYTES)
        self.channel.limit_input(size)

    async def wait(self, timeout_s: float) -> bool:
        """Waits for input; returns whether there is any."""
        if self._unparsed:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                self._unparsed += await self.channel.read()
        except (TimeoutError, ConnectionError):
            return False
        return bool(self._unparsed)

    async def read_head(
        self, max_bytes: int, reserve: Callable[[int], bool]
    ) -> bytes | BadRequest | CloseReason:
        """Returns the next request head, or why there is none.

        Args:
            max_bytes: Size of the largest head.
            reserve: Takes memory for a large one; returns whether it is free.
        """
        searched = 0
        is_reserved = False
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
            if not is_reserved and searched > MAX_HEAD_BUFFER_BYTES:
                is_reserved = True
                if not reserve(max_bytes):
                    return NO_MEMORY
            try:
                data = await self.read_more()
            except ConnectionError:
                return CloseReason.ENDED
            if not data:
                return CloseReason.ENDED
            self._unparsed += data

    async def read_more(self) -> bytes:
        """Returns some input that follows; empty at its end.

        Raises:
            ConnectionError: The connection was reset.
        """
        data = await self.channel.read()
        await self.coop_budget.spend(len(data))
        return data

    def take(self) -> bytes:
        """Returns what was read beyond the last head."""
        data = bytes(self._unparsed)
        self._unparsed.clear()
        return data

    def put_back(self, data: bytes) -> None:
        """Keeps what was taken, but belongs to the next request."""
        self._unparsed += data
