"""Earlier processes of nodes, whose late messages are dropped."""

import collections

from savorylift.fleet.state import NodeState

# Kept for each node.
MAX_INCARNATIONS = 8


class RetiredIncarnations:
    """Incarnations of each node before its present one."""

    def __init__(self) -> None:
        """Starts without any."""
        self._by_ip: dict[str, collections.deque[int]] = {}

    def add(self, state: NodeState) -> None:
        """Records that a node has started again since a state."""
        retired = self._by_ip.setdefault(
            state.ip, collections.deque(maxlen=MAX_INCARNATIONS)
        )
        retired.append(state.incarnation)

    def has(self, ip: str, incarnation: int) -> bool:
        """Whether an incarnation is an earlier one of a node."""
        return incarnation in self._by_ip.get(ip, ())

    def forget(self, ip: str) -> None:
        """Drops those of a node."""
        self._by_ip.pop(ip, None)
