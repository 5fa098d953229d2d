"""Non-blocking writes to a caller's connection."""

import os
import socket
import ssl
import threading
import time

NOTHING_YET = (BlockingIOError, InterruptedError, ssl.SSLWantReadError)
NOT_NOW = (*NOTHING_YET, ssl.SSLWantWriteError)


class CallerSocket:
    """Writes to a caller and notices when it is gone.

    Bytes that the connection does not take at once are kept up to a bound.
    Writes may come from the relay thread and from the request's own.
    """

    def __init__(self, sock: socket.socket, buffer_bytes: int) -> None:
        """Takes over a connected socket, plain or TLS.

        Args:
            sock: The connection; the owner closes it.
            buffer_bytes: Unsent bytes at which the caller is too slow.
        """
        self._sock = sock
        # A second descriptor lets TLS connections be watched with MSG_PEEK.
        self._watch = socket.socket(fileno=os.dup(sock.fileno()))
        self._bound = buffer_bytes
        self._unsent = bytearray()
        self._lock = threading.Lock()
        self.last_write_s = time.monotonic()
        self.is_lost = False
        self.is_read_watched = True
        self._timeout_s = sock.gettimeout()
        sock.setblocking(False)

    def fileno(self) -> int:
        """Returns the connection's descriptor, for selectors."""
        return self._sock.fileno()

    def has_unsent(self) -> bool:
        """Returns True while bytes wait for the connection to take them."""
        return bool(self._unsent)

    def is_too_slow(self) -> bool:
        """Returns True if more is unsent than the bound allows."""
        return len(self._unsent) > self._bound

    def write(self, data: bytes) -> None:
        """Sends what the connection takes now and queues the rest."""
        self.last_write_s = time.monotonic()
        with self._lock:
            if self._unsent:
                self._unsent += data
                self._send_unsent()
            elif not self.is_lost:
                self._unsent += data[self._send(data) :]

    def flush(self) -> None:
        """Sends queued bytes until done or the connection is full."""
        with self._lock:
            self._send_unsent()

    def _send_unsent(self) -> None:
        while self._unsent and not self.is_lost:
            sent = self._send(self._unsent)
            if sent == 0:
                return
            del self._unsent[:sent]

    def _send(self, data: bytes | bytearray) -> int:
        """Returns how many bytes the connection took."""
        try:
            return self._sock.send(data)
        except NOT_NOW:
            return 0
        except OSError:
            self.is_lost = True
            return 0

    def check_gone(self) -> None:
        """Notes whether the caller has closed its side.

        Clears `is_read_watched` once the caller is gone, or has sent bytes
        that nobody asked for and that would keep the socket readable.
        """
        try:
            data = self._watch.recv(1, socket.MSG_PEEK)
        except NOTHING_YET:
            return
        except OSError:
            data = b""
        self.is_read_watched = False
        if not data:
            self.is_lost = True

    def release(self) -> None:
        """Sends what is unsent and gives the socket back to its owner.

        Blocks up to the timeout that the socket had before.
        """
        self._watch.close()
        self._sock.settimeout(self._timeout_s)
        if self.is_lost or not self._unsent:
            return
        try:
            self._sock.sendall(self._unsent)
        except OSError:
            self.is_lost = True
