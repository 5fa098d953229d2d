"""Keeps each stream at the software version that began it.

What two versions write doesn't fit together, and servers don't check who wrote
the events that a caller has.
"""

import asyncio
import contextlib
import functools
import random
import time
from collections.abc import Callable

import structlog
from returns.result import Failure, Result, Success

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.backends.server_start import NO_START
from savorylift.boot_clock import boot_time_s
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.origin_log import OriginLog
from savorylift.exchange.results import Doubt, Refused
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.short_streams import ASK_LATE_S, is_short
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.state import UNKNOWN_VERSION, ServerProcess, StreamOrigin
from savorylift.fleet.version_history import (
    RETENTION_S,
    UNNAMED_VERSION,
    VersionHistory,
)
from savorylift.outcomes import Reason
from savorylift.processes.life_report import Life
from savorylift.processes.server_life import ServerLife
from savorylift.routing.configuration import Service
from savorylift.wire.channel import Channel

# Nodes that did not reply, or that were lost with what they held, may be back.
UNKNOWN_RETRY_S = 1.0
# A server that crashed is back within seconds, with the version that it had.
VERSION_GONE_RETRY_S = 2.0
# When a server that is silent, or wants no more requests now, is asked again.
ASK_AGAIN_S = 0.25
# The same at first: other nodes may have shown by then which process it is.
ASK_SOON_S = 0.05
MAX_ASK_AGAIN_S = 2.0
MAX_PERMIT_WAIT_S = 0.5
MAX_PROOF_WAIT_S = 1.2
MAX_ASKING_S = 10.0
# Callers abandon a stream after a pause of two seconds.
SETTLE_TIMEOUT_S = 1.0
# Servers write their entries when they start.
MAX_ENTRY_DELAY_S = 10.0
ENTRY_POLL_S = 0.1
# By then a node hears the others.
MIN_UPTIME_S = 2.0
# How long a take-up waits for that.
MAX_START_WAIT_S = 1.0
START_POLL_S = 0.25
# Bounds what a take-up of unknown origin costs in a large service.
MAX_SERVERS_ASKED = 32
# Callers may be a little late.
RESUME_SLACK_S = 5.0
DOUBTS = {
    Life.OTHER: Doubt.OTHER,
    Life.SILENT: Doubt.SILENT,
    Life.NOT_ASKED: Doubt.NOT_ASKED,
    Life.UNSOUND: Doubt.OTHER,
    Life.UNSHOWN: Doubt.OTHER,
}

_log = structlog.get_logger()


