"""Nodes that exchange datagrams without a network, on a virtual clock."""

import random
from collections.abc import Callable

import pytest

from savorylift.fleet.codec import decode
from savorylift.fleet.membership import Membership
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.peer_transport import INTERVALS_PER_SILENT_SEND
from savorylift.fleet.pulse_messages import PULSE_LEVEL, Pulse, PulseMessage
from savorylift.fleet.state import NodeState
from savorylift.front.maintenance import MAINTENANCE_INTERVAL_S
from savorylift.front.peer_sync import PeerSync
from savorylift.front.tasks import BackgroundTasks
from tests.exchange.factories import make_store_view
from tests.fleet.test_membership import state
from tests.harness.virtual_time import VirtualClock

STEP_S = 0.05
DOMAINS = 6


class VirtualNode:
    """A node that runs when its fleet steps.

    Attributes:
        ip: Its address.
        domain: Its failure domain.
        members: The others, as it hears them.
        sync: What is tested.
        is_old: Whether it is of a build without pulses.
        is_running: Whether it runs; a paused one gets its datagrams later.
        loads: What it says of its load.
    """

    def __init__(
        self, ip: str, domain: str, ips: list[str], incarnation: int = 1
    ) -> None:
        self.ip, self.domain, self.incarnation = ip, domain, incarnation
        self.members = Membership(ip, ips)
        self.is_old, self.is_running = False, True
        self.loads = state().loads
        self.sent = self.received = self.bytes_sent = 0
        self._sequence = 0
        self.inbox: list[tuple[bytes, str]] = []
        self.sync = PeerSync(
            ip,
            1,
            self.members,
            make_store_view(),
            self._make_state,
            BackgroundTasks(),
            MessageAuthenticator(("key",)),
            lambda: False,
            on_update=lambda: None,
            on_state=lambda _: None,
        )
        self.next_s = self.next_update_s = 0.0
        self._tick = 0

    def make_old(self) -> None:
        """Makes it a node of a build without pulses."""
        self.is_old = True
        self.sync._own_level = 0

    def prepare(self, tick: int) -> NodeState:
        """Returns a state that all other nodes are to have heard."""
        state_now = self._make_state(include_peers=False)
        transport = self.sync.transport
        transport._nodes = len(self.members.addresses)
        transport._patches.begin(state_now, self.now_s())
        transport._patched._based = frozenset(self.members.addresses)
        self._tick = tick
        return state_now._replace(interval_s=transport.own_interval_s)

    def run(self, now_s: float) -> None:
        """Does what is due, as the tasks of a node do."""
        inbox, self.inbox = self.inbox, []
        for data, ip in inbox:
            self._receive(data, ip)
        transport = self.sync.transport
        if now_s >= self.next_update_s:
            self.next_update_s = now_s + MAINTENANCE_INTERVAL_S
            self.members.note_running(now_s)
            self._sequence += 1
            pulse = Pulse(self.incarnation, self._sequence, goes_on=True)
            if not self.is_old:
                self.sync.watch.update(self.domain, pulse)
        if now_s >= self.next_s:
            self._tick += 1
            transport.send(
                include_silent=self._tick % INTERVALS_PER_SILENT_SEND == 1
            )
            self.next_s = now_s + transport.own_interval_s
        elif transport._send_requested.is_set():
            transport.send_requested()
        transport._send_requested.clear()

    def live(self, now_s: float) -> set[str]:
        """Returns the addresses of the nodes that it takes for live."""
        return {peer.state.ip for peer in self.members.live_peers(now_s)}

    def _receive(self, data: bytes, ip: str) -> None:
        self.received += 1
        if self.is_old:
            message = decode(data[16:]).unwrap()
            assert not isinstance(message, PulseMessage)
        self.sync.transport.datagram_received(data, (ip, 1))

    def _make_state(self, *, include_peers: bool) -> NodeState:
        self._sequence += 1
        peers = sorted(self.live(self.now_s())) if include_peers else ()
        return state()._replace(
            node=self.ip,
            ip=self.ip,
            failure_domain=self.domain,
            caller_address=f"{self.ip}:1",
            incarnation=self.incarnation,
            sequence=self._sequence,
            interval_s=self.sync.transport.own_interval_s,
            loads=self.loads,
            peers=tuple(peers),
            message_level=0 if self.is_old else PULSE_LEVEL,
        )

    now_s: Callable[[], float]


