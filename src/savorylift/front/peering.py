"""This node among the others: hears them, and learns what they know."""

import asyncio
import time
from collections.abc import Callable

import structlog

from savorylift.fleet.knowledge import Knowledge
from savorylift.fleet.link import Link, MakeState, fetch_snapshot
from savorylift.fleet.membership import Membership
from savorylift.fleet.seal import Seal
from savorylift.fleet.state import Delta, NodeState
from savorylift.front.tasks import Tasks

# A change and the news of its version travel apart.
DELTA_S = 0.03
# Whole states that are asked for at once.
FETCHES = 2

_log = structlog.get_logger()


class Peering:
    """Takes messages of other nodes and sends this one's."""

    def __init__(
        self,
        port: int,
        membership: Membership,
        knowledge: Knowledge,
        make_state: MakeState,
        tasks: Tasks,
        seal: Seal,
        *,
        learned: Callable[[], None],
        heard: Callable[[], None],
    ) -> None:
        """Takes what it needs of the node.

        Args:
            port: Port of every node for other nodes.
            membership: The nodes that are heard.
            knowledge: What the store says.
            make_state: Makes this node's message.
            tasks: Runs what takes time.
            seal: Marks messages of this fleet.
            learned: Called when another node knew something new.
            heard: Called after each message.
        """
        self._port = port
        self._membership = membership
        self._knowledge = knowledge
        self._tasks = tasks
        self._learned = learned
        self._heard = heard
        self._fetching: set[str] = set()
        self.seal = seal
        self.link = Link(port, make_state, self._hear, self._targets, seal)

    def tell(self, delta: Delta | None) -> None:
        """Tells the others of a change; None if it is not a small one."""
        if delta is not None:
            self.link.send_delta(delta)
        self.link.send(to_silent=False)

    def _targets(self, *, to_silent: bool) -> tuple[str, ...]:
        if to_silent:
            return self._membership.addresses
        live = self._membership.live(time.monotonic())
        return tuple(heard.state.ip for heard in live)

    def _hear(self, message: NodeState | Delta) -> None:
        if isinstance(message, NodeState):
            self._hear_state(message)
        elif self._knowledge.apply(message):
            self._learned()

    def _hear_state(self, state: NodeState) -> None:
        is_new = self._membership.hear(state, time.monotonic())
        if is_new:
            _log.info(
                "peer_heard", peer=state.node, incarnation=state.incarnation
            )
            self.link.send_soon()
        if self._is_behind(state):
            self._fetch_from(state)
        self._heard()

    def _is_behind(self, state: NodeState) -> bool:
        """Whether another node knows more than this one."""
        return (
            state.operators_version > self._knowledge.operators_version
            or state.servers_version > self._knowledge.servers_version
        )

    def _fetch_from(self, state: NodeState) -> None:
        if state.ip not in self._fetching and len(self._fetching) < FETCHES:
            self._fetching.add(state.ip)
            self._tasks.spawn(self._fetch(state))

    async def _fetch(self, state: NodeState) -> None:
        """Gets what another node knows, unless the change itself arrives."""
        try:
            await asyncio.sleep(DELTA_S)
            if not self._is_behind(state):
                return
            snapshot = await fetch_snapshot(
                state.ip,
                self._port,
                self._knowledge.operators_version,
                self._knowledge.servers_version,
                self.seal,
            )
        finally:
            self._fetching.discard(state.ip)
        if snapshot is None or not self._knowledge.take_over(snapshot):
            return
        _log.info(
            "state_from_peer",
            peer=state.node,
            operators_version=snapshot.operators_version,
            servers_version=snapshot.servers_version,
        )
        self._learned()