class StreamResumption:
    """Finds out at which version a resumed stream began, and records it.

    Attributes:
        on_start: Each is called with the connection of a stream and the start
            of the process that began it, in Unix milliseconds, if that isn't
            the start that was known.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        origin_log: OriginLog,
        history: VersionHistory,
        server_life: ServerLife,
        pool: ServerPool,
        find_service: Callable[[str], Service | None],
        rng: random.Random,
    ) -> None:
        """Creates it without any stream.

        Args:
            origins: Where streams began, as far as nodes know.
            origin_log: The same, as far as the store knows.
            history: Software versions that have served lately.
            server_life: Finds out whether a server has started again.
            pool: The servers.
            find_service: Returns a configured service by its name.
            rng: Draws the servers to ask in a large service.
        """
        self._origins = origins
        self._origin_log = origin_log
        self._history = history
        self._server_life = server_life
        self._pool = pool
        self._find_service = find_service
        self._rng = rng
        self._created_s = time.monotonic()
        self.on_start: list[Callable[[Channel, int], None]] = []

    async def bind(
        self, admitted: AdmittedRequest
    ) -> Result[AdmittedRequest, Refused]:
        """Binds a request that resumes a stream to the version that began it.

        Returns:
            The request, unchanged if it begins a stream; the refusal if the
            version isn't known or has no server.
        """
        req = admitted.req
        if not admitted.route.can_resume or (
            req.resumes is None and req.resume_after is None
        ):
            return Success(admitted)
        origin = await self._find_origin_of_start(admitted)
        bound = self._bind(admitted, origin)
        doubt = await self._find_doubt(bound, origin)
        if doubt is not None and origin is None:
            bound = bound._replace(software_version=None)
        has_server = doubt is None and self._pool.choice.has_server(bound, ())
        _log.info(
            "stream_taken_up",
            request=req.attempt_id,
            resumes=req.resumes,
            after=req.resume_after,
            service=bound.service.name,
            software_version=bound.software_version,
            is_origin_known=origin is not None,
            is_origin_certain=origin is not None and origin.is_certain,
            is_history_complete=self._history.is_complete,
            has_server=has_server,
            doubt=doubt and doubt.value,
        )
        if doubt is not None:
            return Failure(_stream_unknown(doubt))
        if origin is not None and _has_other_model(bound, origin):
            return Failure(_model_gone())
        return Success(bound) if has_server else Failure(version_gone())

    def record_begin(self, run: Run) -> None:
        """Records the version of a stream whose first event is passed on."""
        assert run.server is not None
        if run.has_begun:
            self._record_origin(run)
            return
        run.bind_version(UNKNOWN_VERSION)
        assert run.channel is not None
        run.life_check = asyncio.get_running_loop().create_task(
            self._verify(run, run.server, run.channel)
        )

    async def settle(self, run: Run) -> None:
        """Waits a moment until it is known which version began a stream."""
        if run.life_check is not None:
            await asyncio.wait((run.life_check,), timeout=SETTLE_TIMEOUT_S)

    async def _verify(
        self, run: Run, server: BackendServer, channel: Channel
    ) -> None:
        """Binds a stream to the version of its server, once that is known.

        Until then no server may continue it. For a short stream the server is
        asked later, since most have ended by then.
        """
        begun_s = boot_time_s()
        if is_short(run):
            self._record_origin(run, server.entry)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ASK_LATE_S):
                    await channel.peer_closed.wait()
        entry = await self._find_entry(run, server, channel, begun_s)
        if entry is not None:
            run.bind_version(entry.software_version)
            self._record_origin(run)

    async def _find_entry(
        self,
        run: Run,
        server: BackendServer,
        channel: Channel,
        begun_s: float,
    ) -> ServerEntry | None:
        """Returns the entry of the process that began a stream, if it's known.

        A process that has answered has begun the streams whose connections
        are still open. `begun_s` is the boot time at which this one had begun.
        """
        until_s = time.monotonic() + MAX_ASKING_S
        pause_s = ASK_SOON_S
        while True:
            # While the stream is sound, what other requests to a limited server
            # leave is enough.
            ask = functools.partial(
                self._server_life.check,
                server,
                run.attempt_id,
                0.0 if channel.is_open else MAX_PERMIT_WAIT_S,
                is_probe=channel.is_open,
                channel=channel,
            )
            report = await ask(since_s=begun_s)
            if report.life is Life.OTHER:
                report = await ask(must_ask=True)
            if self._server_life.is_of_entry(server, report.life):
                return server.entry
            # Others must not take it for a stream of a version that they know.
            is_other = report.started_ms is not None
            self._record_origin(run, None if is_other else server.entry)
            if report.started_ms is not None:
                # What else arrived with the answer is handled first.
                await asyncio.sleep(0)
                if not channel.is_open:
                    return None
                for listener in self.on_start:
                    listener(channel, report.started_ms)
                return await self._read_entry(server, report.started_ms)
            if report.life is Life.UNSHOWN:
                server = self._find_newer(server)
            has_start = server.entry.started_ms != NO_START
            if not has_start or time.monotonic() >= until_s:
                return None
            await self._wait_for_break(channel, pause_s)
            pause_s = max(2 * pause_s, ASK_AGAIN_S)
            pause_s = min(pause_s, MAX_ASK_AGAIN_S)

    def _find_newer(self, server: BackendServer) -> BackendServer:
        """Returns the newest entry of a server at its address."""
        newest = self._pool.find_server(server.entry.server_id)
        if newest is None or newest.entry.address != server.entry.address:
            return server
        return newest

    async def _wait_for_break(self, channel: Channel, pause_s: float) -> None:
        """Waits before a server is asked again; less if its stream breaks."""
        until_s = time.monotonic() + pause_s
        await asyncio.sleep(min(pause_s, ASK_AGAIN_S))
        while channel.is_open and time.monotonic() < until_s:
            await asyncio.sleep(ASK_AGAIN_S)

    async def _read_entry(
        self, server: BackendServer, started_ms: int
    ) -> ServerEntry | None:
        """Waits for the entry of a process; returns None if none comes."""
        until_s = time.monotonic() + MAX_ENTRY_DELAY_S
        while time.monotonic() < until_s:
            entry = self._pool.find_entry(server.entry.server_id)
            if entry is not None and entry.started_ms >= started_ms:
                return entry if entry.started_ms == started_ms else None
            await asyncio.sleep(ENTRY_POLL_S)
        return None

    def _record_origin(
        self, run: Run, entry: ServerEntry | None = None
    ) -> None:
        """Tells other nodes where a stream began.

        Args:
            run: The run.
            entry: If its version isn't known yet, the entry that was known as
                it began.
        """
        admitted = run.admitted
        req = admitted.req
        if not admitted.route.can_resume or req.wants_single_response:
            return
        deadline_s = admitted.deadline_s
        if req.time_left_s is not None:
            deadline_s = max(deadline_s, req.arrived_s + req.time_left_s)
        for attempt_id in {req.attempt_id, req.resumes or req.attempt_id}:
            self._origins.record(
                StreamOrigin(
                    attempt_id,
                    admitted.service.name,
                    admitted.software_version or "",
                    deadline_s - time.monotonic() + RESUME_SLACK_S,
                    admitted.service.model_version or "",
                    entry and _process(entry),
                )
            )

    def record_complete(self, run: Run) -> None:
        """Records that a caller has a whole stream."""
        if run.life_check is not None:
            run.life_check.cancel()
        self._origins.forget(run.attempt_id)
        if run.admitted.req.resumes:
            self._origins.forget(run.admitted.req.resumes)

    def is_version_gone(self, run: Run) -> bool:
        """Whether no server may continue a stream that has begun."""
        return run.has_begun and not self._pool.choice.has_server(
            run.admitted, ()
        )

    async def _find_origin_of_start(
        self, admitted: AdmittedRequest
    ) -> StreamOrigin | None:
        """Returns the same as `_find_origin`; waits if the node just started.

        It hears the nodes that may know one after the other.
        """
        until_s = time.monotonic() + MAX_START_WAIT_S
        while True:
            origin = await self._find_origin(admitted)
            now_s = time.monotonic()
            is_started = now_s - self._created_s >= MIN_UPTIME_S
            if origin is not None or is_started or now_s >= until_s:
                return origin
            if not admitted.req.resumes or self._is_unnamed(admitted):
                return None
            await asyncio.sleep(START_POLL_S)

    def _is_unnamed(self, admitted: AdmittedRequest) -> bool:
        """Whether the servers of a service name no versions."""
        version = self._history.sole_version(admitted.service.name)
        return version == UNNAMED_VERSION

    async def _find_origin(
        self, admitted: AdmittedRequest
    ) -> StreamOrigin | None:
        """Returns where a resumed stream began; None if nobody knows."""
        attempt_id = admitted.req.resumes
        if not attempt_id:
            return None
        origin = await self._origins.find(attempt_id)
        if origin is not None and not origin.is_certain:
            origin = await self._prove(admitted, origin)
        if origin is not None and origin.is_certain:
            return origin
        if self._is_unnamed(admitted):
            return origin
        is_sole = self._history.sole_version(admitted.service.name) is not None
        if is_sole and not self._has_restarted(admitted):
            return origin
        return await self._origin_log.find(attempt_id) or origin

    async def _prove(
        self, admitted: AdmittedRequest, origin: StreamOrigin
    ) -> StreamOrigin:
        """Returns the origin of a stream, with its version if that shows.

        If the process whose entry was known as the stream began still answers,
        no other one can have begun it.
        """
        process = origin.process
        if process is None:
            return origin
        server = self._pool.find_server(process.server_id)
        if server is None or _process(server.entry, process.age_s) != process:
            return origin
        report = await self._server_life.check(
            server,
            admitted.req.attempt_id,
            MAX_PROOF_WAIT_S,
            is_probe=False,
            since_s=boot_time_s() - process.age_s,
        )
        if report.life is not Life.SAME:
            return origin
        return origin._replace(software_version=server.entry.software_version)

    async def _find_doubt(
        self, admitted: AdmittedRequest, origin: StreamOrigin | None
    ) -> Doubt | None:
        """Returns why the version that began a stream isn't known, if so."""
        if admitted.software_version == UNKNOWN_VERSION:
            return Doubt.UNCERTAIN
        if admitted.software_version is None:
            return Doubt.UNKNOWN
        return await self._find_unread(admitted) if origin is None else None

    async def _find_unread(self, admitted: AdmittedRequest) -> Doubt | None:
        """Returns why a process without a read entry may have begun a stream.

        Either it still serves, or another one has taken its place meanwhile.
        A node that has just started can't ask those that may know.
        """
        if admitted.software_version == UNNAMED_VERSION:
            return None
        now_s = time.monotonic()
        if now_s - self._created_s < MIN_UPTIME_S:
            return Doubt.STARTED
        if self._has_restarted(admitted):
            return Doubt.RESTARTED
        service = admitted.service.name
        servers = self._pool.servers_in_service(service)
        asked = self._rng.sample(servers, min(len(servers), MAX_SERVERS_ASKED))
        request = admitted.req.attempt_id
        reports = await asyncio.gather(
            *(
                self._server_life.check(
                    server, request, MAX_PROOF_WAIT_S, is_probe=False
                )
                for server in asked
            )
        )
        # Entries may be newer than the history, and read meanwhile.
        if self._has_restarted(admitted):
            return Doubt.RESTARTED
        versions = {
            server.entry.software_version
            for server in (*servers, *self._pool.servers_in_service(service))
        }
        if versions != {admitted.software_version}:
            return Doubt.READ
        doubts = [DOUBTS[r.life] for r in reports if r.life in DOUBTS]
        return doubts[0] if doubts else None

    def _has_restarted(self, admitted: AdmittedRequest) -> bool:
        """Whether a server has started again since a stream could begin."""
        service = admitted.service.name
        now_s = time.monotonic()
        entries = [
            server.entry for server in self._pool.servers_in_service(service)
        ]
        self._history.note_starts(entries, now_s)
        max_age_s = (admitted.route.timeout_s or RETENTION_S) + RESUME_SLACK_S
        return self._history.has_restarted(service, now_s - max_age_s)

    def _bind(
        self, admitted: AdmittedRequest, origin: StreamOrigin | None
    ) -> AdmittedRequest:
        if origin is None:
            version = self._history.sole_version(admitted.service.name)
            return admitted._replace(software_version=version)
        targets = {target.service for target in admitted.route.targets}
        service = self._find_service(origin.service)
        if service is None or origin.service not in targets:
            return admitted
        return admitted._replace(
            service=service, software_version=origin.software_version
        )


def _has_other_model(admitted: AdmittedRequest, origin: StreamOrigin) -> bool:
    """Whether the model has another version than when a stream began."""
    if not origin.model_version:
        return False
    return origin.model_version != admitted.service.model_version


def _model_gone() -> Refused:
    message = (
        "The model has another version than when this stream began;"
        " the request did not run."
    )
    return Refused(503, Reason.VERSION_GONE, message)


def _process(entry: ServerEntry, age_s: float = 0.0) -> ServerProcess:
    return ServerProcess(
        entry.server_id, entry.started_ms, entry.software_version, age_s
    )


def _stream_unknown(doubt: Doubt) -> Refused:
    message = (
        "It isn't known which software version began this stream;"
        " the request did not run."
    )
    return Refused(
        503, Reason.STREAM_UNKNOWN, message, UNKNOWN_RETRY_S, doubt=doubt
    )


def version_gone() -> Refused:
    """Returns the refusal of a stream whose version has no server."""
    message = (
        "No server of the software version that began this stream is left;"
        " the request did not run."
    )
    return Refused(503, Reason.VERSION_GONE, message, VERSION_GONE_RETRY_S)
