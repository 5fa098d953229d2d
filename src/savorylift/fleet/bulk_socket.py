"""Socket for messages that may wait until somebody needs what they say.

Each datagram that wakes a process costs it more than reading the datagram. So
those that come often are left in the socket until the next beat, or until a
decision asks for what they say.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

import structlog

from savorylift.fleet import metrics

MAX_DATAGRAM_BYTES = 65_536
# Datagrams that one call reads; the others wait for the next call.
MAX_DATAGRAMS_PER_READ = 1000
# While decisions are frequent, the socket is read no more often than this.
MIN_READ_INTERVAL_S = 0.005

_log = structlog.get_logger()


class BulkSocket:
    """Datagrams that are read when they are asked for.

    Attributes:
        port: Port of the socket; 0 while there is none.
        is_reading: Whether datagrams are being passed on.
    """

    def __init__(
        self, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        """Creates no socket yet.

        Args:
            on_datagram: Called with each datagram and its sender's address.
        """
        self._on_datagram = on_datagram
        self._socket: socket.socket | None = None
        self._buffer = bytearray(MAX_DATAGRAM_BYTES)
        self._next_s = 0.0
        self._is_eager = False
        self.port = 0
        self.is_reading = False

    def open(self, host: str, port: int) -> None:
        """Opens the socket.

        Raises:
            OSError: The address is in use.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            opened.setblocking(False)
            opened.bind((host, port))
        except OSError:
            opened.close()
            raise
        self._socket, self.port = opened, port

    def close(self) -> None:
        """Closes the socket."""
        self.set_eager(is_eager=False)
        if self._socket is not None:
            self._socket.close()
            self._socket, self.port = None, 0

    def set_eager(self, *, is_eager: bool) -> None:
        """Sets whether datagrams are read as soon as they come."""
        if self._socket is None or is_eager == self._is_eager:
            return
        self._is_eager = is_eager
        loop = asyncio.get_running_loop()
        if is_eager:
            loop.add_reader(self._socket, self.read)
        else:
            loop.remove_reader(self._socket)

    def read_if_due(self) -> bool:
        """Reads what has come; returns False if that was just done."""
        now_s = time.monotonic()
        if self._socket is None or now_s < self._next_s:
            return False
        self._next_s = now_s + MIN_READ_INTERVAL_S
        self.read()
        return True

    def read(self) -> None:
        """Passes on what has come; does nothing while it already does."""
        if self._socket is None or self.is_reading:
            return
        self.is_reading = True
        try:
            with contextlib.suppress(BlockingIOError):
                self._read_all(self._socket)
        except OSError as exc:
            _log.info("peer_message_lost", detail=str(exc))
        finally:
            self.is_reading = False

    def _read_all(self, source: socket.socket) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            size, addr = source.recvfrom_into(self._buffer)
            self._pass_on(bytes(self._buffer[:size]), addr)

    def _pass_on(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram on; one that fails keeps nobody from the others."""
        try:
            self._on_datagram(data, addr)
        except Exception:
            metrics.MESSAGE_FAILURES.inc()
            _log.exception("peer_message_failed", peer=addr[0])
