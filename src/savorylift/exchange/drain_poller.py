"""Polls engines for draining while the store may not tell of it.

Engines may start to drain while the store can't report it. Two nodes poll each
engine, whatever runs it has, and tell the others what it says: a poll by each
node with runs there would be many polls for one answer.
"""

import asyncio
import functools
import time
from collections.abc import Callable, Collection, Iterable

from savorylift.backends.registry import BackendServer, Registry
from savorylift.beat import wait_for_beat
from savorylift.boot_clock import boot_time_s
from savorylift.exchange.notice_recorder import NoticeRecorder, NoticeSource
from savorylift.limits.limit_gate import LimitGate
from savorylift.platform.engine_client import read_notice
from savorylift.rendezvous import rank

# An engine gives about 1.5 s of notice before it stops, and copying a run takes
# up to 0.5 s.
POLL_INTERVAL_S = 0.4
# How often to check for updates of the store, if they may be missing soon.
CHECK_INTERVAL_S = 0.1
# How often to check otherwise, at the beat of the other periodic tasks.
SHARED_INTERVAL_S = 0.2
# Longest time until that beat.
MAX_SHARED_WAIT_S = 1.5 * SHARED_INTERVAL_S
REPORT_TIMEOUT_S = 0.4
# Nodes that poll an engine. The second does so half as often, in case the
# first is lost.
POLLERS = 2


class DrainPoller:
    """Polls the engines of this node's runs during an outage of the store."""

    def __init__(
        self,
        registry: Registry,
        limit_gate: LimitGate,
        notices: NoticeRecorder,
        is_held: Callable[[str], bool],
        get_slack_s: Callable[[], float],
        get_engines: Callable[[], Collection[BackendServer]],
        get_nodes: Callable[[], Iterable[str]],
        own_node: str,
        on_change: Callable[[], None],
    ) -> None:
        """Creates a poller; `run` starts it.

        Args:
            registry: The known servers.
            limit_gate: Holds the limits that engines name.
            notices: Told what engines say of their plans.
            is_held: Returns whether an engine, given by its ID, wants no
                requests.
            get_slack_s: Returns after what time at the earliest the store may
                have sent no updates for too long; 0 or less if it has not.
            get_engines: Returns the engines whose runs can move.
            get_nodes: Returns the addresses of the other live nodes.
            own_node: Address of this node.
            on_change: Called after an engine was marked as draining.
        """
        self._registry = registry
        self._limit_gate = limit_gate
        self._notices = notices
        self._is_held = is_held
        self._get_slack_s = get_slack_s
        self._get_engines = get_engines
        self._get_nodes = get_nodes
        self._own_node = own_node
        self._on_change = on_change
        self._round = 0

    async def run(self) -> None:
        """Polls periodically while the store is unavailable; never returns."""
        while True:
            interval_s = self._find_interval_s()
            await wait_for_beat(
                interval_s, functools.partial(self._has_to_act, interval_s)
            )
            if self._must_poll():
                polled_s = time.monotonic()
                await asyncio.gather(*map(self._poll, self._engines_to_poll()))
                next_s = polled_s + POLL_INTERVAL_S - CHECK_INTERVAL_S
                await asyncio.sleep(max(next_s - time.monotonic(), 0.0))

    def _has_to_act(self, interval_s: float) -> bool:
        """Whether to poll, or to check at another interval from now on."""
        if self._find_interval_s() != interval_s:
            return True
        return interval_s == CHECK_INTERVAL_S and self._must_poll()

    def _must_poll(self) -> bool:
        """Whether the store may have sent no updates for too long."""
        return bool(self._get_engines()) and self._get_slack_s() <= 0

    def _find_interval_s(self) -> float:
        """Returns the interval until the next check."""
        if not self._get_engines():
            # A run may begin at an engine as late after its last poll.
            return POLL_INTERVAL_S
        if self._get_slack_s() > MAX_SHARED_WAIT_S:
            return SHARED_INTERVAL_S
        return CHECK_INTERVAL_S

    def _engines_to_poll(self) -> list[BackendServer]:
        """Returns the engines whose turn it is at this node."""
        self._round += 1
        nodes = [self._own_node, *self._get_nodes()]
        known = self._registry.servers
        engines = [
            known[server.entry.server_id]
            for server in self._get_engines()
            if server.entry.server_id in known
        ]
        return [
            engine
            for engine in engines
            if not engine.entry.is_leaving
            and self._has_turn(engine.entry.server_id, nodes)
        ]

    def _has_turn(self, server_id: str, nodes: Iterable[str]) -> bool:
        pollers = rank(server_id, nodes)[:POLLERS]
        if self._own_node not in pollers:
            return False
        return self._round % (1 + pollers.index(self._own_node)) == 0

    async def _poll(self, server: BackendServer) -> None:
        if self._is_held(server.entry.server_id):
            return
        permit = await self._limit_gate.acquire(
            server, "drain_poll", 0.0, is_probe=True
        )
        if permit is None:
            return
        asked_s = boot_time_s()
        # Streams that wait to know the process need no question of their own.
        notice = await read_notice(
            server.entry.address,
            timeout_s=REPORT_TIMEOUT_S,
            on_start=lambda started_ms: self._limit_gate.record_start(
                server, asked_s, started_ms
            ),
        )
        if self._notices.record(server, notice, NoticeSource.CHECK):
            self._on_change()
