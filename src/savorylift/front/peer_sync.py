"""Exchanges state with the other nodes and learns store changes from them."""

import asyncio
import time
from collections.abc import Callable

import structlog

from savorylift.fleet import metrics
from savorylift.fleet.codec import Message
from savorylift.fleet.limit_messages import LimitMessage
from savorylift.fleet.membership import Membership
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.move_messages import MoveMessage
from savorylift.fleet.origin_messages import OriginMessage
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.peer_watch import PeerWatch
from savorylift.fleet.pulse_messages import (
    PULSE_LEVEL,
    Pulse,
    PulseMessage,
    StatePatch,
    StateQuery,
)
from savorylift.fleet.rollout_messages import RolloutMessage
from savorylift.fleet.room_messages import RoomMessage
from savorylift.fleet.size_scaling import SMALL_FLEET_NODES
from savorylift.fleet.snapshot_fetcher import SnapshotFetcher
from savorylift.fleet.snapshot_server import SnapshotServer
from savorylift.fleet.state import NodeState
from savorylift.fleet.store_records import Delta, Topic, Version
from savorylift.fleet.store_view import StoreView
from savorylift.fleet.transport_sources import StateBuilder
from savorylift.front.state_reactions import StateReactions
from savorylift.front.tasks import BackgroundTasks

# A node is asked for its state no more often than this.
MIN_ASK_INTERVAL_S = 0.2
# Bounds the memory of when each node was asked.
MAX_ASKED_PEERS = 1024
# A node that starts asks so many others for the addresses of all.
ASKED_FOR_PEERS = 3

_log = structlog.get_logger()


