"""Bytes that a connection has yet to hand to its transport."""

import asyncio
from collections import deque

# Shared data is handed to the transport in pieces of this size: it would copy
# all that the system doesn't take at once.
MAX_WRITE_BYTES = 65_536


class SendQueue:
    """Hands bytes to a transport, in order, while it takes them."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Starts with nothing to send."""
        self._transport = transport
        # Pieces that the transport has yet to get, while it sends others.
        self._pieces: deque[memoryview] = deque()
        self._is_paused = False

    @property
    def is_paused(self) -> bool:
        """Whether the peer reads too slowly."""
        return self._is_paused

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes queued that the system has yet to take."""
        queued = sum(map(len, self._pieces))
        return queued + self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Queues bytes to send; drops them if the connection is closing."""
        if data and not self._transport.is_closing():
            if self._pieces:
                self._queue(memoryview(data))
            else:
                self._transport.write(data)

    def write_large(self, data: bytes) -> None:
        """Queues bytes to send; frees their memory piece by piece."""
        view = memoryview(data)
        for start in range(0, len(data), MAX_WRITE_BYTES):
            self._queue(
                memoryview(bytes(view[start : start + MAX_WRITE_BYTES]))
            )

    def write_shared(self, data: bytes) -> None:
        """Queues bytes that others refer to as well, without a copy."""
        view = memoryview(data)
        for start in range(0, len(data), MAX_WRITE_BYTES):
            self._queue(view[start : start + MAX_WRITE_BYTES])

    def pause(self) -> None:
        """Hands nothing more to the transport for now."""
        self._is_paused = True

    def resume(self) -> None:
        """Hands pieces to the transport again."""
        self._is_paused = False
        self._send()

    def flush(self) -> None:
        """Hands all pieces to the transport."""
        while self._pieces and not self._transport.is_closing():
            self._transport.write(self._pieces.popleft())

    def _queue(self, piece: memoryview) -> None:
        if not self._transport.is_closing():
            self._pieces.append(piece)
            self._send()

    def _send(self) -> None:
        """Hands pieces to the transport until it has enough."""
        while self._pieces and not self._is_paused:
            self._transport.write(self._pieces.popleft())
