"""Tracks live nodes, their shares of limits and callers' addresses."""

import collections
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from savorylift.backends.load import Load
from savorylift.fleet.peer_loads import PeerLoads
from savorylift.fleet.running_clock import RunningClock
from savorylift.fleet.sharing_nodes import SHARING_TIMEOUT_S, SharingNodes
from savorylift.fleet.state import NodeState
from savorylift.placement.move_order import PlannedMove

# A node is live for this long after its last message: five messages in a row
# are missing by then.
LIVENESS_TIMEOUT_S = 1.0
# A node with a longer message interval is live for this many intervals.
LIVENESS_TIMEOUT_INTERVALS = 4
# Callers are sent to no node that has been silent for longer, whatever its
# interval: it may have ended.
CALLERS_TIMEOUT_S = 5.0
# The address of a silent node is dropped after this time.
FORGET_TIMEOUT_S = 60.0
# A node that hears no majority counts the silent ones for this long: it may be
# cut off from them.
MINORITY_FORGET_TIMEOUT_S = 600.0
# Callers are kept from nodes that don't reach the servers as long as at least
# this share of the nodes remains for them.
MIN_REACHING_SHARE = 0.5
# Earlier incarnations kept for each node, to drop their late messages.
MAX_RETIRED_INCARNATIONS = 8


class Peer(NamedTuple):
    """Another node's newest state message.

    Attributes:
        state: The message.
        received_s: Monotonic time at which it was received.
        running_s: The same on the clock that stands still while this process
            does.
    """

    state: NodeState
    received_s: float
    running_s: float

    @property
    def live_until_s(self) -> float:
        """Time on that clock until which the node counts as live."""
        timeout_s = LIVENESS_TIMEOUT_INTERVALS * self.state.interval_s
        return self.running_s + max(LIVENESS_TIMEOUT_S, timeout_s)


