"""How many connections each listener of a node may have.

Protects a node from crowds of callers: they can't take the descriptors that it
needs for servers, the store and other nodes, and no listener those of another.
"""

import resource
from typing import NamedTuple

# Descriptors that the platform reserves for files; at most half of all.
FILE_DESCRIPTORS = 200
# Bound for systems that allow more than a node can use.
MAX_DESCRIPTORS = 4096
# Parts of the rest, by listener. What is left is for connections that the node
# opens itself.
CALLERS_SHARE = 0.45
NODES_SHARE = 0.1
# That of the directory, the readiness checks and the metrics, each.
PLATFORM_SHARE = 1 / 32
MIN_CONNECTIONS = 8
# What a connection has in its buffers at most.
CONNECTION_BYTES = 32_768
# What TLS adds to a connection's buffers: those of its input, of one record and
# of its output (`wire/tls_buffers.py`), and the state of its library.
TLS_BYTES = 163_840
# Callers' connections have at least the memory divided by this.
CALLERS_MEMORY_DIVISOR = 2


class ConnectionShares(NamedTuple):
    """How many connections each listener may have.

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
    """Returns the shares of a process's listeners.

    Args:
        descriptors: Most descriptors that it may have open.
        memory_bytes: Memory for the buffers of all their connections.
        has_tls: Whether callers use TLS.
    """
    sockets = descriptors - min(FILE_DESCRIPTORS, descriptors // 2)
    conn_bytes = CONNECTION_BYTES + (TLS_BYTES if has_tls else 0)
    platform = _part(sockets, PLATFORM_SHARE)
    nodes = _part(sockets, NODES_SHARE)
    others_bytes = (nodes + 3 * platform) * CONNECTION_BYTES
    callers_bytes = max(
        memory_bytes - others_bytes, memory_bytes // CALLERS_MEMORY_DIVISOR
    )
    fitting = max(callers_bytes // conn_bytes, MIN_CONNECTIONS)
    return ConnectionShares(
        min(_part(sockets, CALLERS_SHARE), fitting),
        nodes,
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
