"""Composition root of a front node: creates its parts and runs them."""

import asyncio
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.backends.registry import BackendServer
from savorylift.backends.request_quarantine import RequestQuarantine
from savorylift.exchange import metrics
from savorylift.exchange.crash_guard import CrashGuard
from savorylift.exchange.drain_poller import DrainPoller
from savorylift.exchange.generation import GenerationDispatcher
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.mover import Mover
from savorylift.exchange.origin_log import OriginLog
from savorylift.exchange.plain_call import PlainCallDispatcher
from savorylift.exchange.process_lookup import ProcessLookup
from savorylift.exchange.reach_probe import ReachProbe
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.retry_budget import RetryBudget, RetryBudgetOptions
from savorylift.exchange.send import Sender
from savorylift.exchange.server_check import ServerCheck
from savorylift.exchange.server_life import ServerLife
from savorylift.exchange.server_opener import ServerOpener
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.server_reach import ServerReach
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.exchange.stream_resumption import StreamResumption
from savorylift.fleet import metrics as fleet_metrics
from savorylift.fleet.home_ring import Home
from savorylift.fleet.membership import Membership, Peer
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.permit_issuer import PermitIssuer
from savorylift.fleet.registration import Registration
from savorylift.fleet.state import Delta, NodeState
from savorylift.fleet.store_reader import StoreReader
from savorylift.fleet.store_view import StoreView
from savorylift.fleet.topic_consumer import ReadPolicy
from savorylift.fleet.version_history import VersionHistory
from savorylift.fleet.version_recorder import VersionRecorder
from savorylift.front.caller_directory import MAX_ENTRY_TTL_S, CallerDirectory
from savorylift.front.caller_handler import CallerHandler, CallerHandlerOptions
from savorylift.front.interface import choose_interface
from savorylift.front.lifecycle import Lifecycle
from savorylift.front.node_relay import NodeRelay, peer_connection_handler
from savorylift.front.operator_handler import operator_handler
from savorylift.front.peer_sync import PeerSync
from savorylift.front.reload_signal import ReloadSignal
from savorylift.front.responder import Responder
from savorylift.front.server_news import ServerNews
from savorylift.front.settings import FrontSettings
from savorylift.front.state_reporter import NodeIdentity, StateReporter
from savorylift.front.tasks import BackgroundTasks
from savorylift.platform.directory import (
    directory_handler,
    readiness_handler,
)
from savorylift.platform.engine_client import read_start, read_start_on
from savorylift.platform.store import Record, StoreClient, era_of
from savorylift.refusals.counts import RefusalCounts
from savorylift.refusals.writer import RefusalWriter
from savorylift.routing.configuration import Service
from savorylift.settings_file import SettingsFault
from savorylift.tls import server_context
from savorylift.wire.address import split_address
from savorylift.wire.body_admission import BodyAdmission
from savorylift.wire.body_budget import BodyBudget
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits

SettingsReader = Callable[[], Result[FrontSettings, tuple[SettingsFault, ...]]]

MAINTENANCE_INTERVAL_S = 0.2
# Delay of the event loop that is logged.
LATE_LOOP_S = 0.2
INCARNATION_BITS = 48
# Added to the head of a request that another node hands over.
RELAY_HEAD_BYTES = 1024
# The bodies of requests take at most the VM's memory divided by this. Other
# shares: the program itself, answers, what connections buffer, and gaps between
# pieces of memory.
BODY_MEMORY_DIVISOR = 3
BYTES_PER_MB = 1_000_000
# Time for the last responses before the process ends.
CLOSING_TIMEOUT_S = 0.3

_log = structlog.get_logger()


