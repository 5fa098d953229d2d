"""A connection that was accepted and is not open yet: its handshake goes on."""

import contextlib
import socket

from savorylift.wire.progress import Phase, Progress

# What the buffers of TLS take until the handshake is over.
HANDSHAKE_BYTES = 16_384


class OpeningConnection:
    """What decides whether a connection is closed before it is open.

    Attributes:
        progress: How far it has come. The bytes of a handshake aren't counted.
        held_bytes: Bytes of memory that it takes.
        address: Address of the host that has opened it.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Begins the handshake of a connection that was just accepted."""
        self._socket = sock
        self.progress = Progress()
        self.progress.enter(Phase.HANDSHAKE)
        self.held_bytes = HANDSHAKE_BYTES
        self.address = ""
        with contextlib.suppress(OSError):
            self.address = sock.getpeername()[0]

    def abort(self) -> None:
        """Ends the handshake, and with it the connection.

        Its transport sees the end of the input, and closes the socket.
        """
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
