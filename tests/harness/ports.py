"""Choice of ports on loopback that are free for TCP and for UDP."""

import collections
import contextlib
import random
import socket
from collections.abc import Sequence

# Below the ephemeral ports (by default 32768 and up on Linux), which the kernel
# assigns to outgoing connections.
PORT_RANGE = range(20_000, 32_000)
# A port is reserved by a socket on this address, which nothing else uses, so
# that no other test process chooses it before it is bound.
RESERVATION_HOST = "127.255.255.1"
# Reservations of this process that last; more than one test uses.
MAX_RESERVATIONS = 600

_reservations: collections.deque[socket.socket] = collections.deque()


def free_addresses(
    count: int, hosts: Sequence[str] = ("127.0.0.1",)
) -> list[str]:
    """Returns distinct `ip:port` addresses that are free, and reserves them.

    Other test processes, and later calls in this one, choose other ports.

    Args:
        count: Number of addresses.
        hosts: IP addresses; a port is chosen only if it is free on each of
            them. The returned addresses have the first one.
    """
    found: list[str] = []
    for port in random.SystemRandom().sample(PORT_RANGE, len(PORT_RANGE)):
        if len(found) == count:
            break
        if _reserve(port, hosts):
            found.append(f"{hosts[0]}:{port}")
    return found


def _reserve(port: int, hosts: Sequence[str]) -> bool:
    """Reserves a port if nobody uses it; returns whether it did."""
    reservation = _bind(RESERVATION_HOST, port)
    if reservation is None:
        return False
    if not all(_is_free(host, port) for host in hosts):
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True


def _is_free(host: str, port: int) -> bool:
    """Whether a node could use a port for connections and for datagrams.

    A node that a test left behind may still hold one for datagrams only.
    """
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        sock = _bind(host, port, kind)
        if sock is None:
            return False
        sock.close()
    return True


def _bind(
    host: str, port: int, kind: socket.SocketKind = socket.SOCK_STREAM
) -> socket.socket | None:
    sock = socket.socket(type=kind)
    with contextlib.suppress(OSError):
        sock.bind((host, port))
        return sock
    sock.close()
    return None
