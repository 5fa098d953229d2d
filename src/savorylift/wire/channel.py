"""A TCP connection as buffered bytes on the event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

READ_BUFFER_BYTES = 262_144
LINGER_S = 1.0


class Channel(asyncio.Protocol):
    """One connection: what arrived, whether it ended, and how."""

    def __init__(
        self, opened: "Callable[[Channel], None] | None" = None
    ) -> None:
        """Calls `opened` once the connection is there, if given."""
        self._opened = opened
        self._transport: asyncio.Transport | None = None
        self._arrived = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._drained = asyncio.Event()
        self._drained.set()
        self._is_discarding = False
        self.is_ended = False
        self.failure: Exception | None = None
        self.gone = asyncio.Event()

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of an open connection."""
        assert self._transport is not None
        return self._transport

    @property
    def peer(self) -> str:
        """Address of the other end, for logs."""
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to hold the connection."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._opened is not None:
            self._opened(self)

    def data_received(self, data: bytes) -> None:
        """Buffers input; a full buffer stops reading."""
        if self._is_discarding:
            return
        self._arrived += data
        if len(self._arrived) >= READ_BUFFER_BYTES:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Marks the end of input; the other end has closed or left."""
        self.is_ended = True
        self.gone.set()
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the end of the connection; `exc` says if it was reset."""
        self.is_ended = True
        self.failure = exc
        self.gone.set()
        self._drained.set()
        self._wake()

    def pause_writing(self) -> None:
        """Holds writers while the other end reads too slowly."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Lets writers go on."""
        self._drained.set()

    async def read(self) -> bytes:
        """Returns what arrived, waiting for some; empty at the end.

        Raises:
            ConnectionError: The connection was reset.
        """
        while not self._arrived and not self.is_ended:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if not self._arrived:
            if self.failure is not None:
                raise ConnectionError(str(self.failure))
            return b""
        data = bytes(self._arrived)
        self._arrived.clear()
        if not self.is_ended:
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queues bytes; on a closed connection they are dropped."""
        if data and not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the other end has taken most of what was queued."""
        await self._drained.wait()

    def abort(self) -> None:
        """Ends the connection at once; queued bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends the connection after the queued bytes."""
        if self._transport is not None:
            self._transport.close()

    async def close_gently(self) -> None:
        """Sends what is queued and the end, and waits for the other's end.

        Closing with unread input would reset the connection, and the answer
        just sent could be lost.
        """
        self._is_discarding = True
        self._arrived.clear()
        if not self.is_ended:
            self.transport.resume_reading()
            if self.transport.can_write_eof():
                self.transport.write_eof()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.gone.wait(), LINGER_S)
        self.close()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._waiter = None


async def connect(host: str, port: int, timeout_s: float) -> Channel:
    """Opens a connection.

    Raises:
        OSError: It was refused, reset, or not there in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, channel = await loop.create_connection(Channel, host, port)
    return channel