class VirtualFleet:
    """Nodes, and what becomes of the datagrams between them.

    Attributes:
        nodes: The nodes by address.
        loses: Whether a datagram from one node to another is lost.
        now_s: The time.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        count: int,
        *,
        seed: int = 1,
        seeds: list[str] | None = None,
    ) -> None:
        self._clock = VirtualClock()
        monkeypatch.setattr("time.monotonic", self._clock.monotonic)
        self.rng = random.Random(seed)
        self.loses: Callable[[VirtualNode, VirtualNode], bool] = (
            lambda _sender, _receiver: False
        )
        ips = [f"10.0.{n // 200}.{n % 200 + 1}" for n in range(count)]
        self.nodes: dict[str, VirtualNode] = {}
        for number, ip in enumerate(ips):
            self.start(ip, f"z{number % DOMAINS}", seeds or ips)

    @property
    def now_s(self) -> float:
        """The virtual monotonic time."""
        return self._clock.now_s

    def start(
        self, ip: str, domain: str, ips: list[str], incarnation: int = 1
    ) -> VirtualNode:
        """Starts a node, or starts it again."""
        node = VirtualNode(ip, domain, ips, incarnation)
        node.now_s = self._clock.monotonic
        node.next_s = self.now_s + self.rng.uniform(0, 0.3)
        node.next_update_s = node.next_s
        self.nodes[ip] = node

        def send_all(data: bytes, ips: tuple[str, ...]) -> None:
            self._send(node, node.sync.transport._authenticator.sign(data), ips)

        node.sync.transport._send_all = send_all  # type: ignore[method-assign]
        return node

    def introduce(self) -> None:
        """Lets all nodes have heard each other, as after a while."""
        nodes = list(self.nodes.values())
        states = [node.prepare(self.rng.randrange(5)) for node in nodes]
        for node in nodes:
            for other in states:
                node.members.update_peer(other, self.now_s)
            node.next_s += self.rng.uniform(0, len(nodes) / 80)

    def run(
        self, for_s: float, check: Callable[[], None] | None = None
    ) -> None:
        """Lets time pass; calls `check` after each step."""
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self._clock.now_s += STEP_S
            for node in list(self.nodes.values()):
                if node.is_running:
                    node.run(self.now_s)
            if check is not None:
                check()

    def missing(self) -> set[tuple[str, str]]:
        """Returns which running nodes don't take which others for live."""
        running = {n.ip for n in self.nodes.values() if n.is_running}
        return {
            (ip, other)
            for ip in running
            for other in running - self.nodes[ip].live(self.now_s) - {ip}
        }

    def run_until_dropped(self, ips: set[str], within_s: float) -> float:
        """Returns how long it takes until no running node counts any of some.

        Args:
            ips: The nodes.
            within_s: Longest time to let pass.
        """
        began_s = self.now_s
        others = [n for n in self.nodes.values() if n.ip not in ips]
        while any(node.live(self.now_s) & ips for node in others):
            if self.now_s - began_s > within_s:
                return float("inf")
            self.run(STEP_S)
        return self.now_s - began_s

    def _send(
        self, sender: VirtualNode, data: bytes, ips: tuple[str, ...]
    ) -> None:
        for ip in ips:
            sender.sent += 1
            sender.bytes_sent += len(data)
            receiver = self.nodes.get(ip)
            if receiver is not None and not self.loses(sender, receiver):
                receiver.inbox.append((data, sender.ip))
