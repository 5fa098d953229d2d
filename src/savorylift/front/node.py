"""Composition root of a front node: creates its parts and runs them."""

import asyncio
import functools
import os
import time
from collections.abc import Callable, Coroutine, Iterator

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange.request import AnswerHead
from savorylift.fleet.limit_messages import LimitMessage
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.move_messages import MoveMessage
from savorylift.fleet.origin_messages import OriginMessage
from savorylift.fleet.rollout_messages import RolloutMessage
from savorylift.fleet.room_messages import RoomMessage
from savorylift.fleet.state import NodeState
from savorylift.fleet.store_records import Delta
from savorylift.front.caller_parts import make_caller_parts
from savorylift.front.listeners import Listeners
from savorylift.front.maintenance import Maintenance
from savorylift.front.openings import message_openings, open_all
from savorylift.front.peer_sync import PeerSync
from savorylift.front.reload_signal import ReloadSignal
from savorylift.front.rollout_parts import make_rollout_agent
from savorylift.front.server_parts import make_server_parts
from savorylift.front.settings import FrontSettings
from savorylift.front.settings_reload import SettingsReader, SettingsReload
from savorylift.front.shared_parts import make_shared_parts
from savorylift.front.signals import handle_signals
from savorylift.front.state_reporter import StateReporter
from savorylift.front.store_parts import ReaderRole, make_store_parts
from savorylift.front.stream_parts import make_stream_parts
from savorylift.front.tasks import (
    BackgroundTasks,
    log_callback_failures,
    run_all,
    run_step,
)
from savorylift.processes.successor_check import SuccessorCheck

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

        Raises:
            OSError: A TLS file can't be read.
        """
        self._settings = settings
        self._stop_requested = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._shared = make_shared_parts(settings)
        self._reload = SettingsReload(
            settings, read_settings, self._shared.membership
        )
        self._peer_sync = self._make_peer_sync()
        transport = self._peer_sync.transport
        self._servers = make_server_parts(
            self._shared, transport, self._on_head
        )
        self._reach = self._servers.reach
        self._streams = make_stream_parts(
            self._shared, self._servers, transport
        )
        self._successors = SuccessorCheck(
            self._shared.store_view.registry,
            self._servers.life,
            self._servers.pool.holds.is_held,
            self._tasks.spawn,
            self._streams.generations.on_change,
        )
        self._store = make_store_parts(
            self._shared,
            self._servers,
            self._streams.generations,
            transport,
            ReaderRole(self._is_reader, self._was_reader, self._was_first),
            self._on_store_change,
        )
        self._reporter = StateReporter(
            self._shared.identity,
            self._shared.lifecycle,
            self._shared.membership,
            self._shared.store_view,
            self._store.reader,
            self._servers.pool,
            self._reach,
            self._servers.crash_guard,
            self._streams.server_news,
            transport,
            self._streams.rooms.groups,
            self._servers.rollouts.board,
        )
        self._rollouts = make_rollout_agent(
            self._shared,
            self._servers,
            transport,
            lambda: self._store.reader.has_fault(time.monotonic()),
        )
        self._callers = make_caller_parts(
            self._shared,
            self._servers,
            self._streams.generations,
            self._reporter.next_state,
        )
        self._admission = self._callers.admission
        self._listeners = Listeners(
            self._shared,
            self._callers,
            self._reporter,
            self._peer_sync.snapshot_server.handle,
        )
        self._maintenance = Maintenance(
            self._shared,
            self._servers,
            self._streams,
            self._successors,
            lambda: self._on_store_change(None),
            self._watch_peers,
            self._rollouts,
        )

    def _make_peer_sync(self) -> PeerSync:
        """Creates the part that most others send messages with.

        What it receives is for these others, which are made after it: hence
        methods of this node, called once it runs.
        """
        return PeerSync(
            self._shared.identity.ip,
            self._settings.peer_port,
            self._shared.membership,
            self._shared.store_view,
            self._next_state,
            self._tasks,
            MessageAuthenticator(self._settings.peer_keys),
            self._was_reader,
            on_update=self._on_peer_update,
            on_state=self._on_peer_state,
            on_news=self._on_peer_news,
            on_new_peer=self._on_new_peer,
            on_limit_message=self._on_limit_message,
            on_origin_message=self._on_origin_message,
            on_rollout_message=self._on_rollout_message,
            on_room_message=self._on_room_message,
            own_level=self._shared.identity.message_level,
            has_waiting=self._has_waiting,
        )

    @property
    def configuration_version(self) -> int | None:
        """Version of the configuration in use; None before the first."""
        cfg = self._shared.store_view.configuration
        return None if cfg is None else cfg.version

    def leave(self) -> None:
        """Begins draining, as on SIGTERM."""
        self._stop_requested.set()
        if self._shared.lifecycle.leave():
            _log.info("leaving")
            run_step(self._listeners.close_after_response)
            run_step(functools.partial(self._peer_sync.announce, None))
            run_step(self._streams.server_news.hand_over)

    def reload(self) -> None:
        """Reads the settings again; only new seeds apply without a restart."""
        self._reload.reload()

    async def run(self, reload_signal: ReloadSignal | None = None) -> None:
        """Runs until a signal stops the node and open requests have ended.

        Args:
            reload_signal: Records a SIGHUP that arrived before the call.
        """
        log_callback_failures()
        handle_signals(self.leave, self.reload, reload_signal)
        transport = self._peer_sync.transport
        openings = (
            *message_openings(transport, self._settings, self._tasks),
            *self._listeners.openings(),
        )
        held = await open_all(openings, self._tasks)
        _log.info(
            "start",
            held=held,
            incarnation=self._shared.identity.incarnation,
            process=os.getpid(),
            settings=self._settings.redacted(),
        )
        for run in self._background_runs():
            self._tasks.keep_running(run)
        await self._stop_requested.wait()
        await self._end()

    def _background_runs(
        self,
    ) -> Iterator[Callable[[], Coroutine[object, object, None]]]:
        """Yields what runs until the process ends."""
        yield self._peer_sync.transport.run
        yield from self._store.reader.runs()
        yield self._maintenance.run
        yield self._store.registration.run
        yield self._callers.refusal_writer.run
        yield self._store.version_recorder.run
        yield self._streams.origin_log.run
        yield self._store.drain_poller.run
        if self._rollouts is not None:
            yield self._rollouts.run
        if self._store.load_poller is not None:
            yield self._store.load_poller.run

    async def _end(self) -> None:
        lifecycle = self._shared.lifecycle
        await lifecycle.wait_until_drained()
        lifecycle.end()
        await self._listeners.close_when_served()
        await run_all(
            self._callers.refusal_writer.save,
            self._streams.origin_log.save,
            self._streams.mover.finish,
        )
        _log.info("stop", after_s=time.monotonic() - lifecycle.leaving_since_s)

    def _has_waiting(self) -> bool:
        """Whether requests of this node or of others wait for room here."""
        is_keeping = self._streams.rooms.keeper.is_keeping
        return is_keeping or self._streams.generations.has_waiting

    def _watch_peers(self) -> None:
        self._peer_sync.read_waiting()
        domain = self._shared.identity.failure_domain
        self._peer_sync.watch.update(domain, self._reporter.next_pulse())

    def _next_state(self, *, include_peers: bool = False) -> NodeState:
        return self._reporter.next_state(include_peers=include_peers)

    def _is_reader(self) -> bool:
        return self._reporter.is_reader()

    def _was_reader(self) -> bool:
        return self._reporter.was_reader

    def _was_first(self) -> bool:
        return self._reporter.was_first_reader

    def _on_new_peer(self, ip: str) -> None:
        self._servers.limit_gate.greet(ip)
        if self._rollouts is not None:
            self._rollouts.greet(ip)

    def _on_limit_message(self, message: LimitMessage, ip: str) -> None:
        self._servers.limit_gate.receive(message, ip)

    def _on_origin_message(self, message: OriginMessage, ip: str) -> None:
        self._streams.origins.receive(message, ip)

    def _on_rollout_message(self, message: RolloutMessage) -> None:
        if self._rollouts is not None:
            self._rollouts.receive(message)

    def _on_room_message(
        self, message: RoomMessage | MoveMessage, ip: str
    ) -> None:
        self._streams.receive(message, ip)

    def _on_peer_update(self) -> None:
        """Continues reading the store after the records learned from a peer."""
        self._store.reader.skip_known()
        self._successors.update()
        self._streams.generations.on_change()

    def _on_peer_state(self, state: NodeState) -> None:
        self._servers.crash_guard.merge(state.quarantine_news)
        self._streams.hear(state)

    def _on_peer_news(self) -> None:
        self._servers.pool.move_queue.on_change()
        self._streams.generations.on_change()

    def _on_store_change(self, delta: Delta | None) -> None:
        self._peer_sync.announce(delta)
        self._successors.update()
        self._streams.generations.on_change()

    def _on_head(self, server: BackendServer, head: AnswerHead) -> None:
        if self._servers.notices.record_head(server, head):
            self._streams.generations.on_change()
