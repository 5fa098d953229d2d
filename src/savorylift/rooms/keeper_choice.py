"""Which node keeps the room of a service's engines.

Rendezvous hashing chooses it among the live nodes, so that all nodes that
hear the same others choose alike.
"""

import time
from collections.abc import Callable

from savorylift.fleet.membership import Membership
from savorylift.rendezvous import rank

# In a smaller fleet the nodes' messages are as good as a keeper.
MIN_NODES = 17
# For how long the choice is used before it is worked out again.
CACHE_S = 0.5


class KeeperChoice:
    """Chooses the keepers of all services."""

    def __init__(
        self,
        ip: str,
        membership: Membership,
        is_leaving: Callable[[], bool],
        *,
        is_enabled: bool,
    ) -> None:
        """Creates a choice that knows no other node yet.

        Args:
            ip: This node's own address.
            membership: The other nodes.
            is_leaving: Whether this node is draining.
            is_enabled: Whether keepers are used at all.
        """
        self._ip = ip
        self._membership = membership
        self._is_leaving = is_leaving
        self._is_enabled = is_enabled
        self._candidates: frozenset[str] = frozenset()
        # Monotonic time at which the candidates last changed.
        self.changed_s = time.monotonic()
        self._keepers: dict[str, str] = {}
        self._cached_until_s = 0.0

    @property
    def own_ip(self) -> str:
        """This node's own address."""
        return self._ip

    def find(self, service: str) -> str | None:
        """Returns the address of a service's keeper; None if there is none."""
        if not self._is_enabled:
            return None
        self.refresh()
        if len(self._candidates) < MIN_NODES:
            return None
        if service not in self._keepers:
            self._keepers[service] = rank(service, self._candidates)[0]
        return self._keepers[service]

    def is_keeper(self, service: str) -> bool:
        """Whether this node keeps the room of a service."""
        return self.find(service) == self._ip

    def refresh(self) -> None:
        """Notices changes of the nodes; to be called periodically, too."""
        now_s = time.monotonic()
        if now_s < self._cached_until_s:
            return
        self._cached_until_s = now_s + CACHE_S
        states = [p.state for p in self._membership.heard_peers(now_s)]
        ips = {s.ip for s in states if s.is_ready and not s.is_leaving}
        if not self._is_leaving():
            ips.add(self._ip)
        if ips != self._candidates:
            self._candidates = frozenset(ips)
            self._keepers.clear()
            self.changed_s = now_s
