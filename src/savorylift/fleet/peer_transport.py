"""Datagrams between nodes."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import cast

import structlog
from returns.pipeline import is_successful

from savorylift.fleet import metrics
from savorylift.fleet.bulk_socket import BulkSocket
from savorylift.fleet.codec import Message, encode
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.patched_peers import PatchedPeers
from savorylift.fleet.pulse_messages import Pulse
from savorylift.fleet.relay_groups import relay_groups
from savorylift.fleet.signed_messages import decode_signed
from savorylift.fleet.size_scaling import SMALL_FLEET_NODES, scale_with_nodes
from savorylift.fleet.state_patches import PatchMaker
from savorylift.fleet.store_records import Delta
from savorylift.fleet.transport_sources import PeerAddresses, StateBuilder

# Of a small fleet. It grows with the fleet, so that the traffic on a node's
# network link stays about the same.
BASE_INTERVAL_S = 0.2
# Interval of the readers of the store. The others must notice the loss of both
# and take over well within the time in which a change must be in force.
MAX_READER_INTERVAL_S = 0.5
# One in this many periodic messages goes to every known address, including
# those of silent nodes, and names the live nodes.
INTERVALS_PER_SILENT_SEND = 5
# Live nodes that such a message names; nodes that start ask for all of them.
MAX_NAMED_PEERS = 16
# Larger deltas are not sent; the other nodes fetch a snapshot instead.
MAX_DELTA_BYTES = 16_384
# Delay that lets changes made at the same time share one message.
COALESCE_DELAY_S = 0.01

_log = structlog.get_logger()


class PeerTransport(asyncio.DatagramProtocol):
    """Sends this node's state to the other nodes and receives theirs."""

    def __init__(
        self,
        port: int,
        make_state: StateBuilder,
        on_message: Callable[[Message, str], None],
        peer_addresses: PeerAddresses,
        is_reader: Callable[[], bool],
        authenticator: MessageAuthenticator,
        knows_patches: Callable[[str], bool] = lambda _: False,
        find_bulk_port: Callable[[str], int] = lambda _: 0,
    ) -> None:
        """Creates a transport without a socket; `start` opens it.

        Args:
            port: Port of datagrams and snapshot requests, on every node.
            make_state: Builds the state message to send.
            on_message: Called with each message received and the address
                that it came from.
            peer_addresses: Returns the addresses to send to.
            is_reader: Whether this node is one of those that read the store.
            authenticator: Signs and verifies the messages.
            knows_patches: Returns whether the node at an address takes patches
                of states.
            find_bulk_port: Returns the port on which the node at an address
                takes messages that may wait; 0 if it has none.
        """
        self._authenticator = authenticator
        self._port = port
        self._make_state = make_state
        self._on_message = on_message
        self._peer_addresses = peer_addresses
        self._is_reader = is_reader
        self._transport: asyncio.DatagramTransport | None = None
        self.on_lost: Callable[[], None] = lambda: None
        self._send_requested = asyncio.Event()
        # Live nodes as of the last message to them all.
        self._nodes = 0
        self._find_bulk_port = find_bulk_port
        self.bulk = BulkSocket(self.datagram_received)
        # Whether a change is to be sent to all, and whether it is urgent.
        self._has_change = self._is_urgent = False
        # Nodes that may not have heard of this one yet.
        self._to_greet: set[str] = set()
        self._patches = PatchMaker()
        self._patched = PatchedPeers(knows_patches)

    async def start(self, host: str) -> None:
        """Opens the socket.

        Raises:
            OSError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )

    @property
    def is_open(self) -> bool:
        """Whether it has its socket."""
        return self._transport is not None

    @property
    def message_interval_s(self) -> float:
        """Interval of the periodic messages of most nodes."""
        return scale_with_nodes(BASE_INTERVAL_S, self._nodes)

    @property
    def reader_interval_s(self) -> float:
        """Interval of the periodic messages of the store's readers."""
        return min(self.message_interval_s, MAX_READER_INTERVAL_S)

    @property
    def own_interval_s(self) -> float:
        """Interval of this node's periodic messages."""
        if self._is_reader():
            return self.reader_interval_s
        return self.message_interval_s

    async def run(self) -> None:
        """Sends the state at each interval and soon after each change."""
        tick = 0
        next_s = time.monotonic()
        while True:
            wait_s = max(next_s - time.monotonic(), 0.0)
            try:
                # `wait_for` may lose a cancellation that comes with a request.
                async with asyncio.timeout(wait_s):
                    await self._send_requested.wait()
                await asyncio.sleep(COALESCE_DELAY_S)
                self.send_requested()
            except TimeoutError:
                tick += 1
                next_s = time.monotonic() + self.own_interval_s
                self.send(
                    include_silent=tick % INTERVALS_PER_SILENT_SEND == 1,
                    # The age of a reading counts from when it is heard.
                    may_wait=not self._is_reader(),
                )
            self._send_requested.clear()

    def send_soon(self) -> None:
        """Sends the state after a short delay that coalesces changes."""
        self._has_change = self._is_urgent = True
        self._send_requested.set()

    def send_load_soon(self) -> None:
        """Sends it as `send_soon` does, but receivers may read it later."""
        self._has_change = True
        self._send_requested.set()

    def greet_soon(self, ip: str) -> None:
        """Sends the state soon to a node that is new here, and to no other.

        When many nodes start, each hears of the others one by one; those that
        it has heard of before have its state already.
        """
        self._to_greet.add(ip)
        self._send_requested.set()

    def send_requested(self) -> None:
        """Sends what was to be sent soon; to be called after the delay."""
        is_urgent, self._is_urgent = self._is_urgent, False
        if self._has_change:
            self.send(include_silent=False, may_wait=not is_urgent)
        elif self._to_greet:
            state = self._make_state(include_peers=False)
            self._send_all(encode(state), tuple(self._to_greet))
            self._to_greet.clear()

    def send(self, *, include_silent: bool, may_wait: bool = False) -> None:
        """Sends the state now, as a patch to nodes that have its base.

        With `include_silent` it also goes to silent nodes and names some live
        ones. It is the base of patches then.

        Args:
            include_silent: Whether it goes to silent nodes, too.
            may_wait: Whether the others may read it when they need it.
        """
        self._has_change = False
        self._to_greet.clear()
        live = self._peer_addresses(include_silent=False)
        self._nodes = len(live)
        state = self._make_state(include_peers=include_silent)
        if include_silent:
            ips = self._peer_addresses(include_silent=True)
            count = min(len(state.peers), MAX_NAMED_PEERS)
            state = state._replace(
                peers=tuple(random.sample(state.peers, count))
            )
            self._patches.begin(state, time.monotonic())
            self._patched.begin(ips)
            self._send_by_urgency(encode(state), ips, may_wait=may_wait)
            return
        patched = self._patched.find(live)
        patch = self._patches.make(state, time.monotonic()) if patched else None
        if patch is None:
            self._send_all(encode(state), live)
            return
        self._send_by_urgency(encode(patch), tuple(patched), may_wait=may_wait)
        others = tuple(ip for ip in live if ip not in patched)
        if others:
            self._send_all(encode(state), others)

    def send_whole(self, ip: str, *, names_peers: bool) -> None:
        """Sends the whole state to a node that asks for it."""
        self.send_message(self._make_state(include_peers=names_peers), ip)

    def forget_base(self, ip: str) -> None:
        """Sends a restarted node whole states until the next base."""
        self._patched.forget(ip)

    def send_message(self, message: Message, ip: str | None) -> None:
        """Sends a message to a node; to all live ones without an address."""
        ips = (ip,) if ip else self._peer_addresses(include_silent=False)
        self._send_all(encode(message), ips)

    def send_to(self, ips: tuple[str, ...], message: Message) -> None:
        """Sends a message to some nodes, perhaps none; a pulse may wait."""
        may_wait = isinstance(message, Pulse)
        if ips:
            self._send_by_urgency(encode(message), ips, may_wait=may_wait)

    def send_delta(self, delta: Delta) -> bool:
        """Sends a delta to the live nodes; returns False if it is too large."""
        size = len(encode(delta))
        if size > MAX_DELTA_BYTES:
            metrics.DELTAS.labels("too_large").inc()
            _log.info("delta_too_large", topic=delta.topic, bytes=size)
            return False
        metrics.DELTAS.labels("sent").inc()
        ips = list(self._peer_addresses(include_silent=False))
        for first, *others in relay_groups(ips):
            data = encode(delta._replace(relay_to=tuple(others)))
            self._send_all(data, (first,))
        return True

    def relay_delta(self, delta: Delta) -> None:
        """Forwards a received delta to the nodes that its sender chose."""
        known = self._peer_addresses(include_silent=True)
        ips = tuple(ip for ip in delta.relay_to if ip in known)
        if ips:
            self._send_all(encode(delta._replace(relay_to=())), ips)

    def _send_by_urgency(
        self, data: bytes, ips: tuple[str, ...], *, may_wait: bool
    ) -> None:
        """Sends what may wait to the bulk ports of the nodes that have one."""
        bulk_ports: dict[str, int] = {}
        if may_wait and self._nodes >= SMALL_FLEET_NODES:
            ports = {ip: self._find_bulk_port(ip) for ip in ips}
            bulk_ports = {ip: port for ip, port in ports.items() if port}
        usual = tuple(ip for ip in ips if ip not in bulk_ports)
        if usual:
            self._send_all(data, usual)
        if bulk_ports and self._transport is not None:
            signed = self._authenticator.sign(data)
            for address in bulk_ports.items():
                self._transport.sendto(signed, address)

    def _send_all(self, data: bytes, ips: tuple[str, ...]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        signed = self._authenticator.sign(data)
        for ip in ips:
            self._transport.sendto(signed, (ip, self._port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the opened socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Logs that the socket is gone, and has it opened again."""
        _log.error("peer_socket_lost", detail=str(exc))
        self._transport = None
        self.on_lost()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes on a valid message; an invalid one is logged and dropped."""
        decoded = decode_signed(data, self._authenticator)
        if not is_successful(decoded):
            detail = decoded.failure()
            _log.warning("peer_message_unreadable", peer=addr[0], detail=detail)
            return
        self._on_message(decoded.unwrap(), addr[0])

    def error_received(self, exc: Exception) -> None:
        """Logs a socket error; later messages may still be delivered."""
        _log.info("peer_message_lost", detail=str(exc))
