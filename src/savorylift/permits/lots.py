"""Which node keeps which part of a backend server's limit."""

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView
from savorylift.permits.messages import Lot
from savorylift.rendezvous import rank

MAX_KEEPERS = 3


def lot_count(cold_limit: int) -> int:
    """Returns the number of lots; each has at least one cold place."""
    return max(1, min(MAX_KEEPERS, cold_limit))


def split(limit: int, lots: int, index: int) -> int:
    """Returns the whole places of `limit` in lot `index` of `lots`."""
    if index >= lots:
        return 0
    return limit // lots + (1 if index < limit % lots else 0)


def lots_of(server: str, count: int) -> list[Lot]:
    """Returns the lots of a backend server."""
    return [Lot(server, index) for index in range(count)]


class KeeperChoice:
    """Chooses keepers by one roster, spread over failure domains."""

    def __init__(self, roster: RosterView) -> None:
        """Groups the members that aren't leaving."""
        self._by_domain: dict[str, dict[str, NodeRef]] = {}
        for member in roster.members.values():
            if not member.leaving:
                info = member.info
                domain = self._by_domain.setdefault(info.failure_domain, {})
                domain[info.ref.vm] = info.ref

    def keepers_of(self, server: str, lots: int) -> list[NodeRef]:
        """Returns the keeper of each lot; none if every member is leaving.

        The result depends on the roster and the arguments alone.
        """
        keepers: list[NodeRef] = []
        used_domains: set[str] = set()
        for index in range(lots if self._by_domain else 0):
            free = self._by_domain.keys() - used_domains or self._by_domain
            domain = rank(f"{server}#{index}", free)[0]
            used_domains.add(domain)
            refs = self._by_domain[domain]
            fresh = {vm: ref for vm, ref in refs.items() if ref not in keepers}
            vm = rank(f"{server}#{index}", fresh or refs)[0]
            keepers.append(refs[vm])
        return keepers
