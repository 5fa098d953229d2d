"""Which node keeps which part of a backend server's limit."""

from collections.abc import Mapping
from typing import NamedTuple

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


class Changes(NamedTuple):
    """What differs between two rosters with the same failure domains.

    Attributes:
        added: VMs with a new incarnation, by failure domain.
        gone: Incarnations that are no longer chosen from.
    """

    added: Mapping[str, frozenset[str]]
    gone: frozenset[NodeRef]


class KeeperChoice:
    """Chooses keepers by one roster, spread over failure domains."""

    def __init__(self, roster: RosterView) -> None:
        """Groups the members that aren't leaving."""
        self._by_domain: dict[str, dict[str, NodeRef]] = {}
        self._domain_of: dict[str, str] = {}
        for member in roster.members.values():
            if not member.leaving:
                info = member.info
                domain = self._by_domain.setdefault(info.failure_domain, {})
                domain[info.ref.vm] = info.ref
                self._domain_of[info.ref.vm] = info.failure_domain

    def changes_since(self, old: "KeeperChoice") -> Changes | None:
        """Returns what differs; None if the failure domains do."""
        if self._by_domain.keys() != old._by_domain.keys():
            return None
        added = {
            domain: frozenset(
                dict(refs.items() - old._by_domain[domain].items())
            )
            for domain, refs in self._by_domain.items()
        }
        gone = frozenset(old._refs() - self._refs())
        return Changes(added, gone)

    def may_differ(
        self, server: str, keepers: list[NodeRef], changes: Changes
    ) -> bool:
        """Returns False if `keepers`, chosen before, are chosen still."""
        if len(set(keepers)) < len(keepers):
            return True  # a new node may take one of the places
        return any(
            keeper in changes.gone
            or self._is_beaten(f"{server}#{index}", keeper.vm, changes)
            for index, keeper in enumerate(keepers)
        )

    def _is_beaten(self, key: str, vm: str, changes: Changes) -> bool:
        rivals = changes.added[self._domain_of[vm]]
        return bool(rivals) and rank(key, {*rivals, vm})[0] != vm

    def _refs(self) -> set[NodeRef]:
        return {
            ref for refs in self._by_domain.values() for ref in refs.values()
        }

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
