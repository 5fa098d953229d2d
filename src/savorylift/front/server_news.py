"""What nodes tell each other of servers, beside the store's entries."""

import time
from collections.abc import Collection
from typing import NamedTuple

from savorylift.backends.registry import Registry
from savorylift.exchange.notice_recorder import NoticeRecorder, NoticeSource
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.server_reach import ServerReach
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.home_ring import Home
from savorylift.fleet.membership import Membership
from savorylift.fleet.server_sightings import LeavingServer
from savorylift.fleet.state import NodeState
from savorylift.fleet.version_history import VersionHistory
from savorylift.processes.process_witness import ProcessWitness

# Servers that said that they drain, in one state message.
MAX_LEAVING_TOLD = 16


class _HomesBasis(NamedTuple):
    """What the choice of the homes rests on.

    Attributes:
        changes: `Membership.count_changes` at that time.
        is_leaving: Whether this node was draining.
    """

    changes: int
    is_leaving: bool


class _Homes(NamedTuple):
    """Nodes that may hold the origins of streams.

    Attributes:
        staying: Those that stay.
        leaving: Those that drain.
    """

    staying: list[Home]
    leaving: list[Home]


class ServerNews:
    """Adds to this node's messages, and learns from those of others."""

    def __init__(
        self,
        own_home: Home,
        membership: Membership,
        registry: Registry,
        notices: NoticeRecorder,
        pool: ServerPool,
        reach: ServerReach,
        origins: StreamOrigins,
        version_history: VersionHistory,
        witness: ProcessWitness,
    ) -> None:
        """Connects the parts that know of servers.

        Args:
            own_home: This node, as one that may hold origins of streams.
            membership: The other nodes.
            registry: Backend servers, and which of them said that they leave.
            notices: Told which servers leave.
            pool: Which services are brittle, and which servers are on hold.
            reach: Which services this node doesn't reach.
            origins: Where streams began.
            version_history: Software versions that have served lately.
            witness: Which processes live of servers that don't say it.
        """
        self._own_home = own_home
        self._membership = membership
        self._registry = registry
        self._notices = notices
        self._pool = pool
        self._reach = reach
        self._origins = origins
        self._version_history = version_history
        self._witness = witness
        self._next_told = 0
        # Of the homes that were told last; None before the first.
        self._homes_basis: _HomesBasis | None = None

    def add_to(self, state: NodeState) -> NodeState:
        """Returns a state message of this node with the news."""
        now_s = time.monotonic()
        return state._replace(
            version_sightings=self._version_history.sightings(now_s),
            unreached_services=self._reach.cut_off,
            brittle_services=self._pool.brittle.news(),
            leaving_servers=self._leaving_servers(),
            witnessed_processes=self._witness.news(),
            has_version_history=self._version_history.is_complete,
            server_speeds=self._pool.speeds.news(),
        )

    def merge(self, state: NodeState) -> None:
        """Learns from the state message of another node."""
        now_s = time.monotonic()
        self._version_history.merge(state.version_sightings, now_s)
        if state.has_version_history:
            self._version_history.is_complete = True
        self._witness.merge(state.witnessed_processes)
        self._pool.speeds.merge(state.ip, state.server_speeds)
        self._pool.brittle.merge(state.brittle_services)
        self._merge_leaving(state.leaving_servers)

    def _merge_leaving(self, told: Collection[LeavingServer]) -> None:
        """Marks the servers that aren't known to leave yet."""
        if not told:
            return
        marks, servers = self._registry.said_leaving, self._registry.servers
        for server_id, started_ms in told:
            server = servers.get(server_id)
            is_shown = server is None or server.entry.is_leaving
            if marks.get(server_id) != started_ms or not is_shown:
                self._notices.mark_leaving(
                    server_id, started_ms, NoticeSource.NODE
                )

    def update(self, *, is_leaving: bool) -> None:
        """Does what is due; to be called periodically.

        Args:
            is_leaving: Whether this node is draining.
        """
        self._update_homes(is_leaving=is_leaving)
        servers = self._registry.servers.values()
        entries = [server.entry for server in servers]
        self._version_history.observe(entries, time.monotonic())
        self._reach.update()
        self._pool.holds.forget_ended()
        self._pool.speeds.update()

    def hand_over(self) -> None:
        """Tells other nodes what only this one knows, before it stops."""
        self._update_homes(is_leaving=True)
        self._origins.hand_over()

    def _leaving_servers(self) -> tuple[LeavingServer, ...]:
        """Returns what other nodes may not have heard from the store.

        Messages take turns with the servers if they are many.
        """
        found = [
            LeavingServer(server_id, started_ms)
            for server_id, started_ms in self._registry.said_leaving.items()
            if server_id in self._registry.servers
        ]
        if len(found) <= MAX_LEAVING_TOLD:
            return tuple(found)
        first = self._next_told % len(found)
        self._next_told = first + MAX_LEAVING_TOLD
        return tuple((found[first:] + found[:first])[:MAX_LEAVING_TOLD])

    def _update_homes(self, *, is_leaving: bool) -> None:
        """Tells which nodes may hold the origins of streams."""
        now_s = time.monotonic()
        changes = self._membership.count_changes(now_s)
        basis = _HomesBasis(changes, is_leaving)
        if basis != self._homes_basis:
            self._homes_basis = basis
            homes = self._find_homes(now_s, is_leaving=is_leaving)
            self._origins.update_homes(homes.staying, homes.leaving)
        self._origins.update()

    def _find_homes(self, now_s: float, *, is_leaving: bool) -> _Homes:
        """Returns the live nodes, this one included."""
        homes = _Homes([], [])
        own = homes.leaving if is_leaving else homes.staying
        own.append(self._own_home)
        for peer in self._membership.live_peers(now_s):
            state = peer.state
            found = homes.leaving if state.is_leaving else homes.staying
            found.append(Home(state.ip, state.failure_domain))
        return homes
