"""Moves runs from an engine that is leaving to another one.

The memory is copied while the run goes on; only then the run stops, for what
came since. So the caller sees a pause of a few events at most. Copies of all
nodes share the engine's link, so they go one after another.
"""

import asyncio
import time

import structlog
from returns.pipeline import is_successful

from savorylift.backends.registry import Known
from savorylift.exchange import counters
from savorylift.exchange.pool import Pool
from savorylift.exchange.request import Continuation
from savorylift.exchange.run import NextPart, Run
from savorylift.placement.engines import EngineOptions
from savorylift.placement.move_order import PlannedMove, copy_time_s
from savorylift.platform.engine import (
    Copied,
    MoveError,
    MoveFault,
    copy_run,
    drop_copy,
)

# An engine is gone about two seconds after its notice.
NOTICE_S = 2.5
# A run that has not begun can't be copied yet.
BEGIN_RETRY_S = 0.08
# Runs that end elsewhere free memory for a copy within this time.
NO_ROOM_RETRY_S = 0.15
# A copy that takes this much longer than the links need shares them with
# others; then the run goes on while its last part becomes small.
CONTENDED = 1.3
CONTENDED_SLACK_S = 0.03
SHORT_COPY_S = 0.1
MORE_COPIES = 3
DESTINATIONS = 3
DROP_S = 0.5
# Nodes that move runs off one engine should not all choose the same other.
JITTER = 0.1
# Copies to another failure domain take twice as long.
MOVE_FAR_COST = 0.3

_log = structlog.get_logger()


