"""A caller with TLS that tells apart how a connection ends."""

import enum
import socket
import ssl

from tests.harness.certificates import client_context

MAX_RECEIVE_BYTES = 65_536
TIMEOUT_S = 10.0


class End(enum.Enum):
    """How a connection ended.

    Attributes:
        NOTICE: With the notice of TLS: what came before it is all.
        CLOSED: In order, but without that notice.
        RESET: It was reset.
    """

    NOTICE = "notice"
    CLOSED = "closed"
    RESET = "reset"


class TlsCaller:
    """Blocks; uses no library that takes a reset for an end in order."""

    def __init__(self, host: str, port: int) -> None:
        """Connects."""
        self._socket = socket.create_connection((host, port), TIMEOUT_S)
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = client_context().wrap_bio(self._incoming, self._outgoing)
        while True:
            try:
                self._tls.do_handshake()
            except ssl.SSLWantReadError:
                self._flush()
                self._receive()
            else:
                break
        self._flush()

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self._tls.write(data)
        self._flush()

    def read_until(self, last: bytes) -> bytes:
        """Reads until certain bytes have come."""
        data = b""
        while not data.endswith(last):
            part = self._read()
            assert part
            data += part
        return data

    def read_to_end(self) -> tuple[bytes, End]:
        """Reads to the end of the connection, and closes it."""
        data = bytearray()
        try:
            while part := self._read():
                data += part
        except ConnectionError:
            return bytes(data), End.RESET
        except EOFError:
            return bytes(data), End.CLOSED
        finally:
            self._socket.close()
        return bytes(data), End.NOTICE

    def _read(self) -> bytes:
        """Returns some bytes; none after the notice.

        Raises:
            EOFError: There was no notice.
            ConnectionError: The connection was reset.
        """
        while True:
            try:
                return self._tls.read(MAX_RECEIVE_BYTES)
            except ssl.SSLWantReadError:
                self._receive()
            except ssl.SSLZeroReturnError:
                return b""

    def _receive(self) -> None:
        data = self._socket.recv(MAX_RECEIVE_BYTES)
        if not data:
            raise EOFError
        self._incoming.write(data)

    def _flush(self) -> None:
        if self._outgoing.pending:
            self._socket.sendall(self._outgoing.read())
