"""What the system knows and does about the socket of a connection."""

import asyncio
import select
import socket
import struct

# Values of SO_LINGER: on with a time of 0, by which a close sends RST; and off.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)
# What the system is told to receive at most for a connection that isn't read:
# from callers and nodes, and from servers. It receives up to 1.5 times as much.
INPUT_WINDOW_BYTES = 16384
ANSWER_WINDOW_BYTES = 16_384
# Descriptor of a socket that was closed, as its connection was lost.
CLOSED_SOCKET = -1


def limit_receive_buffer(sock: socket.socket, size: int) -> None:
    """Limits what the system receives and holds for a socket.

    Sockets that a listening socket accepts inherit its limit.

    Args:
        sock: The socket.
        size: Number of bytes; the system takes up to 1.5 times as many.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


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