class Mover:
    """Copies a run's memory ahead, stops it, and says where it goes on."""

    def __init__(self, pool: Pool) -> None:
        """Chooses destinations from the pool."""
        self._pool = pool
        self._drops: set[asyncio.Task[bool]] = set()

    async def move(self, run: Run) -> NextPart | None:
        """Returns where the stopped run goes on; None if it stays."""
        source = run.server
        assert source is not None
        until_s = time.monotonic() + NOTICE_S
        while True:
            planned = PlannedMove(
                source.entry.server_id, run.memory_tokens, run.attempt_id
            )
            async with self._pool.move_queue.turn(planned):
                result = await self._move_in_turn(run, source, until_s)
            if isinstance(result, NextPart):
                counters.MOVES.labels("moved").inc()
                return result
            if result is not MoveFault.NO_ROOM:
                break
            if time.monotonic() + NO_ROOM_RETRY_S > until_s:
                break
            await asyncio.sleep(NO_ROOM_RETRY_S)
        counters.MOVES.labels("failed").inc()
        _log.warning(
            "move_failed",
            request=run.attempt_id,
            server=source.entry.server_id,
            fault=result.value,
        )
        return None

    async def _move_in_turn(
        self, run: Run, source: Known, until_s: float
    ) -> NextPart | MoveFault:
        tried = {source.entry.server_id}
        fault = MoveFault.NO_ROOM
        for _ in range(DESTINATIONS):
            destination = self._choose(run, tried)
            if destination is None:
                break
            tried.add(destination.entry.server_id)
            result = await self._move_to(run, source, destination, until_s)
            if isinstance(result, NextPart):
                return result
            fault = result
            if time.monotonic() > until_s:
                break
        return fault

    def drop(self, part: NextPart) -> None:
        """Frees the copy of a run that doesn't go on.

        The source frees both ends; the destination is asked as well, since
        the source may be gone.
        """
        copy = part.continuation
        for address in {copy.source, part.server.entry.address}:
            task = asyncio.get_running_loop().create_task(
                drop_copy(address, copy.handle, timeout_s=DROP_S)
            )
            self._drops.add(task)
            task.add_done_callback(self._drops.discard)

    def _choose(self, run: Run, tried: set[str]) -> Known | None:
        engine = run.adm.service.engine
        assert engine is not None
        assert run.server is not None
        options = EngineOptions(
            engine,
            run.tokens,
            near=run.server.entry.failure_domain,
            far_cost=MOVE_FAR_COST,
            jitter=JITTER,
        )
        # Copies from several engines to one would share its link.
        taken = tried | self._pool.move_queue.destinations()
        return self._pool.find_engine(
            run.adm, options, taken
        ) or self._pool.pick_refuge(run.adm, options, tried)

    async def _move_to(
        self, run: Run, source: Known, destination: Known, until_s: float
    ) -> NextPart | MoveFault:
        name = f"{run.attempt_id}/copy"
        server_id = destination.entry.server_id
        self._pool.move_queue.set_destination(run.attempt_id, server_id)
        self._pool.work.begin(server_id, name, run.tokens)
        part: NextPart | None = None
        is_done = False
        try:
            began_s = time.monotonic()
            copied = await self._copy_begun(run, source, destination, until_s)
            if isinstance(copied, MoveError):
                return copied.fault
            part = _part(source, destination, copied.handle)
            took_s = time.monotonic() - began_s
            if is_contended(run, source, destination, took_s):
                await self._copy_until_short(run, source, destination, until_s)
            last = await self._copy(
                run, source, destination, until_s, stops_run=True
            )
            part = _after_last_copy(last, part)
            is_done = True
            self._log_moved(run, part)
            return part
        finally:
            self._pool.work.end(server_id, name)
            if part is not None and not is_done:
                self.drop(part)

    async def _copy_begun(
        self, run: Run, source: Known, destination: Known, until_s: float
    ) -> Copied | MoveError:
        """Makes the first copy, as soon as the run has begun."""
        while True:
            copied = await self._copy(run, source, destination, until_s)
            if isinstance(copied, Copied):
                return copied
            is_over = time.monotonic() > until_s
            if copied.fault is not MoveFault.NO_SUCH_RUN or is_over:
                return copied
            await asyncio.sleep(BEGIN_RETRY_S)

    async def _copy_until_short(
        self, run: Run, source: Known, destination: Known, until_s: float
    ) -> None:
        """Copies what is new until that takes no time worth mentioning."""
        for _ in range(MORE_COPIES):
            began_s = time.monotonic()
            await self._copy(run, source, destination, until_s)
            if time.monotonic() - began_s < SHORT_COPY_S:
                return

    async def _copy(
        self,
        run: Run,
        source: Known,
        destination: Known,
        until_s: float,
        *,
        stops_run: bool = False,
    ) -> Copied | MoveError:
        began_s = time.monotonic()
        result = await copy_run(
            source.entry.address,
            destination.entry.address,
            run.attempt_id,
            stops_run=stops_run,
            timeout_s=max(until_s - began_s, 0.01),
        )
        copied = result.unwrap() if is_successful(result) else result.failure()
        _log.info(
            "copied",
            request=run.attempt_id,
            source=source.entry.server_id,
            destination=destination.entry.server_id,
            stops_run=stops_run,
            outcome=(
                "ok" if isinstance(copied, Copied) else copied.fault.value
            ),
            events=copied.events if isinstance(copied, Copied) else None,
            last_event=run.last_event,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )
        return copied

    def _log_moved(self, run: Run, part: NextPart) -> None:
        _log.info(
            "moved",
            request=run.attempt_id,
            source=part.source.entry.server_id,
            destination=part.server.entry.server_id,
        )


def _part(source: Known, server: Known, handle: str) -> NextPart:
    copy = Continuation(source.entry.address, handle)
    return NextPart(server, source, copy)


def _after_last_copy(last: Copied | MoveError, earlier: NextPart) -> NextPart:
    """Returns where a run goes on after the copy that should stop it.

    An engine that does not answer may be gone: then the run goes on from the
    earlier copy, and its new engine reads what that lacks.
    """
    if isinstance(last, Copied):
        return _part(earlier.source, earlier.server, last.handle)
    if last.handle is not None:
        # The run stopped without a copy: it goes on where it was.
        return _part(earlier.source, earlier.source, last.handle)
    return earlier


def is_contended(
    run: Run, source: Known, destination: Known, took_s: float
) -> bool:
    """Whether a first copy took longer than its links alone need."""
    engine = run.adm.service.engine
    if engine is None or engine.link_bytes_per_s <= 0:
        return False
    is_far = source.entry.failure_domain != destination.entry.failure_domain
    copy_s = copy_time_s(run.memory_tokens, engine, is_far=is_far)
    return took_s > CONTENDED * copy_s + CONTENDED_SLACK_S
