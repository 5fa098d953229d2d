"""Which servers of a service are in service, by their software version."""

import math

from savorylift.rendezvous import rank

# While the share is smaller than this, it goes to few of the new servers, so
# that each has about as much to do as it would have with all requests.
FULL_SPREAD_SHARE = 0.25
SPREAD_FACTOR = 2.0
MIN_SPREAD_SERVERS = 2


class ServiceVersions:
    """The servers of a service that is rolled out.

    Attributes:
        new_ids: Servers of the new version.
        has_old: Whether there is one of another version that isn't banned.
    """

    def __init__(
        self, service: str, new_ids: tuple[str, ...], *, has_old: bool
    ) -> None:
        """Describes the servers as they are now."""
        self.new_ids = new_ids
        self.has_old = has_old
        self._service = service
        self._spread_by_share: dict[float, frozenset[str]] = {}

    def spread(self, share: float) -> frozenset[str] | None:
        """Returns the new servers that get a share; None for all."""
        if share >= FULL_SPREAD_SHARE:
            return None
        spread = self._spread_by_share.get(share)
        if spread is None:
            wanted = math.ceil(SPREAD_FACTOR * share * len(self.new_ids))
            count = max(wanted, MIN_SPREAD_SERVERS)
            spread = frozenset(rank(self._service, self.new_ids)[:count])
            self._spread_by_share[share] = spread
        return spread
