"""Composition root of a front node: wires the parts and runs them."""

import asyncio
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.account.counts import RefusalCounts
from savorylift.account.writer import AccountWriter
from savorylift.exchange.budget import BudgetOptions, RetryBudget
from savorylift.exchange.engine_watch import EngineWatch
from savorylift.exchange.generation import Generations
from savorylift.exchange.mover import Mover
from savorylift.exchange.plain_call import PlainCalls
from savorylift.exchange.pool import Pool
from savorylift.exchange.send import Sender
from savorylift.fleet.follower import Follower, Turn
from savorylift.fleet.knowledge import Knowledge
from savorylift.fleet.link import snapshot_handler
from savorylift.fleet.membership import Membership
from savorylift.fleet.registration import Registration
from savorylift.fleet.seal import Seal
from savorylift.fleet.state import Delta, NodeState, Topic
from savorylift.front.caller_door import CallerDoor, DoorOptions
from savorylift.front.early_reload import EarlyReload
from savorylift.front.interface import choose_interface
from savorylift.front.life import Life
from savorylift.front.operator_handler import operator_handler
from savorylift.front.peering import Peering
from savorylift.front.settings import FrontSettings
from savorylift.front.status import Status
from savorylift.front.tasks import Tasks
from savorylift.platform.directory import (
    Addresses,
    Lookup,
    directory_handler,
    readiness_handler,
)
from savorylift.platform.store import (
    SERVERS,
    Record,
    StoreClient,
)
from savorylift.routing.configuration import home_regions
from savorylift.settings_file import SettingsFault
from savorylift.tls import server_context
from savorylift.wire.address import split_address
from savorylift.wire.listener import Listener, answering
from savorylift.wire.message import Request, Response
from savorylift.wire.server_connection import InputLimits

ReadSettings = Callable[[], Result[FrontSettings, tuple[SettingsFault, ...]]]

# Callers keep answers for up to three times this, so a short one follows
# changes of the fleet within seconds.
ENTRY_TTL_S = 1.5
UPKEEP_S = 0.2
INCARNATION_BITS = 48

_log = structlog.get_logger()


