"""Dispatches generations to engines and keeps their streams going."""

import asyncio
import random
from collections.abc import Collection

from returns.pipeline import is_successful

from savorylift.backends.quarantine import QuarantinedTraits
from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.answer_outcome import find_outcome
from savorylift.exchange.codec import Codec, EventSink
from savorylift.exchange.crash_guard import CrashGuard, is_quarantined
from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.engine_runs import EngineRuns
from savorylift.exchange.failed_generation import (
    end_with_refusal,
    fail_generation,
    to_broken,
)
from savorylift.exchange.request import Generation
from savorylift.exchange.request_retries import RequestRetries, is_over_limit
from savorylift.exchange.results import (
    Answered,
    Broken,
    NotRun,
    Obstacle,
    Refused,
)
from savorylift.exchange.room_placement import RoomPlacement
from savorylift.exchange.run import Run
from savorylift.exchange.run_log import log_take_up
from savorylift.exchange.send import Sender
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_resumption import (
    StreamResumption,
    version_gone,
)
from savorylift.exchange.unserved_generations import UnservedGenerations
from savorylift.moves.mover import Mover
from savorylift.outcomes import Reason
from savorylift.placement.engines import expected_tokens
from savorylift.processes.server_check import ServerCheck
from savorylift.rollouts.answer_log import Outcome


