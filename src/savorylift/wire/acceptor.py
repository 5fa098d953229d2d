"""Accepts the connections of a listening socket, a few at a time."""

import asyncio
import socket
from collections.abc import Callable

import structlog

from savorylift.wire import metrics
from savorylift.wire.connection_socket import (
    INPUT_WINDOW_BYTES,
    limit_receive_buffer,
)

BACKLOG = 1024
# Connections accepted before other tasks run: each takes a descriptor, even if
# it is closed at once.
MAX_ACCEPTS_PER_TURN = 16
# Pause of accepting when the process has no descriptor left.
NO_DESCRIPTOR_PAUSE_S = 0.1

_log = structlog.get_logger()


class Acceptor:
    """Hands over each connection that arrives, until it is stopped."""

    def __init__(self, on_socket: Callable[[socket.socket], None]) -> None:
        """Opens no socket yet.

        Args:
            on_socket: Called with the socket of each connection.
        """
        self._on_socket = on_socket
        self._socket: socket.socket | None = None
        self._pause: asyncio.TimerHandle | None = None

    def start(self, host: str, port: int) -> None:
        """Begins to listen and to accept.

        Raises:
            OSError: The address is in use.
        """
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        try:
            limit_receive_buffer(self._socket, INPUT_WINDOW_BYTES)
            self._socket.setblocking(False)
            self._resume()
        except BaseException:
            self._socket.close()
            self._socket = None
            raise

    def stop(self) -> None:
        """Hands over what has arrived, and closes the listening socket."""
        if self._socket is None:
            return
        self._suspend()
        # These would be reset with the listening socket.
        self._accept_up_to(BACKLOG)
        self._socket.close()
        self._socket = None

    def _resume(self) -> None:
        assert self._socket is not None
        self._pause = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._accept)

    def _suspend(self) -> None:
        assert self._socket is not None
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self) -> None:
        """Accepts some connections; pauses if there is no descriptor."""
        error = self._accept_up_to(MAX_ACCEPTS_PER_TURN)
        if error is None:
            return
        metrics.ACCEPTS_PAUSED.inc()
        _log.warning("accept_paused", detail=str(error))
        self._suspend()
        loop = asyncio.get_running_loop()
        self._pause = loop.call_later(NO_DESCRIPTOR_PAUSE_S, self._resume)

    def _accept_up_to(self, count: int) -> OSError | None:
        """Accepts connections; returns the error if one can't be accepted."""
        assert self._socket is not None
        for _ in range(count):
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return None
            except OSError as exc:
                return exc
            sock.setblocking(False)
            self._on_socket(sock)
        return None