class PeerSync:
    """Handles messages from peers and announces changes to them."""

    def __init__(
        self,
        ip: str,
        port: int,
        membership: Membership,
        store_view: StoreView,
        make_state: StateBuilder,
        tasks: BackgroundTasks,
        authenticator: MessageAuthenticator,
        is_reader: Callable[[], bool],
        *,
        on_update: Callable[[], None],
        on_state: Callable[[NodeState], None],
        on_news: Callable[[], None] = lambda: None,
        on_new_peer: Callable[[str], None] = lambda _: None,
        on_limit_message: Callable[[LimitMessage, str], None] = (
            lambda _message, _ip: None
        ),
        on_origin_message: Callable[[OriginMessage, str], None] = (
            lambda _message, _ip: None
        ),
        on_rollout_message: Callable[[RolloutMessage], None] = (
            lambda _message: None
        ),
        on_room_message: Callable[[RoomMessage | MoveMessage, str], None] = (
            lambda _message, _ip: None
        ),
        own_level: int = PULSE_LEVEL,
        has_waiting: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the transport; opens no socket yet.

        Args:
            ip: This node's own address.
            port: Port for messages between nodes, the same on all of them.
            membership: The other nodes; updated with each state message.
            store_view: View of the store; updated with deltas and snapshots.
            make_state: Builds the state message to send.
            tasks: Runs fetches in the background.
            authenticator: Signs and verifies messages.
            is_reader: Whether this node is one of those that read the store.
            on_update: Called after store changes were learned from a peer.
            on_state: Called after each state message from a peer.
            on_news: Called after states that differ in what requests wait for.
            on_new_peer: Called with the address of a peer that is new or was
                restarted.
            on_limit_message: Called with each message about the limits of
                backend servers and the address that it came from.
            on_origin_message: The same for the origins of streams.
            on_rollout_message: Called with each message about roll-outs.
            on_room_message: The same for room at engines and moves off them.
            own_level: Which messages this node sends and takes, as its states
                say.
            has_waiting: Returns whether requests wait for what others say.
        """
        self._membership = membership
        self._store_view = store_view
        self._tasks = tasks
        self._on_update = on_update
        self._on_new_peer = on_new_peer
        self._on_limit_message = on_limit_message
        self._on_origin_message = on_origin_message
        self._on_rollout_message = on_rollout_message
        self._on_room_message = on_room_message
        self._fetcher = SnapshotFetcher(
            ip,
            port,
            store_view,
            authenticator,
            lambda: len(self._target_addresses(include_silent=False)),
            on_update,
        )
        self._own_level = own_level
        self._has_waiting = has_waiting
        self._asked_s: dict[str, float] = {}
        self._left_to_ask = ASKED_FOR_PEERS
        self._reactions = StateReactions(
            self._catch_up, on_state, on_news, self._is_reading
        )
        self.snapshot_server = SnapshotServer(
            store_view.snapshot, authenticator
        )
        self.transport = PeerTransport(
            port,
            make_state,
            self._receive,
            self._target_addresses,
            is_reader,
            authenticator,
            self._knows_patches,
            self._find_bulk_port,
        )
        membership.on_read = self._read_for_decision
        self.watch = PeerWatch(
            ip,
            membership,
            self.transport.send_to,
            self._can_pulse,
            self._ask,
            SMALL_FLEET_NODES,
        )

    def _knows_patches(self, ip: str) -> bool:
        peer = self._membership.find(ip)
        return peer is not None and self._can_pulse(peer.state)

    def _find_bulk_port(self, ip: str) -> int:
        peer = self._membership.find(ip)
        return 0 if peer is None else peer.state.bulk_port

    def read_waiting(self) -> None:
        """Reads messages that may have waited; to be called periodically.

        While requests wait, further ones are read as they come.
        """
        self.transport.bulk.read()
        self._set_eagerness()
        if not self.transport.is_open:
            self._membership.share_with_known(time.monotonic())

    def _read_for_decision(self) -> None:
        if self.transport.bulk.read_if_due():
            # The decision may leave a request waiting: look after it.
            asyncio.get_running_loop().call_soon(self._set_eagerness)

    def _set_eagerness(self) -> None:
        self.transport.bulk.set_eager(is_eager=self._has_waiting())

    def _is_reading(self) -> bool:
        return self.transport.bulk.is_reading

    def _can_pulse(self, state: NodeState) -> bool:
        return min(self._own_level, state.message_level) >= PULSE_LEVEL

    def announce(self, delta: Delta | None) -> None:
        """Tells live peers of a change of this node's state or store view.

        Args:
            delta: The change of the store view, if that has changed. Peers
                learn it from the delta alone; without one, or if it is too
                large, they fetch a snapshot.
        """
        if delta is None or not self.transport.send_delta(delta):
            self.transport.send(include_silent=False)

    def _target_addresses(self, *, include_silent: bool) -> tuple[str, ...]:
        if include_silent:
            return self._membership.addresses
        live = self._membership.live_peers(time.monotonic())
        return tuple(peer.state.ip for peer in live)

    def _receive(self, message: Message, ip: str) -> None:
        if isinstance(message, PulseMessage):
            self._receive_pulse_message(message, ip)
        elif isinstance(message, NodeState):
            self._receive_state(message)
        elif isinstance(message, Delta):
            self._receive_delta(message, ip)
        elif isinstance(message, LimitMessage):
            self._on_limit_message(message, ip)
        elif isinstance(message, OriginMessage):
            self._on_origin_message(message, ip)
        elif isinstance(message, RolloutMessage):
            self._on_rollout_message(message)
        elif isinstance(message, RoomMessage | MoveMessage):
            self._on_room_message(message, ip)

    def _receive_state(self, state: NodeState) -> None:
        last = self._membership.find(state.ip)
        is_new = self._membership.update_peer(state, time.monotonic())
        if is_new:
            _log.info(
                "peer_heard", peer=state.node, incarnation=state.incarnation
            )
            self.transport.forget_base(state.ip)
            self.transport.greet_soon(state.ip)
            self._on_new_peer(state.ip)
            self._ask_for_peers(state)
        self._reactions.follow(state, None if last is None else last.state)

    def _ask_for_peers(self, state: NodeState) -> None:
        """Asks the first nodes that are heard for all others."""
        if self._left_to_ask and self._can_pulse(state):
            self._left_to_ask -= 1
            query = StateQuery(state.incarnation, names_peers=True)
            self.transport.send_message(query, state.ip)

    def _receive_pulse_message(self, message: PulseMessage, ip: str) -> None:
        if isinstance(message, StatePatch):
            self._receive_patch(message, ip)
        elif isinstance(message, Pulse):
            self.watch.hear_pulse(message, ip)
        elif isinstance(message, StateQuery):
            metrics.STATE_QUERIES.inc()
            self.transport.send_whole(ip, names_peers=message.names_peers)
        else:
            self.watch.hear_news(message, ip)

    def _receive_patch(self, patch: StatePatch, ip: str) -> None:
        last = self._membership.find(ip)
        if last is None or last.base.sequence != patch.base_sequence:
            # The base of the patch may wait in the socket.
            self.transport.bulk.read()
            last = self._membership.find(ip)
        outcome = self._membership.hear_patch(ip, patch, time.monotonic())
        if outcome.must_ask:
            self._ask(ip, patch.incarnation)
        state = outcome.state
        if state is None or last is None:
            return
        self._reactions.follow(state, last.state)

    def _ask(self, ip: str, incarnation: int) -> None:
        """Asks a node for its whole state, unless it was asked just now."""
        now_s = time.monotonic()
        if now_s - self._asked_s.get(ip, 0.0) < MIN_ASK_INTERVAL_S:
            return
        if len(self._asked_s) >= MAX_ASKED_PEERS:
            self._asked_s.clear()
        self._asked_s[ip] = now_s
        self.transport.send_message(StateQuery(incarnation), ip)

    def _receive_delta(self, delta: Delta, ip: str) -> None:
        self.transport.relay_delta(delta)
        if self._store_view.apply_delta(delta):
            metrics.DELTAS.labels("applied").inc()
            self._on_update()
            return
        metrics.DELTAS.labels("other_base").inc()
        if delta.topic is Topic.OPERATORS:
            self._catch_up(ip, delta.new_version[0], (0, 0))
        else:
            self._catch_up(ip, 0, delta.new_version)

    def _catch_up(
        self, ip: str, operators_version: int, servers_version: Version
    ) -> None:
        """Fetches a snapshot if a peer knows newer store records."""
        if (
            operators_version <= self._store_view.operators_version
            and servers_version <= self._store_view.servers_version
        ):
            return
        if self._fetcher.add_source(ip, operators_version, servers_version):
            self._tasks.spawn(self._fetcher.run())
