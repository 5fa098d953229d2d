"""Free ports on loopback."""

import contextlib
import random
import socket

PORTS = range(20_000, 32_000)  # below those that outgoing connections take


def free_addresses(count: int) -> list[str]:
    """Returns distinct `ip:port` that nothing listens on now."""
    # Chosen at random, since tests in other processes choose as well.
    found: list[str] = []
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        if len(found) == count:
            break
        if _is_free(port):
            found.append(f"127.0.0.1:{port}")
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.bind(("127.0.0.1", port))
        return True
    return False
