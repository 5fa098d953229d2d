"""What the system knows and does about the socket of a connection."""

import asyncio
import select
import socket
import struct

# Values of SO_LINGER: on with a time of 0, by which a close sends RST; and off.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)
# Descriptor of a socket that was closed, as its connection was lost.
CLOSED_SOCKET = -1


def send_at_once(transport: asyncio.BaseTransport) -> None:
    """Disables Nagle's algorithm."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def is_open_now(transport: asyncio.BaseTransport) -> bool:
    """Whether neither side has closed a connection without unread input."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() == CLOSED_SOCKET:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return not poll.poll(0)


def set_linger(transport: asyncio.BaseTransport, value: bytes) -> None:
    """Sets how a close ends a connection, if it is still open."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() != CLOSED_SOCKET:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
