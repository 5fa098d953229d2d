"""Tells callers which nodes to connect to."""

import time

from savorylift.fleet.membership import Membership
from savorylift.fleet.store_view import StoreView
from savorylift.fleet.transport_sources import StateBuilder
from savorylift.platform.directory import Addresses, Lookup
from savorylift.routing.configuration import home_regions

# TTL of the node addresses given to callers, who keep them for up to three
# times as long. A short TTL lets them follow changes of the fleet within
# seconds.
MAX_ENTRY_TTL_S = 1.5


class CallerDirectory:
    """Addresses of the nodes that accept callers."""

    def __init__(
        self,
        membership: Membership,
        store_view: StoreView,
        make_state: StateBuilder,
        entry_ttl_s: float,
    ) -> None:
        """Creates a directory.

        Args:
            membership: The other nodes.
            store_view: Has the configuration with the regions of routes.
            make_state: Builds the state of this node.
            entry_ttl_s: For how long callers may keep what they are told.
        """
        self._membership = membership
        self._store_view = store_view
        self._make_state = make_state
        self._entry_ttl_s = entry_ttl_s

    def resolve(self, lookup: Lookup) -> Addresses:
        """Returns the addresses for a caller."""
        found = self._membership.caller_addresses(
            self._make_state(include_peers=False),
            lookup.region,
            self._home_regions(lookup.host),
            time.monotonic(),
        )
        return Addresses(found, self._entry_ttl_s)

    def all_addresses(self) -> list[str]:
        """Returns the addresses for callers that name no region."""
        return self._membership.caller_addresses(
            self._make_state(include_peers=False), None, (), time.monotonic()
        )

    def _home_regions(self, host: str) -> frozenset[str]:
        cfg = self._store_view.configuration
        return frozenset() if cfg is None else home_regions(cfg, host)
