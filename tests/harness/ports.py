"""Choice of free TCP ports on loopback."""

import contextlib
import random
import socket
from collections.abc import Sequence

# Below the ephemeral ports (by default 32768 and up on Linux), which the kernel
# assigns to outgoing connections.
PORT_RANGE = range(20_000, 32_000)


def free_addresses(
    count: int, hosts: Sequence[str] = ("127.0.0.1",)
) -> list[str]:
    """Returns distinct `ip:port` addresses that are currently free.

    Args:
        count: Number of addresses.
        hosts: IP addresses; a port is chosen only if it is free on each of
            them. The returned addresses have the first one.
    """
    # Random order makes it unlikely that tests in other processes choose the
    # same ports.
    found: list[str] = []
    for port in random.SystemRandom().sample(PORT_RANGE, len(PORT_RANGE)):
        if len(found) == count:
            break
        if all(_is_free(host, port) for host in hosts):
            found.append(f"{hosts[0]}:{port}")
    return found


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.bind((host, port))
        return True
    return False