class GenerationDispatcher:
    """Serves generations, with retries on other engines and live moves."""

    def __init__(
        self,
        pool: ServerPool,
        codec: Codec,
        sender: Sender,
        server_check: ServerCheck,
        mover: Mover,
        crash_guard: CrashGuard,
        resumption: StreamResumption,
        rng: random.Random,
        rooms: RoomPlacement | None = None,
    ) -> None:
        """Creates a dispatcher without any runs.

        Args:
            pool: Engines to choose from.
            codec: Decodes the streams of engines.
            sender: Sends runs to engines.
            server_check: Finds out whether an engine that has closed a
                connection is gone.
            mover: Moves runs off draining engines.
            crash_guard: Stops requests that crash engines.
            resumption: Keeps streams at the version that began them.
            rng: Source of the jitter on retry delays.
            rooms: Asks the keepers of engines' room; None without keepers.
        """
        self._pool = pool
        self._queue = EngineQueue(pool, rooms, rng)
        self._engine_runs = EngineRuns(
            pool,
            self._queue,
            codec,
            sender,
            server_check,
            mover,
            crash_guard,
            resumption,
        )
        self._unserved = UnservedGenerations(pool, self._queue, resumption, rng)
        self._crash_guard = crash_guard
        crash_guard.on_quarantine.append(self._stop_quarantined)
        self._resumption = resumption
        resumption.on_start.append(server_check.record_start)
        self._runs: set[Run] = set()

    @property
    def prefill_per_s(self) -> float:
        """Prompt tokens that an engine prefills each second."""
        return self._queue.prefill_per_s

    @property
    def has_waiting(self) -> bool:
        """Whether generations wait for an engine."""
        return self._queue.has_waiting

    def on_change(self) -> None:
        """Reacts to a change of servers, nodes or loads."""
        self._engine_runs.start_moves()
        for run in self._queue.find_begun(self._resumption.is_version_gone):
            if run.is_version_certain:
                run.stop(version_gone())
        self._queue.dispatch_waiting()

    async def serve(
        self, admitted: AdmittedRequest, sink: EventSink
    ) -> Answered | Refused | None:
        """Serves a generation as a stream to `sink`.

        Returns:
            The final response if nothing was streamed; None otherwise.
        """
        run = Run(
            admitted,
            expected_tokens(admitted.req.generation or Generation(0, 0)),
        )
        self._runs.add(run)
        result = await self._serve_in_time(run, sink)
        log_take_up(run, result)
        return result

    async def _serve_in_time(
        self, run: Run, sink: EventSink
    ) -> Answered | Refused | None:
        try:
            async with asyncio.timeout_at(
                run.admitted.deadline_s
            ) as run.time_limit:
                return await self._serve(run, sink)
        except TimeoutError:
            if run.refusal is not None:
                return self._unserved.end_refused(run, sink, run.refusal)
            detail = "the deadline of the request passed"
            return fail_generation(run, sink, Broken(Reason.DEADLINE, detail))
        finally:
            self._runs.discard(run)
            self._pool.answers.finish(run.attempt_id, Outcome.ENDED)
            if run.is_at_engine:
                self._crash_guard.record_given_up(run)
            self._engine_runs.release(run)

    async def _serve(
        self, run: Run, sink: EventSink
    ) -> Answered | Refused | None:
        bound = await self._resumption.bind(run.admitted)
        if not is_successful(bound):
            return end_with_refusal(sink, bound.failure())
        run.admitted = bound.unwrap()
        attempts = _Attempts(RequestRetries(self._pool, run.admitted))
        while True:
            run.refusal = self._crash_guard.refuse(run.traits)
            if run.refusal is not None:
                return self._unserved.end_refused(run, sink, run.refusal)
            server = await self._acquire(run, attempts)
            if isinstance(server, Broken):
                return self._unserved.end_unserved(run, sink, server)
            result = await self._serve_at(server, run, sink, attempts)
            if result is None:
                return None
            self._record_failure(server, run, attempts, result)
            if self._may_go_on(run, result):
                continue
            if isinstance(result, Answered) and not sink.is_started:
                return result
            return fail_generation(run, sink, to_broken(result))

    async def _acquire(
        self, run: Run, attempts: "_Attempts"
    ) -> BackendServer | Broken:
        """Reserves the next engine; returns why there is none otherwise."""
        if not attempts.retries.take():
            return Broken(attempts.reason, "the retry budget is used up")
        await self._resumption.settle(run)
        server = await self._queue.acquire(run, attempts.tried)
        if server is None:
            return Broken(attempts.reason, "no engine has room")
        if attempts.retries.is_retry:
            metrics.RETRIES.labels(attempts.reason.value).inc()
        attempts.tried.add(server.entry.server_id)
        return server

    async def _serve_at(
        self,
        server: BackendServer,
        run: Run,
        sink: EventSink,
        attempts: "_Attempts",
    ) -> NotRun | Answered | Broken | None:
        """Serves a run at an engine; returns the failure that ended it."""
        max_attempts = run.admitted.route.max_attempts
        result = await self._engine_runs.serve(
            run,
            server,
            sink,
            attempts.tried,
            is_last=run.possibly_run_attempts + 1 >= max_attempts,
        )
        self._crash_guard.record_result(run, result)
        self._pool.answers.finish(run.attempt_id, find_outcome(result))
        self._engine_runs.release(run, was_sent=not is_over_limit(result))
        return result

    def _record_failure(
        self,
        server: BackendServer,
        run: Run,
        attempts: "_Attempts",
        result: NotRun | Answered | Broken,
    ) -> None:
        """Records why an engine did not serve a run to its end."""
        attempts.record(result)
        run.obstacle = result.obstacle if isinstance(result, NotRun) else None
        server_id = server.entry.server_id
        if not is_over_limit(result):
            self._pool.load_tracker.record_result(server_id, is_success=False)
        elif run.obstacle is not Obstacle.NOT_ASKED:
            attempts.tried.discard(server_id)
        if not isinstance(result, NotRun):
            run.possibly_run_attempts += 1

    def _may_go_on(self, run: Run, result: NotRun | Answered | Broken) -> bool:
        """Whether a run that failed may be sent to another engine."""
        if isinstance(result, NotRun):
            return True
        admitted = run.admitted
        if run.possibly_run_attempts >= admitted.route.max_attempts:
            return False
        if not admitted.is_idempotent or not run.is_position_known:
            return False
        return self._crash_guard.may_repeat(run.traits)

    def _stop_quarantined(self, begun: Collection[QuarantinedTraits]) -> None:
        """Stops the requests that no engine has begun to answer yet."""
        for run in list(self._runs):
            if run.has_survived_start:
                continue
            if is_quarantined(run.traits, begun):
                run.stop(self._crash_guard.refuse(run.traits))


class _Attempts:
    """The attempts to serve one generation.

    Attributes:
        retries: Takes retries for them.
        tried: IDs of the engines that have failed.
        reason: Why the latest one failed; `QUEUE_FULL` before the first one.
    """

    def __init__(self, retries: RequestRetries) -> None:
        """Starts before the first attempt."""
        self.retries = retries
        self.tried: set[str] = set()
        self.reason = Reason.QUEUE_FULL

    def record(self, result: NotRun | Answered | Broken) -> None:
        """Records that an attempt has failed."""
        self.retries.record_result(result)
        if isinstance(result, Answered):
            self.reason = Reason.BACKEND_ERROR
        else:
            self.reason = result.reason
