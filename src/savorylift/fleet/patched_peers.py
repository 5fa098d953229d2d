"""Which nodes can be sent patches of this node's state."""

from collections.abc import Callable, Iterable

from savorylift.fleet.size_scaling import SMALL_FLEET_NODES


class PatchedPeers:
    """The nodes that have the base of this node's patches."""

    def __init__(self, knows_patches: Callable[[str], bool]) -> None:
        """Starts without a base.

        Args:
            knows_patches: Returns whether the node at an address takes patches
                of states.
        """
        self._knows_patches = knows_patches
        # Addresses that the base was sent to.
        self._based: frozenset[str] = frozenset()

    def begin(self, ips: Iterable[str]) -> None:
        """Records to whom a new base was sent."""
        self._based = frozenset(ips)

    def forget(self, ip: str) -> None:
        """Records that a node has no base any more."""
        self._based -= {ip}

    def find(self, live: tuple[str, ...]) -> set[str]:
        """Returns which of the live nodes get patches."""
        if len(live) < SMALL_FLEET_NODES:
            return set()
        return {
            ip for ip in live if ip in self._based and self._knows_patches(ip)
        }
