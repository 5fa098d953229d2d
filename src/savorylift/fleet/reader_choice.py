"""Which nodes read the store, and how old their readings are."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, Protocol

from savorylift.fleet.membership import Membership, Peer
from savorylift.fleet.recent_readers import RECENT_S
from savorylift.rendezvous import rank

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


# Returns the age of a node's reading, as the node said it.
ReadAge = Callable[[Peer], float | None]


class ReaderChoice:
    """Chooses the store's readers among the nodes that this one hears.

    The order of the nodes is kept until they change, so that a choice looks at
    the first few of them only.
    """

    def __init__(self, members: Membership) -> None:
        """Chooses among this node and the live ones of `members`."""
        self._members = members
        self._changes = -1
        self._own_node = ""
        self._order: list[str] = []
        # Addresses by the node's name: after a restart at another address, the
        # former one may still be heard.
        self._ips: dict[str, list[str]] = {}

    def find_rank(self, own: Candidate, now_s: float) -> int | None:
        """Returns which of the store's readers this node is.

        Readers are in different failure domains where possible. Nodes that
        are draining or whose calls to the store failed recently are avoided.

        Returns:
            0 for the first reader, 1 for the one that stands by, None for all
            other nodes.
        """
        self._update_order(own.node, now_s)
        readers = (
            self._find_readers(own, now_s, _is_healthy)
            or self._find_readers(own, now_s, _is_staying)
            or self._find_readers(own, now_s, _is_any)
        )
        return readers.index(own.node) if own.node in readers else None

    def _update_order(self, own_node: str, now_s: float) -> None:
        changes = self._members.count_changes(now_s)
        if changes == self._changes and own_node == self._own_node:
            return
        self._changes, self._own_node = changes, own_node
        self._ips = {own_node: []}
        for peer in self._members.live_peers(now_s):
            self._ips.setdefault(peer.state.node, []).append(peer.state.ip)
        self._order = rank(READERS_KEY, self._ips)

    def _find_readers(
        self,
        own: Candidate,
        now_s: float,
        may_read: Callable[[Candidate], bool],
    ) -> list[str]:
        """Returns the names of up to two nodes, the first reader first."""
        first: Candidate | None = None
        second: Candidate | None = None
        for candidate in self._candidates(own, now_s):
            if not may_read(candidate):
                continue
            if first is None:
                first = candidate
            elif candidate.failure_domain != first.failure_domain:
                return [first.node, candidate.node]
            elif second is None:
                second = candidate
        return [c.node for c in (first, second) if c is not None]

    def _candidates(self, own: Candidate, now_s: float) -> Iterator[Candidate]:
        """Yields the nodes that are heard often enough, in their order."""
        for node in self._order:
            found = own if node == own.node else None
            for ip in self._ips[node]:
                peer = self._members.find(ip)
                if peer is not None and _is_heard_as_reader(peer, now_s):
                    found = peer.state
            if found is not None:
                yield found


def reading_age_s(members: Membership, now_s: float) -> float | None:
    """Returns the age of the newest reading of the store by a live peer."""
    return _newest_age_s(members, _reading_age_s, now_s)


def servers_reading_age_s(members: Membership, now_s: float) -> float | None:
    """Returns the same for the servers' entries alone.

    The reading of builds that don't tell them apart counts as a whole.
    """
    return _newest_age_s(members, _servers_reading_age_s, now_s)


def _newest_age_s(
    members: Membership, read_age: ReadAge, now_s: float
) -> float | None:
    """Returns the age of the newest reading that live peers said.

    Only recent readers are looked at, if one of them has a recent reading.
    """
    age_s = _least_age_s(members.live_recent_readers(now_s), read_age, now_s)
    if age_s is not None and age_s < RECENT_S:
        return age_s
    return _least_age_s(members.live_peers(now_s), read_age, now_s)


def _least_age_s(
    peers: Iterable[Peer], read_age: ReadAge, now_s: float
) -> float | None:
    ages = []
    for peer in peers:
        age_s = read_age(peer)
        if age_s is not None:
            ages.append(age_s + now_s - peer.received_s)
    return min(ages, default=None)


def _reading_age_s(peer: Peer) -> float | None:
    return peer.state.reading_age_s


def _servers_reading_age_s(peer: Peer) -> float | None:
    age_s = peer.state.servers_reading_age_s
    return peer.state.reading_age_s if age_s is None else age_s


def _is_heard_as_reader(peer: Peer, now_s: float) -> bool:
    """Whether a node is heard often enough to rely on its reading."""
    timeout_s = READER_TIMEOUT_INTERVALS * peer.state.interval_s
    return now_s - peer.heard_s <= timeout_s + READER_TIMEOUT_MARGIN_S


def _is_healthy(candidate: Candidate) -> bool:
    return not candidate.is_leaving and not candidate.has_store_fault


def _is_staying(candidate: Candidate) -> bool:
    return not candidate.is_leaving


def _is_any(_: Candidate) -> bool:
    return True
