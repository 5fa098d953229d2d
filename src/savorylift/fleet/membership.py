"""Tracks live nodes, their shares of limits and callers' addresses."""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

from savorylift.backends.load import Load
from savorylift.fleet.caller_choice import find_usable
from savorylift.fleet.peer import LIVENESS_TIMEOUT_S, PatchOutcome, Peer
from savorylift.fleet.peer_loads import PeerLoads
from savorylift.fleet.pulse_messages import Pulse, StatePatch
from savorylift.fleet.recent_readers import RecentReaders
from savorylift.fleet.retired_incarnations import RetiredIncarnations
from savorylift.fleet.running_clock import RunningClock
from savorylift.fleet.sharing_nodes import SHARING_TIMEOUT_S, SharingNodes
from savorylift.fleet.state import NodeState
from savorylift.fleet.state_patches import apply_patch
from savorylift.moves.move_order import PlannedMove

# Callers are sent to no node that has been silent for longer, whatever its
# interval: it may have ended.
CALLERS_TIMEOUT_S = 5.0
# The address of a silent node is dropped after this time.
FORGET_TIMEOUT_S = 60.0
# A node that hears no majority counts the silent ones for this long: it may be
# cut off from them.
MINORITY_FORGET_TIMEOUT_S = 600.0

__all__ = ["LIVENESS_TIMEOUT_S", "Membership", "Peer"]


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
        self._retired = RetiredIncarnations()
        self._heard_s = 0.0
        self._clock = RunningClock()
        self._sharing = SharingNodes(ip)
        self._loads = PeerLoads()
        self._readers = RecentReaders()
        self._changes = 0
        # Called before peers' states are used, to apply messages that waited.
        self.on_read: Callable[[], None] = lambda: None

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all known nodes, live or silent."""
        return tuple(self._addresses)

    def note_running(self, now_s: float) -> None:
        """Records that this process runs: only then are peers silent."""
        self._clock.tick(now_s)

    def add_address(self, ip: str, now_s: float) -> None:
        """Adds the address of a node that may exist."""
        if ip != self._ip:
            self._addresses.setdefault(ip, now_s)

    def share_with_known(self, now_s: float) -> None:
        """Counts all known nodes for shares of limits, as if they were heard.

        To be called again and again by a node that can't hear any.
        """
        for ip in self._addresses:
            self._sharing.hear(ip, now_s)

    def find(self, ip: str) -> Peer | None:
        """Returns a node that is known, live or silent."""
        return self._peers.get(ip)

    def silent_s(self, peer: Peer, now_s: float) -> float:
        """Returns for how long a node has been silent while this one ran."""
        return self._clock.read(now_s) - peer.running_s

    def has_heard_any(self, since_s: float) -> bool:
        """Whether any node was heard since a monotonic time."""
        return self._heard_s >= since_s

    def update_peer(self, state: NodeState, now_s: float) -> bool:
        """Applies a state message unless it is outdated.

        Returns:
            Whether the node is new or was restarted.
        """
        if state.ip == self._ip:
            return False
        last = self._peers.get(state.ip)
        if self._retired.has(state.ip, state.incarnation):
            return False
        is_new = last is None or last.state.incarnation != state.incarnation
        if last is not None and is_new:
            self._retired.add(last.state)
        if not is_new and last and state.sequence <= last.sequence:
            if state.sequence > last.base.sequence:
                # Patches of it have overtaken it.
                self._peers[state.ip] = last.with_base(state, now_s)
            return False
        running_s = self._clock.read(now_s)
        self._keep(state.ip, Peer.from_whole(state, now_s, running_s))
        for ip in state.peers:
            self.add_address(ip, now_s)
        return is_new

    def hear_patch(
        self, ip: str, patch: StatePatch, now_s: float
    ) -> PatchOutcome:
        """Applies a patch of a node's state unless it is outdated."""
        peer = self._peers.get(ip)
        if peer is None or peer.state.incarnation != patch.incarnation:
            is_retired = self._retired.has(ip, patch.incarnation)
            return PatchOutcome(None, must_ask=not is_retired)
        if patch.sequence <= peer.sequence:
            return PatchOutcome(None, must_ask=False)
        has_state = patch.changed_sequence <= peer.state.sequence
        running_s = self._clock.read(now_s)
        if not has_state and patch.base_sequence == peer.base.sequence:
            state = apply_patch(peer.base, patch, now_s - peer.base_s)
            if state is not None:
                self._keep(ip, peer.with_patch(state, now_s, running_s))
                return PatchOutcome(state, must_ask=False)
        self._keep(ip, peer.touched(patch.sequence, now_s, running_s))
        return PatchOutcome(None, must_ask=not has_state)

    def hear_pulse(self, ip: str, pulse: Pulse, now_s: float) -> bool:
        """Records that a node lives; returns whether it is known."""
        peer = self._peers.get(ip)
        if peer is None or peer.state.incarnation != pulse.incarnation:
            return False
        if pulse.sequence > peer.sequence:
            running_s = self._clock.read(now_s)
            self._keep(ip, peer.touched(pulse.sequence, now_s, running_s))
        return True

    def silence(self, ip: str) -> None:
        """Counts a node as silent until it is heard again."""
        peer = self._peers.get(ip)
        if peer is not None:
            self._peers[ip] = peer._replace(is_silenced=True)
            self._loads.forget(ip)

    def count_changes(self, now_s: float) -> int:
        """Returns a number that grows as nodes come, go, restart or drain."""
        return self._changes + self._loads.count_changes(
            self._clock.read(now_s)
        )

    def _keep(self, ip: str, peer: Peer) -> None:
        last = self._peers.get(ip)
        self._peers[ip] = peer
        if last is None or last.state is not peer.state:
            self._readers.hear(ip, peer.state)
            if last is None or not last.is_same_node(peer.state):
                self._changes += 1
        self._heard_s = peer.heard_s
        self._loads.hear(ip, peer.state.loads, peer.live_until_s)
        self._addresses[ip] = peer.heard_s
        self._sharing.hear(ip, peer.heard_s)

    def forget_silent(self, now_s: float) -> None:
        """Drops nodes that have been silent for FORGET_TIMEOUT_S.

        A node that hears no majority still counts them, so that it doesn't
        take itself for the whole fleet.
        """
        for ip, since_s in list(self._addresses.items()):
            if since_s and now_s - since_s > FORGET_TIMEOUT_S:
                del self._addresses[ip]
                self._retired.forget(ip)
        timeout_s = FORGET_TIMEOUT_S
        if self._is_minority(now_s):
            timeout_s = MINORITY_FORGET_TIMEOUT_S
        for ip, peer in list(self._peers.items()):
            if now_s - peer.heard_s > timeout_s:
                del self._peers[ip]
                self._loads.forget(ip)
                self._readers.forget(ip)

    def live_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the heard nodes that no watchers have reported silent."""
        for peer in self.heard_peers(now_s):
            if not peer.is_silenced:
                yield peer

    def live_recent_readers(self, now_s: float) -> Iterator[Peer]:
        """Yields live nodes that have read the store lately."""
        running_s = self._clock.read(now_s)
        for ip in self._readers.ips:
            peer = self._peers.get(ip)
            if peer is None or peer.is_silenced:
                continue
            if running_s <= peer.live_until_s:
                yield peer

    def heard_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the nodes whose last message to this one is recent.

        No report of others makes a node silent here. So decisions that both
        sides of a network partition must not take go by this.
        """
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
        live = self._count_heard(now_s)
        silent = self._silent_peers(now_s)
        if not self._is_minority(now_s):
            oldest_s = now_s - SHARING_TIMEOUT_S
            silent = [p for p in silent if p.heard_s > oldest_s]
        known = live + len(silent)
        if live == 1:
            # It may have been cut off since it started.
            known = max(known, 1 + len(self._addresses))
        return live / known

    def own_share(self, server_id: str, slots: int, now_s: float) -> int:
        """Returns how many of a server's slots this node may use.

        For the arguments see `SharingNodes.own_share`.
        """
        return self._sharing.own_share(server_id, slots, now_s)

    def loads(self, now_s: float) -> Mapping[str, Load]:
        """Returns the other nodes' load on each backend server."""
        self.on_read()
        return self._loads.totals(self._clock.read(now_s))

    def moves(self, now_s: float) -> Iterator[PlannedMove]:
        """Yields runs that other nodes plan to move off draining engines."""
        self.on_read()
        for peer in self.live_peers(now_s):
            yield from peer.state.moves

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
        self.on_read()
        oldest_s = self._clock.read(now_s) - CALLERS_TIMEOUT_S
        live = self.live_peers(now_s)
        heard = [p.state for p in live if p.running_s >= oldest_s]
        found = find_usable([own_state, *heard], region, home_regions)
        return [state.caller_address for state in found]

    def _is_minority(self, now_s: float) -> bool:
        """Whether no more nodes are heard than are silent."""
        return len(self._silent_peers(now_s)) >= self._count_heard(now_s)

    def _count_heard(self, now_s: float) -> int:
        return 1 + sum(1 for _ in self.heard_peers(now_s))

    def _silent_peers(self, now_s: float) -> list[Peer]:
        live = {peer.state.ip for peer in self.heard_peers(now_s)}
        return [
            peer
            for ip, peer in self._peers.items()
            if ip not in live and not peer.state.is_leaving
        ]