class FrontNode:
    """One running node."""

    def __init__(self, cfg: FrontSettings, read: ReadSettings) -> None:
        """Wires the parts; nothing is opened yet.

        Args:
            cfg: Settings to start with.
            read: Reads the settings again, on SIGHUP.
        """
        self._cfg = cfg
        self._read = read
        self._ip, _ = split_address(cfg.caller_listen)
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._sequence = 0
        self._stopped = asyncio.Event()
        self._tasks = Tasks(self.leave)
        rng = random.Random(self._incarnation)
        self._life = Life(cfg.grace_period_s)
        interface = choose_interface(cfg, self._entry_ttl_s)
        self._knowledge = Knowledge(interface.decoders)
        seeds = [split_address(seed)[0] for seed in cfg.seeds]
        self._membership = Membership(self._ip, seeds)
        budget = RetryBudget(
            BudgetOptions(cfg.retry_ratio, cfg.retry_window_s, cfg.retry_slack)
        )
        self._pool = Pool(
            self._knowledge,
            self._membership,
            budget,
            rng,
            lambda: self._peering.link.send_soon(),
            lambda: self._peering.link.interval_s,
            cfg.regions,
        )
        codec = interface.codec
        sender = Sender(codec, self._pool.is_usable)
        self._generations = Generations(
            self._pool, codec, sender, Mover(self._pool), rng
        )
        counts = RefusalCounts(cfg.vm, self._incarnation)
        door = CallerDoor(
            counts,
            self._knowledge,
            self._pool,
            PlainCalls(self._pool, sender),
            self._generations,
            codec,
            self._life,
            DoorOptions(cfg.request_timeout_s, cfg.most_open),
            lambda req: interface.local_answer(req, self._addresses),
        )
        self._store = StoreClient(split_address(cfg.store))
        self._account = AccountWriter(self._store, counts)
        turn = Turn(
            self._is_reader,
            self._others_age_s,
            lambda: self._knowledge.configuration is None,
            lambda: self._peering.link.interval_s,
        )
        self._operators = Follower(
            self._store,
            interface.topic,
            Topic.OPERATORS,
            self._knowledge,
            turn,
            self._on_store_change,
        )
        self._servers = Follower(
            self._store,
            SERVERS,
            Topic.SERVERS,
            self._knowledge,
            turn,
            self._on_store_change,
        )
        self._servers.returned = self._knowledge.registry.expect_lapses
        self._watch = EngineWatch(
            self._knowledge.registry,
            lambda: turn.is_stale(self._own_age_s(time.monotonic())),
            lambda: self._generations.engines,
            self._generations.on_change,
        )
        self._loads = interface.make_load_watch(
            self._knowledge.registry, self._generations.on_change
        )
        self._peering = Peering(
            cfg.peer_port,
            self._membership,
            self._knowledge,
            self._state,
            self._tasks,
            Seal(cfg.peer_keys),
            learned=self._on_learned,
            heard=self._on_heard,
        )
        self._registration = Registration(
            self._store,
            self._membership,
            Record(self._ip, cfg.caller_listen.encode()),
            lambda: self._peering.link.send(to_silent=True),
        )
        self._door = Listener(door.serve, self._limits)
        self._tls = server_context(cfg.caller_tls)

    @property
    def configuration_version(self) -> int | None:
        """Version of the configuration in force; None before the first."""
        cfg = self._knowledge.configuration
        return None if cfg is None else cfg.version

    def leave(self) -> None:
        """Begins to leave, as on SIGTERM."""
        if self._life.leave():
            _log.info("leaving")
            self._door.announce_closing()
            self._peering.tell(None)
        self._stopped.set()

    async def run(self, early: EarlyReload | None = None) -> None:
        """Runs until a signal has ended the node.

        Args:
            early: Notes a reload that was asked for before.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGINT, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if early is not None and early.is_asked:
            self.reload()
        await self._listen()
        _log.info(
            "start",
            incarnation=self._incarnation,
            process=os.getpid(),
            settings=self._cfg.shown(),
        )
        self._tasks.spawn(self._peering.link.run())
        self._tasks.spawn(self._operators.run())
        self._tasks.spawn(self._servers.run())
        self._tasks.spawn(self._keep_up())
        self._tasks.spawn(self._registration.run())
        self._tasks.spawn(self._account.run())
        self._tasks.spawn(self._watch.run())
        if self._loads is not None:
            self._tasks.spawn(self._loads.run())
        await self._stopped.wait()
        await self._life.wait_until_served()
        await self._account.save()
        _log.info("stop", after_s=time.monotonic() - self._life.leaving_s)
        self._door.close()

    async def _listen(self) -> None:
        await self._peering.link.start(self._ip)
        handler = snapshot_handler(self._knowledge.snapshot, self._peering.seal)
        peers = Listener(answering(handler), InputLimits)
        await peers.start(self._ip, self._cfg.peer_port)
        directory = directory_handler(self._resolve)
        await self._serve_short(self._cfg.directory_listen, directory)
        readiness = readiness_handler(lambda: self._is_ready)
        await self._serve_short(self._cfg.readiness_listen, readiness)
        metrics = f"{self._ip}:{self._cfg.metrics_port}"
        await self._serve_short(metrics, operator_handler(self._status))
        await self._door.start(
            *split_address(self._cfg.caller_listen), self._tls
        )

    async def _serve_short(
        self, address: str, handle: Callable[[Request], Awaitable[Response]]
    ) -> None:
        await Listener(answering(handle), InputLimits).start(
            *split_address(address)
        )

    @property
    def _is_ready(self) -> bool:
        has_configuration = self._knowledge.configuration is not None
        return has_configuration and not self._life.is_leaving

    def _limits(self) -> InputLimits:
        cfg = self._knowledge.configuration
        return InputLimits() if cfg is None else cfg.limits

    def _resolve(self, lookup: Lookup) -> Addresses:
        found = self._membership.callers_addresses(
            self._state(),
            lookup.region,
            self._homes(lookup.host),
            time.monotonic(),
        )
        return Addresses(found, self._entry_ttl_s)

    def _addresses(self) -> list[str]:
        """Returns where callers that name no region may connect."""
        return self._membership.callers_addresses(
            self._state(), None, (), time.monotonic()
        )

    @property
    def _entry_ttl_s(self) -> float:
        return min(ENTRY_TTL_S, self._cfg.entry_ttl_max_s)

    def _homes(self, host: str) -> frozenset[str]:
        cfg = self._knowledge.configuration
        return frozenset() if cfg is None else home_regions(cfg, host)

    def _state(self, *, has_peers: bool = False) -> NodeState:
        """Returns the next message to the other nodes."""
        self._sequence += 1
        now_s = time.monotonic()
        peers = self._membership.live(now_s) if has_peers else ()
        faults = (self._operators, self._servers)
        return NodeState(
            node=self._cfg.vm,
            ip=self._ip,
            region=self._cfg.region,
            failure_domain=self._cfg.failure_domain,
            caller_address=self._cfg.caller_listen,
            incarnation=self._incarnation,
            sequence=self._sequence,
            is_ready=self._is_ready,
            is_leaving=self._life.is_leaving,
            operators_version=self._knowledge.operators_version,
            servers_version=self._knowledge.servers_version,
            reading_age_s=self._own_age_s(now_s),
            has_store_fault=any(part.has_fault(now_s) for part in faults),
            loads=self._pool.work.loads(),
            moves=self._pool.move_queue.planned,
            interval_s=self._peering.link.interval_s,
            peers=tuple(heard.state.ip for heard in peers),
        )

    def _own_age_s(self, now_s: float) -> float | None:
        """Returns the age of this node's own reading of both topics."""
        read = (self._operators.read_s, self._servers.read_s)
        if read[0] is None or read[1] is None:
            return None
        return now_s - min(read[0], read[1])

    def _is_reader(self) -> bool:
        return self._membership.is_reader(self._state(), time.monotonic())

    def _others_age_s(self) -> float | None:
        return self._membership.reading_age_s(time.monotonic())

    def _on_learned(self) -> None:
        """Reads the store on from what other nodes have told."""
        self._operators.skip_to(self._knowledge.operators_version)
        self._servers.skip_to(self._knowledge.servers_version[0])
        self._generations.on_change()

    def _on_heard(self) -> None:
        self._pool.move_queue.on_change()
        self._generations.on_change()

    def _on_store_change(self, delta: Delta | None) -> None:
        self._peering.tell(delta)
        self._generations.on_change()

    async def _keep_up(self) -> None:
        """Does what time brings."""
        while True:
            await asyncio.sleep(UPKEEP_S)
            self._membership.forget_silent(time.monotonic())
            if self._knowledge.drop_lapsed():
                self._on_store_change(None)
            else:
                self._generations.on_change()

    def _status(self) -> Status:
        now_s = time.monotonic()
        servers = self._knowledge.registry.known.values()
        return Status(
            vm=self._cfg.vm,
            ip=self._ip,
            failure_domain=self._cfg.failure_domain,
            incarnation=self._incarnation,
            is_ready=self._is_ready,
            is_leaving=self._life.is_leaving,
            configuration_version=self.configuration_version,
            operators_version=self._knowledge.operators_version,
            reading_age_s=self._own_age_s(now_s),
            open_requests=self._life.open_requests,
            out_of_service=tuple(sorted(self._knowledge.evacuated)),
            backend_servers=tuple(
                known.entry.server_id
                for known in servers
                if not known.entry.is_leaving
            ),
            peers=tuple(
                heard.state.ip for heard in self._membership.live(now_s)
            ),
        )

    def reload(self) -> None:
        """Reads the settings again; seeds take effect, others at a start."""
        result = self._read()
        if not is_successful(result):
            faults = [str(fault) for fault in result.failure()]
            _log.error("reload", faults=faults)
            return
        cfg = result.unwrap()
        old, new = self._cfg._asdict(), cfg._asdict()
        changed = sorted(key for key in new if new[key] != old[key])
        now_s = time.monotonic()
        for seed in cfg.seeds:
            self._membership.add_address(split_address(seed)[0], now_s)
        self._cfg = cfg
        _log.info("reload", changed=changed)
