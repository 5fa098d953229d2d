"""Which nodes are there, who reads the store, and where callers connect."""

import collections
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from savorylift.fleet.state import NodeState, ServerLoad
from savorylift.placement.move_order import PlannedMove
from savorylift.rendezvous import rank

# Five messages in a row are missing by then.
LIVE_S = 1.0
# Nodes that write rarely are given this many intervals.
LIVE_INTERVALS = 4
# Limits are shared with nodes that may be back or cut off from this one.
COUNTED_S = 30.0
FORGET_S = 60.0
READERS = 2
# Earlier incarnations of a node whose late messages are dropped.
RETIRED = 8
READERS_KEY = "store"


class Heard(NamedTuple):
    """The newest message of a node.

    Attributes:
        state: What it said.
        heard_s: Steady time of its arrival.
    """

    state: NodeState
    heard_s: float


class Membership:
    """The other nodes as this one hears them."""

    def __init__(self, ip: str, seeds: Iterable[str]) -> None:
        """Starts with the addresses of nodes that may be there.

        Args:
            ip: This node's own address.
            seeds: Addresses of other nodes; may be stale.
        """
        self._ip = ip
        self._heard: dict[str, Heard] = {}
        self._addresses = {seed: 0.0 for seed in seeds if seed != ip}
        self._retired: dict[str, collections.deque[int]] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """Every address that a message is worth sending to."""
        return tuple(self._addresses)

    def add_address(self, ip: str, now_s: float) -> None:
        """Learns that a node may be at `ip`."""
        if ip != self._ip:
            self._addresses.setdefault(ip, now_s)

    def hear(self, state: NodeState, now_s: float) -> bool:
        """Takes over a message; says whether its node is new or restarted."""
        if state.ip == self._ip:
            return False
        last = self._heard.get(state.ip)
        retired = self._retired.get(state.ip, ())
        if state.incarnation in retired:
            return False
        is_new = last is None or last.state.incarnation != state.incarnation
        if last is not None and is_new:
            self._retire(last.state)
        if not is_new and last and state.sequence <= last.state.sequence:
            return False
        self._heard[state.ip] = Heard(state, now_s)
        self._addresses[state.ip] = now_s
        for ip in state.peers:
            self.add_address(ip, now_s)
        return is_new

    def forget_silent(self, now_s: float) -> None:
        """Drops nodes that were silent for very long."""
        for ip, since_s in list(self._addresses.items()):
            if since_s and now_s - since_s > FORGET_S:
                del self._addresses[ip]
                self._heard.pop(ip, None)
                self._retired.pop(ip, None)

    def live(self, now_s: float) -> Iterator[Heard]:
        """Yields the nodes heard lately."""
        for heard in self._heard.values():
            rarely_s = LIVE_INTERVALS * heard.state.interval_s
            if now_s - heard.heard_s <= max(LIVE_S, rarely_s):
                yield heard

    def count_sharing(self, now_s: float) -> int:
        """Returns how many nodes, this one included, share a limit."""
        return 1 + sum(1 for _ in self._heard_within(COUNTED_S, now_s))

    def own_share(self, key: str, places: int, now_s: float) -> int:
        """Returns how many of a server's places this node may take.

        Nodes that see the same fleet take no place twice.

        Args:
            key: Name of the server.
            places: What it bears from all nodes.
            now_s: Steady time.
        """
        heard = self._heard_within(COUNTED_S, now_s)
        order = rank(key, [self._ip, *(h.state.ip for h in heard)])
        each, rest = divmod(places, len(order))
        return each + (order.index(self._ip) < rest)

    def loads(self, now_s: float) -> Iterator[ServerLoad]:
        """Yields the work of the other nodes on backend servers."""
        for heard in self.live(now_s):
            yield from heard.state.loads

    def moves(self, now_s: float) -> Iterator[PlannedMove]:
        """Yields the runs that other nodes copy off leaving engines."""
        for heard in self.live(now_s):
            yield from heard.state.moves

    def callers_addresses(
        self,
        me: NodeState,
        region: str | None,
        homes: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Returns where callers may connect, never empty.

        Nodes in the caller's region go before those in `homes`, the regions
        that its requests may be bound to, and these before others.
        """
        states = [me, *(heard.state for heard in self.live(now_s))]
        serving = [s for s in states if s.is_ready and not s.is_leaving]
        staying = [s for s in states if not s.is_leaving]
        found = serving or staying or states
        near = [s for s in found if region in (None, s.region)]
        home = [s for s in found if s.region in homes]
        return [state.caller_address for state in near or home or found]

    def is_reader(self, me: NodeState, now_s: float) -> bool:
        """Whether this node is one of those that follow the store."""
        states = {me.node: me}
        for heard in self.live(now_s):
            states[heard.state.node] = heard.state
        able = {n: s for n, s in states.items() if not s.is_leaving}
        sound = {n: s for n, s in able.items() if not s.has_store_fault}
        order = rank(READERS_KEY, sound or able or states)
        readers = order[:1]
        domains = {states[name].failure_domain for name in readers}
        for name in order[1:]:
            if states[name].failure_domain not in domains:
                readers.append(name)
                break
        else:
            readers = order[:READERS]
        return me.node in readers

    def reading_age_s(self, now_s: float) -> float | None:
        """Returns the age of the newest reading that other nodes have."""
        ages = [
            heard.state.reading_age_s + now_s - heard.heard_s
            for heard in self.live(now_s)
            if heard.state.reading_age_s is not None
        ]
        return min(ages, default=None)

    def _retire(self, state: NodeState) -> None:
        retired = self._retired.setdefault(
            state.ip, collections.deque(maxlen=RETIRED)
        )
        retired.append(state.incarnation)

    def _heard_within(self, age_s: float, now_s: float) -> Iterator[Heard]:
        for heard in self._heard.values():
            if now_s - heard.heard_s <= age_s:
                yield heard
