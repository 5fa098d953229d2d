"""A TCP connection with a read buffer and flow control."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

from savorylift.wire.connection_socket import (
    NO_LINGER,
    RESET_ON_CLOSE,
    is_open_now,
    send_at_once,
    set_linger,
)
from savorylift.wire.lost_transport import LostTransport
from savorylift.wire.send_queue import SendQueue

MAX_READ_BUFFER_BYTES = 65_536
# Most that is received at once.
MAX_RECEIVE_BYTES = 65_536
# Most that a reader gets, and handles, at once.
MAX_READ_BYTES = 16_384
LINGER_TIMEOUT_S = 1.0

# Shared by all connections: what arrives is copied at once.
_received = memoryview(bytearray(MAX_RECEIVE_BYTES))


class Channel(asyncio.BufferedProtocol):
    """Reads and writes bytes on one connection.

    Attributes:
        is_peer_closed: Whether the peer has closed its end, or the connection
            is lost.
        connection_error: Why the connection was lost; None if it was closed.
        has_received: Whether any byte has arrived.
        peer_closed: Set together with `is_peer_closed`, for waiters.
        is_lost: Whether the system's connection is closed.
        on_lost: Called when that happens.
    """

    def __init__(
        self, on_connect: "Callable[[Channel], None] | None" = None
    ) -> None:
        """Calls `on_connect`, if given, once the connection is open."""
        self._on_connect = on_connect
        self._transport: asyncio.Transport | None = None
        self._peer_name: tuple[str, int] | None = None
        self._has_tls = False
        self._send_queue: SendQueue | None = None
        self._read_buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._max_input_bytes = MAX_READ_BUFFER_BYTES
        self._is_discarding = False
        self._resets_on_close = False
        self._is_end_marked_by_close = False
        self.is_peer_closed = False
        self.has_received = False
        self.connection_error: Exception | None = None
        self.peer_closed = asyncio.Event()
        self.is_lost = False
        self.on_lost: Callable[[], None] | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of an open connection."""
        assert self._transport is not None
        return self._transport

    @property
    def peer(self) -> str:
        """Address of the peer, for logs."""
        name = self._peer_name
        return f"{name[0]}:{name[1]}" if name else ""

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed it, as far as that can be seen.

        While its input is full, the end of a connection doesn't show.
        """
        if self._transport is None:
            return False
        is_full = len(self._read_buffer) >= self._max_input_bytes
        is_closed = self.is_peer_closed or self._transport.is_closing()
        return not is_closed and not is_full

    @property
    def is_known_open(self) -> bool:
        """Whether neither side has closed it, as the system knows just now.

        Not while input is unread: an end that follows it doesn't show.
        """
        if self._read_buffer or not self.is_open:
            return False
        return is_open_now(self.transport)

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have arrived and were not read yet."""
        return len(self._read_buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport and disables Nagle's algorithm."""
        self._transport = cast("asyncio.Transport", transport)
        self._peer_name = transport.get_extra_info("peername")
        self._has_tls = transport.get_extra_info("sslcontext") is not None
        self._send_queue = SendQueue(self._transport)
        send_at_once(transport)
        if self._on_connect is not None:
            self._on_connect(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Returns where to put what arrives."""
        if self._is_discarding:
            return _received
        free = self._max_input_bytes - len(self._read_buffer)
        return _received[: max(free, 1)]

    def buffer_updated(self, nbytes: int) -> None:
        """Buffers input; pauses reading when the buffer is full."""
        self.has_received = True
        if self._is_discarding:
            return
        self._read_buffer += _received[:nbytes]
        if len(self._read_buffer) >= self._max_input_bytes:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Records that the peer has closed its end; keeps ours open."""
        self.is_peer_closed = True
        self.peer_closed.set()
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end of the connection; `exc` is set if it was reset."""
        self.is_peer_closed = True
        self.is_lost = True
        self.connection_error = exc
        self._transport = LostTransport()
        self._send_queue = SendQueue(self._transport)
        self.peer_closed.set()
        self._writable.set()
        self._wake()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Makes `drain` wait: the peer reads too slowly."""
        self._output.pause()
        self._writable.clear()

    def resume_writing(self) -> None:
        """Sends what has yet to be sent; then lets `drain` return."""
        self._output.resume()
        if not self._output.is_paused:
            self._writable.set()

    def limit_input(self, max_bytes: int) -> None:
        """Limits what is received at once, and buffered before a pause."""
        self._max_input_bytes = max_bytes

    async def read(self) -> bytes:
        """Returns some buffered input, waiting for it; empty at its end.

        Raises:
            ConnectionError: The connection was reset.
        """
        while not self._read_buffer and not self.is_peer_closed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if not self._read_buffer:
            if self.connection_error is not None:
                raise ConnectionError(str(self.connection_error))
            return b""
        data = bytes(self._read_buffer[:MAX_READ_BYTES])
        del self._read_buffer[:MAX_READ_BYTES]
        is_below_limit = len(self._read_buffer) < self._max_input_bytes
        if is_below_limit and not self.is_peer_closed:
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queues bytes to send; drops them if the connection is closing."""
        self._output.write(data)

    def write_large(self, data: bytes) -> None:
        """Queues bytes to send; frees their memory piece by piece."""
        self._output.write_large(data)

    def write_shared(self, data: bytes) -> None:
        """Queues bytes that others refer to as well, without a copy."""
        self._output.write_shared(data)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes queued that the system has yet to take."""
        return self._output.unsent_bytes

    @property
    def is_writable(self) -> bool:
        """Whether the send buffer is below its high-water mark."""
        return self._writable.is_set()

    async def drain(self) -> None:
        """Waits until the send buffer is below its low-water mark."""
        await self._writable.wait()

    def reset_on_close(self) -> None:
        """Makes any close reset the connection until `allow_close`.

        This holds also if the process is killed.
        """
        self._resets_on_close = True
        self._is_end_marked_by_close = True
        set_linger(self.transport, RESET_ON_CLOSE)

    async def allow_close(self) -> None:
        """Ends `reset_on_close` once all queued bytes are with the system.

        Over TLS, it can't be seen when they are. The notice of TLS then marks
        the end, and the connection is reset unless the peer has seen that.
        """
        if self._has_tls:
            self._resets_on_close = False
            return
        self.transport.set_write_buffer_limits(high=0)
        await self.drain()
        if not self.transport.is_closing():
            set_linger(self.transport, NO_LINGER)
            self._resets_on_close = False

    def abort(self) -> None:
        """Closes the connection immediately; queued bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after sending the queued bytes.

        After `reset_on_close`, it is reset instead.
        """
        if self._resets_on_close:
            self.abort()
        elif self._transport is not None:
            self._output.flush()
            self._transport.close()

    async def close_gracefully(self) -> None:
        """Sends queued bytes and FIN; discards input until the peer closes.

        Closing with unread input would reset the connection, and the peer
        could lose the response just sent.
        """
        if self._resets_on_close:
            self.abort()
            return
        self._output.flush()
        self._is_discarding = True
        self._read_buffer.clear()
        if not self.is_peer_closed:
            self.transport.resume_reading()
            self._show_end()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LINGER_TIMEOUT_S):
                    await self.peer_closed.wait()
        self.close()

    @property
    def _output(self) -> SendQueue:
        assert self._send_queue is not None
        return self._send_queue

    def _show_end(self) -> None:
        """Shows the peer that nothing more follows, if that can matter."""
        if self.transport.can_write_eof():
            self.transport.write_eof()
        elif self._is_end_marked_by_close:
            # With TLS, a notice can't go out without a close.
            self.transport.close()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._waiter = None
