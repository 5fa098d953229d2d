"""Which other nodes have read the store lately."""

from collections.abc import Iterable

from savorylift.fleet.state import NodeState

# A node whose reading was older than this in its last message isn't recent.
RECENT_S = 10.0


class RecentReaders:
    """Addresses of the few nodes whose readings can be the newest."""

    def __init__(self) -> None:
        """Starts without any node."""
        self._ips: set[str] = set()

    @property
    def ips(self) -> Iterable[str]:
        """Addresses of the nodes."""
        return self._ips

    def hear(self, ip: str, state: NodeState) -> None:
        """Adds or removes a node by what it says of its readings."""
        if _is_recent(state.reading_age_s) or _is_recent(
            state.servers_reading_age_s
        ):
            self._ips.add(ip)
        else:
            self.forget(ip)

    def forget(self, ip: str) -> None:
        """Forgets a node that is gone."""
        self._ips.discard(ip)


def _is_recent(age_s: float | None) -> bool:
    return age_s is not None and age_s < RECENT_S