class Membership:
    """The other nodes, from the messages that this node receives."""

    def __init__(self, ip: str, seeds: Iterable[str]) -> None:
        """Starts with the addresses of the seeds.

        Args:
            ip: This node's own address.
            seeds: Addresses of other nodes; may be stale.
        """
        self._ip = ip
        self._peers: dict[str, Peer] = {}
        # Monotonic time at which each address was added or last heard from;
        # 0 for a seed that was never heard from, which is not dropped.
        self._addresses = {seed: 0.0 for seed in seeds if seed != ip}
        self._retired: dict[str, collections.deque[int]] = {}
        self._clock = RunningClock()
        self._sharing = SharingNodes(ip)
        self._loads = PeerLoads()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all known nodes, live or silent."""
        return tuple(self._addresses)

    def note_running(self, now_s: float) -> None:
        """Records that this process runs; to be called periodically.

        Others aren't silent while it doesn't.
        """
        self._clock.tick(now_s)

    def add_address(self, ip: str, now_s: float) -> None:
        """Adds the address of a node that may exist."""
        if ip != self._ip:
            self._addresses.setdefault(ip, now_s)

    def update_peer(self, state: NodeState, now_s: float) -> bool:
        """Applies a state message unless it is outdated.

        Returns:
            Whether the node is new or was restarted.
        """
        if state.ip == self._ip:
            return False
        last = self._peers.get(state.ip)
        retired = self._retired.get(state.ip, ())
        if state.incarnation in retired:
            return False
        is_new = last is None or last.state.incarnation != state.incarnation
        if last is not None and is_new:
            self._retire(last.state)
        if not is_new and last and state.sequence <= last.state.sequence:
            return False
        peer = Peer(state, now_s, self._clock.read(now_s))
        self._peers[state.ip] = peer
        self._loads.hear(state.ip, state.loads, peer.live_until_s)
        self._addresses[state.ip] = now_s
        self._sharing.hear(state.ip, now_s)
        for ip in state.peers:
            self.add_address(ip, now_s)
        return is_new

    def forget_silent(self, now_s: float) -> None:
        """Drops nodes that have been silent for FORGET_TIMEOUT_S.

        A node that hears no majority still counts them, so that it doesn't
        take itself for the whole fleet.
        """
        for ip, since_s in list(self._addresses.items()):
            if since_s and now_s - since_s > FORGET_TIMEOUT_S:
                del self._addresses[ip]
                self._retired.pop(ip, None)
        timeout_s = FORGET_TIMEOUT_S
        if self._is_minority(now_s):
            timeout_s = MINORITY_FORGET_TIMEOUT_S
        for ip, peer in list(self._peers.items()):
            if now_s - peer.received_s > timeout_s:
                del self._peers[ip]
                self._loads.forget(ip)

    def live_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the nodes whose last message is recent."""
        running_s = self._clock.read(now_s)
        for peer in self._peers.values():
            if running_s <= peer.live_until_s:
                yield peer

    def count_live_nodes(self, now_s: float) -> int:
        """Returns how many nodes, including this one, are live."""
        return 1 + self._loads.count_nodes(self._clock.read(now_s))

    def count_sharing_nodes(self, now_s: float) -> int:
        """Returns how many nodes, including this one, share a limit."""
        return self._sharing.count(now_s)

    def live_share(self, now_s: float) -> float:
        """Returns the share of the fleet's nodes that this node hears.

        It counts itself. Silent nodes that were not leaving may be alive, and
        just cut off from this node.
        """
        live = self.count_live_nodes(now_s)
        silent = self._silent_peers(now_s)
        if not self._is_minority(now_s):
            oldest_s = now_s - SHARING_TIMEOUT_S
            silent = [p for p in silent if p.received_s > oldest_s]
        known = live + len(silent)
        if live == 1:
            # It may have been cut off since it started.
            known = max(known, 1 + len(self._addresses))
        return live / known

    def own_share(self, server_id: str, slots: int, now_s: float) -> int:
        """Returns how many of a server's slots this node may use.

        Nodes that see the same members never claim a slot twice.

        Args:
            server_id: Identifier of the server.
            slots: Requests that the server accepts from all nodes.
            now_s: Monotonic time.
        """
        return self._sharing.own_share(server_id, slots, now_s)

    def loads(self, now_s: float) -> Mapping[str, Load]:
        """Returns the other nodes' load on each backend server."""
        return self._loads.totals(self._clock.read(now_s))

    def moves(self, now_s: float) -> Iterator[PlannedMove]:
        """Yields runs that other nodes plan to move off draining engines."""
        for peer in self.live_peers(now_s):
            yield from peer.state.moves

    def find_reaching(
        self, service: str, regions: Collection[str] | None, now_s: float
    ) -> list[str]:
        """Returns the addresses of nodes that may serve a service's requests.

        They are ready, stay, and reach its servers as far as they have said.

        Args:
            service: Name of the service.
            regions: Regions that the requests must stay in; None for any.
            now_s: Monotonic time.
        """
        states = (peer.state for peer in self.live_peers(now_s))
        return [
            state.ip
            for state in states
            if state.is_ready
            and not state.is_leaving
            and service not in state.unreached_services
            and (regions is None or state.region in regions)
        ]

    def caller_addresses(
        self,
        own_state: NodeState,
        region: str | None,
        home_regions: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Returns the addresses of the nodes that callers may connect to.

        The list is never empty. Nodes in the caller's region are preferred,
        then those in `home_regions`, then any others. Nodes that don't reach
        the servers are left out unless too few remain; those that have been
        silent for CALLERS_TIMEOUT_S always.

        Args:
            own_state: State of this node.
            region: Region of the caller; None for any node.
            home_regions: Regions that the caller's requests may be bound to.
            now_s: Monotonic time.
        """
        oldest_s = self._clock.read(now_s) - CALLERS_TIMEOUT_S
        live = self.live_peers(now_s)
        heard = (p.state for p in live if p.running_s >= oldest_s)
        states = [own_state, *heard]
        serving = [s for s in states if s.is_ready and not s.is_leaving]
        staying = [s for s in states if not s.is_leaving]
        usable = serving or staying or states
        in_region = [s for s in usable if region in (None, s.region)]
        in_home_regions = [s for s in usable if s.region in home_regions]
        found = in_region or in_home_regions or usable
        reaching = [s for s in found if not s.unreached_services]
        if len(reaching) >= MIN_REACHING_SHARE * len(found):
            found = reaching
        return [state.caller_address for state in found]

    def _is_minority(self, now_s: float) -> bool:
        """Whether no more nodes are live than are silent."""
        live = self.count_live_nodes(now_s)
        return len(self._silent_peers(now_s)) >= live

    def _silent_peers(self, now_s: float) -> list[Peer]:
        live = {peer.state.ip for peer in self.live_peers(now_s)}
        return [
            peer
            for ip, peer in self._peers.items()
            if ip not in live and not peer.state.is_leaving
        ]

    def _retire(self, state: NodeState) -> None:
        retired = self._retired.setdefault(
            state.ip, collections.deque(maxlen=MAX_RETIRED_INCARNATIONS)
        )
        retired.append(state.incarnation)
