"""Exchanges state with the other nodes and learns store changes from them."""

import asyncio
import time
from collections.abc import Callable

import structlog

from savorylift.fleet import metrics
from savorylift.fleet.membership import Membership
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.peer_transport import (
    PeerTransport,
    StateBuilder,
    fetch_snapshot,
)
from savorylift.fleet.state import Delta, NodeState
from savorylift.fleet.store_view import StoreView
from savorylift.front.tasks import BackgroundTasks

# A state message that announces a new version may arrive before the delta with
# the change itself; a node waits this long for the delta before it fetches a
# snapshot.
DELTA_WAIT_S = 0.03
# Most snapshots that are fetched at the same time.
MAX_CONCURRENT_FETCHES = 2

_log = structlog.get_logger()


class PeerSync:
    """Handles messages from peers and announces changes to them."""

    def __init__(
        self,
        port: int,
        membership: Membership,
        store_view: StoreView,
        make_state: StateBuilder,
        tasks: BackgroundTasks,
        authenticator: MessageAuthenticator,
        *,
        on_update: Callable[[], None],
        on_state: Callable[[], None],
    ) -> None:
        """Creates the transport; opens no socket yet.

        Args:
            port: Port for messages between nodes, the same on all of them.
            membership: The other nodes; updated with each state message.
            store_view: View of the store; updated with deltas and snapshots.
            make_state: Builds the state message to send.
            tasks: Runs fetches in the background.
            authenticator: Signs and verifies messages.
            on_update: Called after store changes were learned from a peer.
            on_state: Called after each state message from a peer.
        """
        self._port = port
        self._membership = membership
        self._store_view = store_view
        self._tasks = tasks
        self._on_update = on_update
        self._on_state = on_state
        self._fetching_from: set[str] = set()
        self.authenticator = authenticator
        self.transport = PeerTransport(
            port,
            make_state,
            self._receive,
            self._target_addresses,
            authenticator,
        )

    def announce(self, delta: Delta | None) -> None:
        """Sends the new state to live peers, and the change if it is given.

        Args:
            delta: The change; None if peers must fetch a snapshot instead.
        """
        if delta is not None:
            self.transport.send_delta(delta)
        self.transport.send(include_silent=False)

    def _target_addresses(self, *, include_silent: bool) -> tuple[str, ...]:
        if include_silent:
            return self._membership.addresses
        live = self._membership.live_peers(time.monotonic())
        return tuple(peer.state.ip for peer in live)

    def _receive(self, message: NodeState | Delta) -> None:
        if isinstance(message, NodeState):
            self._receive_state(message)
        elif self._store_view.apply_delta(message):
            metrics.DELTAS.labels("applied").inc()
            self._on_update()
        else:
            metrics.DELTAS.labels("other_base").inc()

    def _receive_state(self, state: NodeState) -> None:
        is_new = self._membership.update_peer(state, time.monotonic())
        if is_new:
            _log.info(
                "peer_heard", peer=state.node, incarnation=state.incarnation
            )
            self.transport.send_soon()
        if self._is_behind(state):
            self._start_fetch(state)
        self._on_state()

    def _is_behind(self, state: NodeState) -> bool:
        """Whether a peer knows newer store records than this node."""
        return (
            state.operators_version > self._store_view.operators_version
            or state.servers_version > self._store_view.servers_version
        )

    def _start_fetch(self, state: NodeState) -> None:
        if (
            state.ip not in self._fetching_from
            and len(self._fetching_from) < MAX_CONCURRENT_FETCHES
        ):
            self._fetching_from.add(state.ip)
            self._tasks.spawn(self._fetch_snapshot(state))

    async def _fetch_snapshot(self, state: NodeState) -> None:
        """Fetches a peer's snapshot unless its deltas arrive first."""
        try:
            await asyncio.sleep(DELTA_WAIT_S)
            if not self._is_behind(state):
                return
            fetched = await fetch_snapshot(
                state.ip,
                self._port,
                self._store_view.operators_version,
                self._store_view.servers_version,
                self.authenticator,
            )
        finally:
            self._fetching_from.discard(state.ip)
        if fetched is None:
            return
        snapshot = fetched.snapshot
        if not self._store_view.apply_snapshot(snapshot):
            return
        _log.info(
            "state_from_peer",
            peer=state.node,
            operators_version=snapshot.operators_version,
            servers_version=snapshot.servers_version,
            bytes=fetched.size,
            took_ms=round(fetched.took_s * 1000),
        )
        self._on_update()
