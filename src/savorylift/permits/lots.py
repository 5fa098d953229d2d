"""Which node keeps which part of a backend server's limit."""

from savorylift.identity import NodeRef
from savorylift.peers.view import Member, RosterView
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


def keepers_of(roster: RosterView, server: str, lots: int) -> list[NodeRef]:
    """Returns the keeper of each lot, spread over failure domains.

    The result depends on the roster and the arguments alone; it is empty if
    every member is leaving.
    """
    by_domain = _nodes_by_domain(roster)
    keepers: list[NodeRef] = []
    used_domains: set[str] = set()
    for index in range(lots if by_domain else 0):
        free = by_domain.keys() - used_domains or by_domain.keys()
        domain = rank(f"{server}#{index}", free)[0]
        used_domains.add(domain)
        keepers.append(_pick(f"{server}#{index}", by_domain[domain], keepers))
    return keepers


def lots_of(server: str, count: int) -> list[Lot]:
    """Returns the lots of a backend server."""
    return [Lot(server, index) for index in range(count)]


def _nodes_by_domain(roster: RosterView) -> dict[str, list[Member]]:
    by_domain: dict[str, list[Member]] = {}
    for member in roster.members.values():
        if not member.leaving:
            domain = member.info.failure_domain
            by_domain.setdefault(domain, []).append(member)
    return by_domain


def _pick(key: str, members: list[Member], used: list[NodeRef]) -> NodeRef:
    refs = {member.info.ref.vm: member.info.ref for member in members}
    fresh = {vm: ref for vm, ref in refs.items() if ref not in used} or refs
    return fresh[rank(key, fresh)[0]]
