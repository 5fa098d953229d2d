"""Where other nodes listen, as the roster says."""

from prometheus_client import CollectorRegistry

from savorylift.identity import NodeRef
from savorylift.peers.counters import LinkCounters
from savorylift.peers.options import LinkOptions
from savorylift.peers.view import RosterSource


def roster_link_options(
    own: NodeRef,
    host: str,
    port: int,
    roster: RosterSource,
    registry: CollectorRegistry,
) -> LinkOptions:
    """Returns options of a link that finds other nodes on the roster."""
    return LinkOptions(
        own=own,
        host=host,
        port=port,
        address_of=lambda node: find_address(roster, node),
        is_ended=lambda node: node in roster.current().ended,
        counters=LinkCounters(registry),
    )


def find_address(roster: RosterSource, node: NodeRef) -> str | None:
    """Returns the `ip:port` of a node's listener for other nodes, if known.

    A node without an incarnation is a seed, named by its address.
    """
    if not node.incarnation:
        return node.vm
    view = roster.current()
    if not view.is_member(node):
        return None
    return view.members[node.vm].info.peer_address
