"""Exchanges state with the other nodes and learns store changes from them."""

import time
from collections.abc import Callable

import structlog

from savorylift.fleet import metrics
from savorylift.fleet.codec import Message
from savorylift.fleet.limit_messages import LimitMessage
from savorylift.fleet.membership import Membership
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.origin_messages import OriginMessage
from savorylift.fleet.peer_transport import PeerTransport, StateBuilder
from savorylift.fleet.rollout_messages import RolloutMessage
from savorylift.fleet.room_messages import RoomMessage
from savorylift.fleet.snapshot_fetcher import SnapshotFetcher
from savorylift.fleet.snapshot_server import SnapshotServer
from savorylift.fleet.state import NodeState
from savorylift.fleet.store_records import Delta, Topic
from savorylift.fleet.store_view import StoreView, Version
from savorylift.front.tasks import BackgroundTasks

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
        on_room_message: Callable[[RoomMessage, str], None] = (
            lambda _message, _ip: None
        ),
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
            on_new_peer: Called with the address of a peer that is new or was
                restarted.
            on_limit_message: Called with each message about the limits of
                backend servers and the address that it came from.
            on_origin_message: The same for the origins of streams.
            on_rollout_message: Called with each message about roll-outs.
            on_room_message: The same for room at engines.
        """
        self._membership = membership
        self._store_view = store_view
        self._tasks = tasks
        self._on_update = on_update
        self._on_state = on_state
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
        )

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
        if isinstance(message, NodeState):
            self._receive_state(message)
        elif isinstance(message, Delta):
            self._receive_delta(message, ip)
        elif isinstance(message, LimitMessage):
            self._on_limit_message(message, ip)
        elif isinstance(message, OriginMessage):
            self._on_origin_message(message, ip)
        elif isinstance(message, RolloutMessage):
            self._on_rollout_message(message)
        elif isinstance(message, RoomMessage):
            self._on_room_message(message, ip)

    def _receive_state(self, state: NodeState) -> None:
        is_new = self._membership.update_peer(state, time.monotonic())
        if is_new:
            _log.info(
                "peer_heard", peer=state.node, incarnation=state.incarnation
            )
            self.transport.send_soon()
            self._on_new_peer(state.ip)
        self._catch_up(state.ip, state.operators_version, state.servers_version)
        self._on_state(state)

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
