"""Which nodes read the store, and how old their readings are."""

from typing import NamedTuple, Protocol

from savorylift.fleet.membership import Membership, Peer
from savorylift.rendezvous import rank

READER_COUNT = 2
# Another node takes over from a reader that is silent for this many intervals
# and this long. A node too many that reads does no harm.
READER_TIMEOUT_INTERVALS = 2
READER_TIMEOUT_MARGIN_S = 0.3
# Rendezvous hashing key for the choice of the store readers.
READERS_KEY = "store"


class Candidate(Protocol):
    """What the choice of the readers depends on; a `NodeState` has it."""

    @property
    def node(self) -> str:
        """Name of the node's VM."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of the node."""

    @property
    def is_leaving(self) -> bool:
        """Whether the node is draining."""

    @property
    def has_store_fault(self) -> bool:
        """Whether a call to the store failed recently."""


class OwnCandidate(NamedTuple):
    """This node as a `Candidate`, without the cost of a whole state."""

    node: str
    failure_domain: str
    is_leaving: bool
    has_store_fault: bool


def is_reader(members: Membership, own_state: Candidate, now_s: float) -> bool:
    """Whether this node is one of those that read the store."""
    return reader_rank(members, own_state, now_s) is not None


def reader_rank(
    members: Membership, own_state: Candidate, now_s: float
) -> int | None:
    """Returns which of the store's readers this node is.

    Readers are in different failure domains where possible. Nodes that
    are draining or whose calls to the store failed recently are avoided.

    Returns:
        0 for the first reader, 1 for the one that stands by, None for all
        other nodes.
    """
    states: dict[str, Candidate] = {own_state.node: own_state}
    for peer in members.live_peers(now_s):
        if _is_heard_as_reader(peer, now_s):
            states[peer.state.node] = peer.state
    staying = {n: s for n, s in states.items() if not s.is_leaving}
    healthy = {n: s for n, s in staying.items() if not s.has_store_fault}
    order = rank(READERS_KEY, healthy or staying or states)
    readers = order[:1]
    domains = {states[name].failure_domain for name in readers}
    for name in order[1:]:
        if states[name].failure_domain not in domains:
            readers.append(name)
            break
    else:
        readers = order[:READER_COUNT]
    node = own_state.node
    return readers.index(node) if node in readers else None


def reading_age_s(members: Membership, now_s: float) -> float | None:
    """Returns the age of the newest reading of the store by a live peer."""
    ages = [
        peer.state.reading_age_s + now_s - peer.received_s
        for peer in members.live_peers(now_s)
        if peer.state.reading_age_s is not None
    ]
    return min(ages, default=None)


def servers_reading_age_s(members: Membership, now_s: float) -> float | None:
    """Returns the same for the servers' entries alone.

    The reading of builds that don't tell them apart counts as a whole.
    """
    ages = []
    for peer in members.live_peers(now_s):
        age_s = peer.state.servers_reading_age_s
        if age_s is None:
            age_s = peer.state.reading_age_s
        if age_s is not None:
            ages.append(age_s + now_s - peer.received_s)
    return min(ages, default=None)


def _is_heard_as_reader(peer: Peer, now_s: float) -> bool:
    """Whether a node is heard often enough to rely on its reading."""
    timeout_s = READER_TIMEOUT_INTERVALS * peer.state.interval_s
    return now_s - peer.heard_s <= timeout_s + READER_TIMEOUT_MARGIN_S
