"""Free ports on loopback."""

import contextlib
import random
import socket
from collections.abc import Sequence

PORTS = range(20_000, 32_000)  # below those that outgoing connections take


def free_addresses(
    count: int, hosts: Sequence[str] = ("127.0.0.1",)
) -> list[str]:
    """Returns distinct `ip:port` that nothing listens on now.

    Args:
        count: How many.
        hosts: Addresses on all of which the port must be free; the first one
            is returned.
    """
    # Chosen at random, since tests in other processes choose as well.
    found: list[str] = []
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
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
