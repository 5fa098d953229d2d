"""Tells other nodes and operators what this node's state is."""

import time
from typing import NamedTuple

from savorylift.exchange.crash_guard import CrashGuard
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.server_reach import ServerReach
from savorylift.fleet.membership import Membership
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.pulse_messages import PULSE_LEVEL, Pulse
from savorylift.fleet.reader_choice import OwnCandidate, ReaderChoice
from savorylift.fleet.state import NodeState
from savorylift.fleet.store_reader import StoreReader
from savorylift.fleet.store_view import StoreView
from savorylift.front.lifecycle import Lifecycle
from savorylift.front.server_news import ServerNews
from savorylift.front.status import Status
from savorylift.rollouts.board import RolloutBoard
from savorylift.rooms.engine_groups import EngineGroups
from savorylift.routing.configuration import Configuration

# For how long the choice of the readers is used before it is made again.
READER_CHOICE_S = 0.1


class NodeIdentity(NamedTuple):
    """What stays the same while a process runs.

    Attributes:
        vm: Name of the VM.
        ip: Address of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        caller_address: Where callers connect.
        incarnation: Random number that identifies the process.
        message_level: Kinds of messages that it knows, as in `NodeState`.
    """

    vm: str
    ip: str
    region: str
    failure_domain: str
    caller_address: str
    incarnation: int
    message_level: int = PULSE_LEVEL


class StateReporter:
    """Puts together this node's state messages and its status.

    Attributes:
        was_reader: Whether this node was one of the store's readers when last
            asked.
        was_first_reader: Whether it was the first of them.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        lifecycle: Lifecycle,
        membership: Membership,
        store_view: StoreView,
        store_reader: StoreReader,
        pool: ServerPool,
        reach: ServerReach,
        crash_guard: CrashGuard,
        server_news: ServerNews,
        transport: PeerTransport,
        groups: EngineGroups,
        rollouts: RolloutBoard | None = None,
    ) -> None:
        """Connects the parts that the state is read from.

        Args:
            identity: Which node this is.
            lifecycle: Whether it is draining, and its open requests.
            membership: The other nodes.
            store_view: What is known of the store.
            store_reader: How old that is.
            pool: Loads and planned moves.
            reach: Which services this node doesn't reach.
            crash_guard: Which requests crash servers.
            server_news: What servers said.
            transport: How often messages go.
            groups: How services' engines are divided among keepers.
            rollouts: Where roll-outs stand; None if there are to be none.
        """
        self._identity = identity
        self._lifecycle = lifecycle
        self._membership = membership
        self._store_view = store_view
        self._store_reader = store_reader
        self._pool = pool
        self._reach = reach
        self._crash_guard = crash_guard
        self._server_news = server_news
        self._transport = transport
        self._groups = groups
        self._rollouts = rollouts
        self._reader_choice = ReaderChoice(membership)
        self._sequence = 0
        self._reader_until_s = 0.0
        self.was_reader = self.was_first_reader = False

    @property
    def is_ready(self) -> bool:
        """Whether the node takes requests."""
        has_configuration = self._store_view.configuration is not None
        return (
            has_configuration
            and self._lifecycle.takes_callers
            and not self._lifecycle.is_leaving
        )

    def is_reader(self) -> bool:
        """Whether this node is to read the store, among those it hears."""
        now_s = time.monotonic()
        if now_s < self._reader_until_s:
            return self.was_reader
        self._reader_until_s = now_s + READER_CHOICE_S
        candidate = OwnCandidate(
            self._identity.vm,
            self._identity.failure_domain,
            self._lifecycle.is_leaving,
            self._store_reader.has_fault(now_s),
        )
        rank = self._reader_choice.find_rank(candidate, now_s)
        self.was_reader = rank is not None
        self.was_first_reader = rank == 0
        return self.was_reader

    def next_pulse(self) -> Pulse:
        """Returns a pulse of this node with a new sequence number."""
        self._sequence += 1
        return Pulse(self._identity.incarnation, self._sequence, goes_on=True)

    def next_state(self, *, include_peers: bool = False) -> NodeState:
        """Returns this node's state with a new sequence number.

        Args:
            include_peers: Whether to include the addresses of live peers.
        """
        self._sequence += 1
        now_s = time.monotonic()
        peers = self._membership.live_peers(now_s) if include_peers else ()
        state = NodeState(
            node=self._identity.vm,
            ip=self._identity.ip,
            region=self._identity.region,
            failure_domain=self._identity.failure_domain,
            caller_address=self._identity.caller_address,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            is_ready=self.is_ready,
            is_leaving=self._lifecycle.is_leaving,
            operators_version=self._store_view.operators_version,
            servers_version=self._store_view.servers_version,
            reading_age_s=self._store_reader.reading_age_s(now_s),
            servers_reading_age_s=self._store_reader.servers_reading_age_s(
                now_s
            ),
            has_store_fault=self._store_reader.has_fault(now_s),
            loads=self._pool.load_tracker.loads(),
            moves=self._pool.move_queue.planned,
            interval_s=self._transport.own_interval_s,
            peers=tuple(peer.state.ip for peer in peers),
            quarantine_news=self._crash_guard.news(),
            knows_rollouts=self._rollouts is not None,
            message_level=self._identity.message_level,
            bulk_port=self._transport.bulk.port,
            divided_services=self._groups.news(),
            store_up_age_s=self._store_reader.store_return.up_age_s(now_s),
            store_era=self._store_reader.store_return.era,
        )
        return self._server_news.add_to(state)

    def status(self) -> Status:
        """Returns the node's state for operators."""
        now_s = time.monotonic()
        cfg = self._store_view.configuration
        servers = self._store_view.registry.servers.values()
        return Status(
            vm=self._identity.vm,
            ip=self._identity.ip,
            failure_domain=self._identity.failure_domain,
            incarnation=self._identity.incarnation,
            is_ready=self.is_ready,
            is_leaving=self._lifecycle.is_leaving,
            configuration_version=None if cfg is None else cfg.version,
            operators_version=self._store_view.operators_version,
            reading_age_s=self._store_reader.reading_age_s(now_s),
            open_requests=self._lifecycle.open_requests,
            out_of_service=tuple(sorted(self._store_view.evacuated)),
            backend_servers=tuple(
                known.entry.server_id
                for known in servers
                if not known.entry.is_leaving
            ),
            peers=tuple(
                peer.state.ip for peer in self._membership.live_peers(now_s)
            ),
            unreached_services=self._reach.cut_off,
            brittle_services=tuple(
                news.service for news in self._pool.brittle.news()
            ),
            held_servers=self._pool.holds.held_ids,
            rollouts=self._rollout_stages(),
            blocked_servers={} if cfg is None else self._blocked_servers(cfg),
        )

    def _rollout_stages(self) -> dict[str, str]:
        return {} if self._rollouts is None else self._rollouts.describe()

    def _blocked_servers(self, cfg: Configuration) -> dict[str, str]:
        blocks = self._pool.blocks.find_all(cfg.services.values())
        return {server_id: block.value for server_id, block in blocks.items()}
