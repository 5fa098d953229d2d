"""What of a VM's memory callers can make a node hold.

Together with what the process takes by itself, it fits the VM, so that no crowd
ends the process.
"""

from typing import NamedTuple

# What the process takes by itself, without callers.
PROCESS_BYTES = 41_000_000
# The part of bodies, and the least for connections.
BODIES_DIVISOR = 3
LEAST_CONNECTIONS_DIVISOR = 7


class MemoryShares(NamedTuple):
    """Parts of a VM's memory, in bytes.

    Attributes:
        bodies: For heads, bodies and unread answers.
        connections: For the buffers of the connections of all listeners.
    """

    bodies: int
    connections: int


def share_memory(memory_bytes: int) -> MemoryShares:
    """Returns the parts of a VM's memory.

    Args:
        memory_bytes: Memory of the VM.
    """
    bodies = memory_bytes // BODIES_DIVISOR
    left = memory_bytes - PROCESS_BYTES - bodies
    least = memory_bytes // LEAST_CONNECTIONS_DIVISOR
    return MemoryShares(bodies, max(left, least))
