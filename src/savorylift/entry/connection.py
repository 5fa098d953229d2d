"""Connections with a bound on receiving a request and JSON error bodies."""

import _pyio  # type: ignore[import-not-found]
import socket
import time
from typing import Any

from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection, HTTPRequest

from savorylift.entry.errors import http_refusal, raw_error


class DeadlineIO(socket.SocketIO):
    """Raw reads that fail once a request has taken too long to arrive.

    A timeout for each read alone would let a caller hold a thread by sending
    a byte at a time.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Reads from `sock`; no deadline is set yet."""
        super().__init__(sock, "r")
        self._socket = sock
        self.deadline_s: float | None = None

    def readinto(self, buffer: Any) -> int | None:  # noqa: ANN401
        """Reads as a raw socket file does, up to the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        if self.deadline_s is None:
            return super().readinto(buffer)
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        # `SocketIO` refuses reads for good after a timeout, as it should.
        self._socket.settimeout(left_s)
        return super().readinto(buffer)


class DeadlineReader(StreamReader):
    """Buffered reads over `DeadlineIO`."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        """Reads from `sock`."""
        self.deadline_io = DeadlineIO(sock)
        _pyio.BufferedReader.__init__(self, self.deadline_io, bufsize)
        self.bytes_read = 0


class Request(HTTPRequest):
    """A request whose protocol errors are answered in JSON."""

    def simple_response(self, status: object, msg: str = "") -> None:
        """Answers a request that could not be parsed or read in time."""
        answer = raw_error(http_refusal(str(status), msg))
        self.close_connection = True
        self.sent_headers = True
        try:
            self.conn.wfile.write(answer)
        except OSError:
            return  # the caller is gone


class Connection(HTTPConnection):
    """A connection whose requests must arrive within a bound."""

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: socket.socket, *_: Any) -> None:  # noqa: ANN401
        """Wraps an accepted socket; the makefile of `cheroot` is replaced."""
        super().__init__(server, sock)
        self.rfile = DeadlineReader(sock, self.rbufsize)

    def communicate(self) -> bool:
        """Serves one request; returns True to keep the connection."""
        bound_s = self.server.request_read_s
        self.rfile.deadline_io.deadline_s = time.monotonic() + bound_s
        keep_open = bool(super().communicate())  # type: ignore[no-untyped-call]
        self.rfile.deadline_io.deadline_s = None
        return keep_open
