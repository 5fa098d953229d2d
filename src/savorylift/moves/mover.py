"""Live migration of runs from a draining engine to another one.

The KV cache is copied while the run continues. The run is then stopped, and
what was added since is copied, so the caller sees a pause of a few events at
most. Copies by all nodes share the engine's link, so they run one at a time.
A run that can't be copied in time may be made again elsewhere instead.
"""

import asyncio
import time
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.request import KvCopy
from savorylift.exchange.run import ResumeTarget, Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.moves import metrics as move_metrics
from savorylift.moves.move_destination import choose_destination
from savorylift.moves.run_copier import RunCopier
from savorylift.moves.turns import MoveTurns
from savorylift.platform.engine_client import (
    CopyError,
    CopyFault,
    CopyResult,
    drop_copy,
)
from savorylift.processes.server_check import ProcessEnd, ServerCheck

# An engine stops about two seconds after it gives notice.
MOVE_TIMEOUT_S = 2.5
# Runs that end on other engines free memory for a copy within this time.
NO_ROOM_RETRY_S = 0.15
MAX_DESTINATIONS = 3
DROP_TIMEOUT_S = 0.5

_log = structlog.get_logger()


class _TurnResult(NamedTuple):
    """What came of a run's turn.

    Attributes:
        target: Where to resume the run; None if it wasn't moved.
        fault: Why it wasn't, in the end; None if it was.
        refused_by: IDs of the engines that had no room.
    """

    target: ResumeTarget | None
    fault: CopyFault | None
    refused_by: frozenset[str]


