"""How many connections each listener of a node may have.

Answers crowds of callers: what a node keeps back for servers, the store and
other nodes is not theirs to take, and no listener takes that of another one.
"""

import resource
from typing import NamedTuple

# The platform reserves these for files, where there are so many.
FILE_DESCRIPTORS = 200
# Bound for systems that allow more than a node can use.
MAX_DESCRIPTORS = 4096
# Parts of the rest, by listener. What is left is for connections that the node
# opens itself.
CALLERS_SHARE = 0.45
NODES_SHARE = 0.1
PLATFORM_SHARE = 1 / 32
MIN_CONNECTIONS = 8
# Callers' connections take at most a quarter of the memory, if each has so much
# in its buffers.
MEMORY_DIVISOR = 4
CONNECTION_BYTES = 32_768
# What TLS adds to it.
TLS_BYTES = 65_536


class ConnectionShares(NamedTuple):
    """Most connections of each listener.

    Attributes:
        callers: Those of callers.
        nodes: Those of other nodes.
        directory: Those to the directory.
        readiness: Those of readiness checks.
        metrics: Those of operators.
    """

    callers: int
    nodes: int
    directory: int
    readiness: int
    metrics: int


def share_connections(
    descriptors: int, memory_bytes: int, *, has_tls: bool
) -> ConnectionShares:
    """Returns the shares of a process.

    Args:
        descriptors: Most descriptors that it may have open.
        memory_bytes: Its memory.
        has_tls: Whether callers use TLS.
    """
    sockets = descriptors - min(FILE_DESCRIPTORS, descriptors // 2)
    conn_bytes = CONNECTION_BYTES + (TLS_BYTES if has_tls else 0)
    fitting = memory_bytes // MEMORY_DIVISOR // conn_bytes
    platform = _part(sockets, PLATFORM_SHARE)
    return ConnectionShares(
        min(_part(sockets, CALLERS_SHARE), max(fitting, MIN_CONNECTIONS)),
        _part(sockets, NODES_SHARE),
        platform,
        platform,
        platform,
    )


def most_descriptors(setting: int | None) -> int:
    """Returns how many descriptors the process may open.

    Args:
        setting: Number in the settings; None for what the system allows.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_DESCRIPTORS
    return min(allowed, setting or MAX_DESCRIPTORS)


def _part(sockets: int, share: float) -> int:
    return max(int(sockets * share), MIN_CONNECTIONS)
