"""Records at which version streams begin, and tells other nodes."""

import asyncio
import contextlib
import functools
import time
from collections.abc import Callable

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.backends.server_start import NO_START
from savorylift.boot_clock import boot_time_s
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.short_streams import ASK_LATE_S, is_short
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.state import UNKNOWN_VERSION, ServerProcess, StreamOrigin
from savorylift.processes.life_report import Life
from savorylift.processes.server_life import ServerLife
from savorylift.wire.channel import Channel

# When a server that is silent, or wants no more requests now, is asked again.
ASK_AGAIN_S = 0.25
# The same at first: other nodes may have shown by then which process it is.
ASK_SOON_S = 0.05
MAX_ASK_AGAIN_S = 2.0
MAX_PERMIT_WAIT_S = 0.5
MAX_ASKING_S = 10.0
# Callers abandon a stream after a pause of two seconds.
SETTLE_TIMEOUT_S = 1.0
# Servers write their entries when they start.
MAX_ENTRY_DELAY_S = 10.0
ENTRY_POLL_S = 0.1
# Callers may be a little late.
RESUME_SLACK_S = 5.0


class StreamBeginnings:
    """Records at which version streams begin, and that they are complete.

    Attributes:
        on_start: Each is called with the connection of a stream and the start
            of the process that began it, in Unix milliseconds, if that isn't
            the start that was known.
    """

    def __init__(
        self, origins: StreamOrigins, server_life: ServerLife, pool: ServerPool
    ) -> None:
        """Creates it without any stream.

        Args:
            origins: Where streams began, as far as nodes know.
            server_life: Finds out whether a server has started again.
            pool: The servers.
        """
        self._origins = origins
        self._server_life = server_life
        self._pool = pool
        self.on_start: list[Callable[[Channel, int], None]] = []

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

    def record_complete(self, run: Run) -> None:
        """Records that a caller has a whole stream."""
        if run.life_check is not None:
            run.life_check.cancel()
        self._origins.forget(run.attempt_id)
        if run.admitted.req.resumes:
            self._origins.forget(run.admitted.req.resumes)

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
                    entry and process_of(entry),
                )
            )


def process_of(entry: ServerEntry, age_s: float = 0.0) -> ServerProcess:
    """Returns the process that an entry was written by, as it was known."""
    return ServerProcess(
        entry.server_id, entry.started_ms, entry.software_version, age_s
    )