class Mover:
    """Moves runs by copying their KV cache."""

    def __init__(
        self,
        pool: ServerPool,
        server_check: ServerCheck,
        turns: MoveTurns | None = None,
    ) -> None:
        """Creates a mover.

        Args:
            pool: Engines to choose destinations from.
            server_check: Finds out whether another process has taken the place
                of an engine's.
            turns: When runs may be copied, and to where; None to order them
                among the nodes.
        """
        self._pool = pool
        self._server_check = server_check
        self._turns = turns or MoveTurns(pool)
        self._drop_tasks: set[asyncio.Task[bool]] = set()

    async def move(self, run: Run) -> ResumeTarget | None:
        """Moves a run off its engine.

        Returns:
            Where to resume the run, which has then been stopped; None if it
            was not moved: it stays on its engine, unless `Run.is_given_up`.
        """
        source = run.server
        assert source is not None
        deadline_s = time.monotonic() + MOVE_TIMEOUT_S
        # IDs of the engines that had no room in the last turn.
        refused_by: frozenset[str] = frozenset()
        while True:
            async with self._turns.take(run, refused_by) as turn:
                # The wait for the planner doesn't count.
                deadline_s += turn.planner_wait_s
                if turn.unsaved_reason:
                    self._give_up(run, turn.unsaved_reason)
                    return None
                target, fault, refused_by = await self._move_in_turn(
                    run, source, deadline_s, turn.destination_id
                )
                if target is not None:
                    turn.moved_to = target.server.entry.server_id
            if target is not None:
                metrics.MOVES.labels("moved").inc()
                return target
            if fault is not CopyFault.NO_ROOM:
                break
            if time.monotonic() + NO_ROOM_RETRY_S > deadline_s:
                break
            await asyncio.sleep(NO_ROOM_RETRY_S)
        metrics.MOVES.labels("failed").inc()
        _log.warning(
            "move_failed",
            request=run.attempt_id,
            server=source.entry.server_id,
            fault=fault and fault.value,
        )
        return None

    async def _move_in_turn(
        self,
        run: Run,
        source: BackendServer,
        deadline_s: float,
        planned_id: str | None,
    ) -> _TurnResult:
        """Copies a run to the planned engine, or to others.

        Args:
            run: The run.
            source: Engine that it is on.
            deadline_s: Monotonic time at which copies end.
            planned_id: ID of the engine that is planned; None without a plan.
        """
        tried = {source.entry.server_id}
        refused_by: set[str] = set()
        fault = CopyFault.NO_ROOM
        for _ in range(MAX_DESTINATIONS):
            destination = self._find_planned(run, tried, planned_id)
            if destination is None:
                destination = choose_destination(self._pool, run, tried)
            if destination is None:
                break
            tried.add(destination.entry.server_id)
            result = await self._move_to(run, source, destination, deadline_s)
            if isinstance(result, ResumeTarget):
                return _TurnResult(result, None, frozenset(refused_by))
            fault = result
            if fault is CopyFault.NO_ROOM:
                refused_by.add(destination.entry.server_id)
            has_ended = fault is CopyFault.NO_SUCH_RUN
            if has_ended or time.monotonic() > deadline_s:
                break
        return _TurnResult(None, fault, frozenset(refused_by))

    def _find_planned(
        self, run: Run, tried: set[str], planned_id: str | None
    ) -> BackendServer | None:
        """Returns the planned engine, unless this node knows better."""
        if planned_id is None or planned_id in tried:
            return None
        return self._pool.kept.find_granted(run.admitted, tried, planned_id)

    def _give_up(self, run: Run, reason: str) -> None:
        """Has a run made again from its prompt, on another engine."""
        run.is_given_up = True
        move_metrics.RUNS_GIVEN_UP.labels(reason).inc()
        _log.info("run_given_up", request=run.attempt_id, reason=reason)

    def discard_copy(self, target: ResumeTarget) -> None:
        """Frees the copy of a run that is not resumed.

        The source frees the copy at both engines. The request also goes to
        the destination, because the source may have stopped.
        """
        kv_copy = target.kv_copy
        for address in {kv_copy.source, target.server.entry.address}:
            task = asyncio.get_running_loop().create_task(
                drop_copy(address, kv_copy.handle, timeout_s=DROP_TIMEOUT_S)
            )
            self._drop_tasks.add(task)
            task.add_done_callback(self._drop_tasks.discard)

    async def finish(self) -> None:
        """Waits until the copies that are discarded have been freed."""
        if self._drop_tasks:
            await asyncio.wait(self._drop_tasks, timeout=DROP_TIMEOUT_S)

    async def _move_to(
        self,
        run: Run,
        source: BackendServer,
        destination: BackendServer,
        deadline_s: float,
    ) -> ResumeTarget | CopyFault:
        copy_id = f"{run.attempt_id}/copy"
        server_id = destination.entry.server_id
        # Announced with the load: the planner counts it by what is announced.
        self._pool.load_tracker.add_request(
            server_id, copy_id, run.expected_tokens
        )
        self._pool.move_queue.set_destination(run.attempt_id, server_id)
        copier = RunCopier(run, source, destination, deadline_s)
        target: ResumeTarget | None = None
        is_moved = False
        try:
            began_s = time.monotonic()
            copied = await copier.copy_when_started()
            if isinstance(copied, CopyError):
                return copied.fault
            target = _resume_target(source, destination, copied.handle)
            took_s = time.monotonic() - began_s
            if copier.is_contended(took_s):
                await copier.copy_until_short()
            run.is_stopping = True
            final = await copier.copy_and_stop()
            if await self._has_ended_by_itself(run, source, final):
                run.is_stopping = False
                return CopyFault.NO_SUCH_RUN
            target = _target_after_final_copy(final, target)
            is_moved = True
            self._log_moved(run, target)
            return target
        finally:
            self._pool.load_tracker.remove_request(server_id, copy_id)
            if target is not None and not is_moved:
                self.discard_copy(target)

    async def _has_ended_by_itself(
        self, run: Run, source: BackendServer, final: CopyResult | CopyError
    ) -> bool:
        """Whether a stream without an end marker ended before it was stopped.

        A process that has taken the place of the source's knows no run, and
        where that isn't known, another engine can tell what is missing.
        """
        if not run.is_close_delimited or isinstance(final, CopyResult):
            return False
        if final.fault is not CopyFault.NO_SUCH_RUN or run.channel is None:
            return False
        end = await self._server_check.find_end(
            source, run.channel, run.attempt_id
        )
        run.is_end_known = end is ProcessEnd.LIVES
        return run.is_end_known

    def _log_moved(self, run: Run, target: ResumeTarget) -> None:
        _log.info(
            "moved",
            request=run.attempt_id,
            source=target.source.entry.server_id,
            destination=target.server.entry.server_id,
            source_version=target.source.entry.software_version,
            destination_version=target.server.entry.software_version,
        )


def _resume_target(
    source: BackendServer, server: BackendServer, handle: str
) -> ResumeTarget:
    kv_copy = KvCopy(source.entry.address, handle)
    return ResumeTarget(server, source, kv_copy)


def _target_after_final_copy(
    final: CopyResult | CopyError, earlier: ResumeTarget
) -> ResumeTarget:
    """Returns where to resume a run after the copy that stops it.

    If the final copy failed because the source does not respond, the source
    may have stopped. The run then resumes from the earlier copy, and its new
    engine recomputes what that copy lacks.
    """
    if isinstance(final, CopyResult):
        return _resume_target(earlier.source, earlier.server, final.handle)
    if final.handle is not None:
        # The run stopped but was not copied, so it resumes on the source.
        return _resume_target(earlier.source, earlier.source, final.handle)
    return earlier