class FrontNode:
    """One front node of the fleet."""

    def __init__(
        self, settings: FrontSettings, read_settings: SettingsReader
    ) -> None:
        """Creates the parts; opens no socket or connection yet.

        Args:
            settings: Settings to start with.
            read_settings: Reads the settings again on reload.
        """
        self._settings = settings
        self._read_settings = read_settings
        self._ip, _ = split_address(settings.caller_listen)
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._stop_requested = asyncio.Event()
        self._tasks = BackgroundTasks(self.leave)
        rng = random.Random(self._incarnation)
        self._lifecycle = Lifecycle(settings.grace_period_s)
        entry_ttl_s = min(MAX_ENTRY_TTL_S, settings.entry_ttl_max_s)
        interface = choose_interface(settings, entry_ttl_s)
        self._store_view = StoreView(interface.decoders)
        seeds = [split_address(seed)[0] for seed in settings.seeds]
        self._membership = Membership(self._ip, seeds)
        self._caller_directory = CallerDirectory(
            self._membership,
            self._store_view,
            self._next_state,
            entry_ttl_s,
        )
        budget = RetryBudget(
            RetryBudgetOptions(
                settings.retry_ratio,
                settings.retry_window_s,
                settings.retry_slack,
            )
        )
        issuer = PermitIssuer(
            self._ip,
            self._membership,
            lambda: self._lifecycle.is_leaving,
            rng,
        )
        self._limit_gate = LimitGate(
            issuer,
            lambda message, ip: self._peer_sync.transport.send_message(
                message, ip
            ),
            lambda: self._membership.count_sharing_nodes(time.monotonic()),
            lambda: self._peer_sync.transport.message_interval_s,
            lambda server_id: server_id in self._store_view.registry.servers,
            ProcessLookup(
                issuer,
                lambda server_id: self._pool.find_entry(server_id),
                lambda server_id: self._pool.holds.is_held(server_id),
                read_start,
            ),
            rng,
        )
        self._pool = ServerPool(
            self._store_view,
            self._membership,
            budget,
            rng,
            lambda: self._peer_sync.transport.send_soon(),
            lambda: self._peer_sync.transport.message_interval_s,
            settings.regions,
            self._limit_gate,
        )
        self._crash_guard = CrashGuard(
            RequestQuarantine(self._ip),
            self._membership,
            lambda: self._peer_sync.transport.send_soon(),
        )
        codec = interface.codec
        server_check = ServerCheck(
            self._limit_gate,
            self._pool.is_in_service,
            self._pool.holds.is_held,
            read_start_on,
        )
        self._mover = Mover(self._pool, server_check)
        self._reach_probe = ReachProbe(self._limit_gate)
        self._reach = ServerReach(
            self._pool.servers_in_service,
            self._probe_server,
            lambda: self._peer_sync.transport.send_soon(),
            self._pool.load_tracker.remove_request,
            rng,
        )
        version_history = VersionHistory()
        server_life = ServerLife(
            self._limit_gate,
            self._pool.holds.is_held,
            read_start,
            version_history.sole_version,
        )
        sender = Sender(
            codec,
            self._limit_gate,
            server_check,
            ServerOpener(
                self._limit_gate,
                server_life,
                self._reach,
                self._pool.may_send,
            ),
            self._reach,
            self._record_head,
        )
        origins = StreamOrigins(
            self._ip,
            lambda message, ip: self._peer_sync.transport.send_message(
                message, ip
            ),
            rng,
        )
        self._store = StoreClient(split_address(settings.store))
        self._origin_log = OriginLog(
            settings.vm,
            self._store,
            origins,
            version_history,
            lambda: 1 + sum(1 for _ in self._live_peers()),
            self._store_era,
        )
        self._server_news = ServerNews(
            Home(self._ip, settings.failure_domain),
            self._membership,
            self._store_view.registry,
            self._pool,
            self._reach,
            origins,
            version_history,
        )
        self._generations = GenerationDispatcher(
            self._pool,
            codec,
            sender,
            server_check,
            self._mover,
            self._crash_guard,
            StreamResumption(
                origins,
                self._origin_log,
                version_history,
                server_life,
                self._pool,
                self._find_service,
                rng,
            ),
            rng,
        )
        self._admission = BodyAdmission(
            BodyBudget(
                settings.memory_mb * BYTES_PER_MB // BODY_MEMORY_DIVISOR,
                copies=interface.body_copies,
                on_held=metrics.BODIES_HELD.inc,
            ),
            codec.decode_time_left,
            metrics.ANSWERS_CUT.inc,
        )
        metrics.BODY_BYTES.set_function(
            lambda: self._admission.budget.held_bytes
        )
        refusal_counts = RefusalCounts(settings.vm, self._incarnation)
        self._caller_handler = CallerHandler(
            Responder(refusal_counts, self._store_view, codec),
            self._store_view,
            self._pool,
            PlainCallDispatcher(self._pool, sender, self._crash_guard),
            self._generations,
            codec,
            self._lifecycle,
            NodeRelay(
                settings.peer_port, self._membership, self._reach, codec, rng
            ),
            CallerHandlerOptions(
                settings.request_timeout_s, settings.most_open
            ),
            lambda req: interface.answer_locally(
                req, self._caller_directory.all_addresses
            ),
        )
        self._refusal_writer = RefusalWriter(self._store, refusal_counts)
        self._version_recorder = VersionRecorder(
            self._store,
            version_history,
            lambda name: self._find_service(name) is not None,
            lambda: self._reporter.was_reader,
            self._store_era,
        )
        read_policy = ReadPolicy(
            lambda: self._reporter.is_reader(),
            self._peers_reading_age_s,
            lambda: self._store_view.configuration is None,
            lambda: self._peer_sync.transport.reader_interval_s,
        )
        self._store_reader = StoreReader(
            self._store,
            interface.topic,
            self._store_view,
            read_policy,
            self._on_store_change,
            lambda: self._peer_sync.transport.send_soon(),
        )
        self._drain_poller = DrainPoller(
            self._store_view.registry,
            self._limit_gate,
            self._pool.holds.is_held,
            lambda: read_policy.may_miss_notices(
                self._newest_servers_reading_s()
            ),
            lambda: self._generations.engines_with_movable_runs,
            self._generations.on_change,
        )
        self._load_poller = interface.make_load_poller(
            self._store_view.registry, self._generations.on_change
        )
        self._peer_sync: PeerSync = PeerSync(
            self._ip,
            settings.peer_port,
            self._membership,
            self._store_view,
            self._next_state,
            self._tasks,
            MessageAuthenticator(settings.peer_keys),
            lambda: self._reporter.was_reader,
            on_update=self._on_peer_update,
            on_state=self._on_peer_state,
            on_new_peer=self._limit_gate.greet,
            on_limit_message=self._limit_gate.receive,
            on_origin_message=origins.receive,
        )
        self._reporter: StateReporter = StateReporter(
            NodeIdentity(
                settings.vm,
                self._ip,
                settings.region,
                settings.failure_domain,
                settings.caller_listen,
                self._incarnation,
            ),
            self._lifecycle,
            self._membership,
            self._store_view,
            self._store_reader,
            self._pool,
            self._reach,
            self._crash_guard,
            self._server_news,
            self._peer_sync.transport,
        )
        self._registration = Registration(
            self._store,
            self._membership,
            Record(self._ip, settings.caller_listen.encode()),
            lambda: self._peer_sync.transport.send(include_silent=True),
        )
        self._caller_listener = Listener(
            self._caller_handler.serve, self._input_limits, self._admission
        )
        self._caller_tls = server_context(settings.caller_tls)

    @property
    def configuration_version(self) -> int | None:
        """Version of the configuration in use; None before the first."""
        cfg = self._store_view.configuration
        return None if cfg is None else cfg.version

    def leave(self) -> None:
        """Begins draining, as on SIGTERM."""
        if self._lifecycle.leave():
            _log.info("leaving")
            self._caller_listener.close_after_response()
            self._peer_sync.announce(None)
            self._server_news.hand_over()
        self._stop_requested.set()

    async def run(self, reload_signal: ReloadSignal | None = None) -> None:
        """Runs until a signal stops the node and open requests have ended.

        Args:
            reload_signal: Records a SIGHUP that arrived before the call.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGINT, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if reload_signal is not None and reload_signal.is_received:
            self.reload()
        await self._listen()
        _log.info(
            "start",
            incarnation=self._incarnation,
            process=os.getpid(),
            settings=self._settings.redacted(),
        )
        self._tasks.spawn(self._peer_sync.transport.run())
        self._tasks.spawn(self._store_reader.run())
        self._tasks.spawn(self._run_maintenance())
        self._tasks.spawn(self._registration.run())
        self._tasks.spawn(self._refusal_writer.run())
        self._tasks.spawn(self._version_recorder.run())
        self._tasks.spawn(self._origin_log.run())
        self._tasks.spawn(self._drain_poller.run())
        if self._load_poller is not None:
            self._tasks.spawn(self._load_poller.run())
        await self._stop_requested.wait()
        await self._lifecycle.wait_until_drained()
        self._lifecycle.end()
        await self._caller_listener.close_when_served(CLOSING_TIMEOUT_S)
        await asyncio.gather(
            self._refusal_writer.save(),
            self._origin_log.save(),
            self._mover.finish(),
        )
        _log.info(
            "stop", after_s=time.monotonic() - self._lifecycle.leaving_since_s
        )

    async def _listen(self) -> None:
        await self._peer_sync.transport.start(self._ip)
        handler = peer_connection_handler(
            self._peer_sync.snapshot_server.handle,
            self._caller_handler.serve_relayed,
            self._caller_handler.refuse_unreadable,
        )
        peer_listener = Listener(handler, self._peer_limits, self._admission)
        await peer_listener.start(self._ip, self._settings.peer_port)
        directory = directory_handler(self._caller_directory.resolve)
        await self._listen_http(self._settings.directory_listen, directory)
        readiness = readiness_handler(lambda: self._reporter.is_ready)
        await self._listen_http(self._settings.readiness_listen, readiness)
        metrics_address = f"{self._ip}:{self._settings.metrics_port}"
        await self._listen_http(
            metrics_address, operator_handler(self._reporter.status)
        )
        await self._caller_listener.start(
            *split_address(self._settings.caller_listen), self._caller_tls
        )

    async def _listen_http(
        self, address: str, handle: Callable[[Request], Awaitable[Response]]
    ) -> None:
        handler = connection_handler(handle)
        listener = Listener(handler, InputLimits, self._admission)
        await listener.start(*split_address(address))

    def _input_limits(self) -> InputLimits:
        cfg = self._store_view.configuration
        return InputLimits() if cfg is None else cfg.limits

    def _peer_limits(self) -> InputLimits:
        """Returns the limits of requests that other nodes hand over."""
        limits = self._input_limits()
        max_head_bytes = limits.max_head_bytes + RELAY_HEAD_BYTES
        return limits._replace(max_head_bytes=max_head_bytes)

    def _next_state(self, *, include_peers: bool = False) -> NodeState:
        return self._reporter.next_state(include_peers=include_peers)

    def _peers_reading_age_s(self) -> float | None:
        return self._membership.reading_age_s(time.monotonic())

    def _newest_servers_reading_s(self) -> float | None:
        """Returns the age of the newest reading of the servers' entries."""
        now_s = time.monotonic()
        ages = (
            self._store_reader.servers_reading_age_s(now_s),
            self._membership.servers_reading_age_s(now_s),
        )
        return min((a for a in ages if a is not None), default=None)

    def _on_peer_update(self) -> None:
        """Continues reading the store after the records learned from a peer."""
        self._store_reader.skip_known()
        self._generations.on_change()

    def _on_peer_state(self, state: NodeState) -> None:
        self._crash_guard.merge(state.quarantine_news)
        self._server_news.merge(state)
        self._pool.move_queue.on_change()
        self._generations.on_change()

    def _on_store_change(self, delta: Delta | None) -> None:
        self._peer_sync.announce(delta)
        self._generations.on_change()

    async def _run_maintenance(self) -> None:
        """Periodically drops silent peers and expired backend servers."""
        while True:
            due_s = time.monotonic() + MAINTENANCE_INTERVAL_S
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._record_loop_delay(time.monotonic() - due_s)
            self._membership.forget_silent(time.monotonic())
            self._crash_guard.update()
            self._limit_gate.update()
            self._server_news.update(is_leaving=self._lifecycle.is_leaving)
            if self._store_view.drop_expired():
                self._on_store_change(None)
            else:
                self._generations.on_change()

    def _live_peers(self) -> Iterator[Peer]:
        return self._membership.live_peers(time.monotonic())

    def _store_era(self) -> int:
        return era_of(self._store_view.servers_version[0])

    def _find_service(self, name: str) -> Service | None:
        cfg = self._store_view.configuration
        return None if cfg is None else cfg.services.get(name)

    async def _probe_server(self, server: BackendServer) -> bool | None:
        if self._pool.holds.is_held(server.entry.server_id):
            return None
        service = self._find_service(server.entry.service)
        health_path = None if service is None else service.health_path
        return await self._reach_probe.ask(server, health_path)

    def _record_head(self, server: BackendServer, head: AnswerHead) -> None:
        if self._pool.record_head(server, head):
            self._generations.on_change()

    def _record_loop_delay(self, delay_s: float) -> None:
        fleet_metrics.LOOP_DELAY.observe(delay_s)
        if delay_s > LATE_LOOP_S:
            _log.warning("event_loop_late", delay_ms=round(delay_s * 1000))

    def reload(self) -> None:
        """Reads the settings again; only new seeds apply without a restart."""
        result = self._read_settings()
        if not is_successful(result):
            faults = [str(fault) for fault in result.failure()]
            _log.error("reload", faults=faults)
            return
        settings = result.unwrap()
        old, new = self._settings._asdict(), settings._asdict()
        changed = sorted(key for key in new if new[key] != old[key])
        now_s = time.monotonic()
        for seed in settings.seeds:
            self._membership.add_address(split_address(seed)[0], now_s)
        self._settings = settings
        _log.info("reload", changed=changed)
