"""Dispatches generations to engines and keeps their streams going."""

import asyncio
import random
import time
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
from savorylift.exchange.failed_generation import (
    end_with_refusal,
    fail_generation,
    refuse_generation,
    refuse_without_engine,
    to_broken,
)
from savorylift.exchange.mover import Mover
from savorylift.exchange.relay import Relay
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
from savorylift.exchange.run import ResumeTarget, Run
from savorylift.exchange.run_log import log_move_failure, log_take_up
from savorylift.exchange.run_sender import RunSender
from savorylift.exchange.send import END_FAILURES, Sender, Started
from savorylift.exchange.server_opener import ResumePoint
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_resumption import (
    StreamResumption,
    version_gone,
)
from savorylift.outcomes import Reason
from savorylift.placement.engines import expected_tokens
from savorylift.processes.server_check import ProcessEnd, ServerCheck
from savorylift.rollouts.answer_log import Outcome
from savorylift.speeds.stream_pace import count_event

# How long to wait for a move to complete after the run's stream has ended. An
# engine that is told to stop a run ends its stream within this time.
MOVE_COMPLETION_TIMEOUT_S = 1.0
# Added to the retry delay at random, as a share of it, so that callers that are
# refused together don't retry together.
RETRY_AFTER_JITTER = 0.3
# Kind of work by which engines' speeds are compared: the times between events.
# Plain services have one for each route, by its name.
STREAM_KIND = ""
# Events after which the mean pause of a stream is noted for roll-outs.
PAUSE_EVENTS = 6


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
        self._sender = sender
        self._server_check = server_check
        self._mover = mover
        self._rng = rng
        self._queue = EngineQueue(pool, rooms)
        self._run_sender = RunSender(pool, sender, self._queue.dispatch_waiting)
        self._crash_guard = crash_guard
        crash_guard.on_quarantine.append(self._stop_quarantined)
        self._resumption = resumption
        resumption.on_start.append(server_check.record_start)
        self._relay = Relay(codec, self._on_first_event, self._on_event)
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
        for run in list(self._runs):
            self._start_move_if_draining(run)
            is_waiting = not run.is_at_engine and run.is_version_certain
            if is_waiting and self._resumption.is_version_gone(run):
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
                return self._end_refused(run, sink, run.refusal)
            detail = "the deadline of the request passed"
            return fail_generation(run, sink, Broken(Reason.DEADLINE, detail))
        finally:
            self._runs.discard(run)
            self._pool.answers.finish(run.attempt_id, Outcome.ENDED)
            if run.is_at_engine:
                self._crash_guard.record_given_up(run)
            self._release(run)

    async def _serve(
        self, run: Run, sink: EventSink
    ) -> Answered | Refused | None:
        bound = await self._resumption.bind(run.admitted)
        if not is_successful(bound):
            return end_with_refusal(sink, bound.failure())
        admitted = run.admitted = bound.unwrap()
        tried: set[str] = set()
        retries = RequestRetries(self._pool, admitted)
        reason = Reason.QUEUE_FULL
        while True:
            run.refusal = self._crash_guard.refuse(run.traits)
            if run.refusal is not None:
                return self._end_refused(run, sink, run.refusal)
            if not retries.take():
                failure = Broken(reason, "the retry budget is used up")
                return self._end_unserved(run, sink, failure)
            await self._resumption.settle(run)
            server = await self._queue.acquire(run, tried)
            if server is None:
                failure = Broken(reason, "no engine has room")
                return self._end_unserved(run, sink, failure)
            if retries.is_retry:
                metrics.RETRIES.labels(reason.value).inc()
            is_last = (
                run.possibly_run_attempts + 1 >= admitted.route.max_attempts
            )
            tried.add(server.entry.server_id)
            result = await self._run_on_engine(
                run, server, sink, tried, is_last=is_last
            )
            self._crash_guard.record_result(run, result)
            self._pool.answers.finish(run.attempt_id, find_outcome(result))
            self._release(run, was_sent=not is_over_limit(result))
            if result is None:
                return None
            retries.record_result(result)
            run.obstacle = (
                result.obstacle if isinstance(result, NotRun) else None
            )
            if is_over_limit(result):
                reason = Reason.SERVER_LIMIT
                if run.obstacle is not Obstacle.NOT_ASKED:
                    tried.discard(server.entry.server_id)
                continue
            self._pool.load_tracker.record_result(
                server.entry.server_id, is_success=False
            )
            if isinstance(result, NotRun):
                reason = result.reason
                continue
            run.possibly_run_attempts += 1
            may_repeat = admitted.is_idempotent and not is_last
            may_repeat = may_repeat and run.is_position_known
            if may_repeat:
                may_repeat = self._crash_guard.may_repeat(run.traits)
            if not may_repeat:
                if isinstance(result, Answered) and not sink.is_started:
                    return result
                return fail_generation(run, sink, to_broken(result))
            if isinstance(result, Answered):
                reason = Reason.BACKEND_ERROR
            else:
                reason = result.reason

    def _stop_quarantined(self, begun: Collection[QuarantinedTraits]) -> None:
        """Stops the requests that no engine has begun to answer yet."""
        for run in list(self._runs):
            if run.has_survived_start:
                continue
            if is_quarantined(run.traits, begun):
                run.stop(self._crash_guard.refuse(run.traits))

    def _end_refused(
        self, run: Run, sink: EventSink, refusal: Refused
    ) -> Refused | None:
        if not run.may_have_run:
            return end_with_refusal(sink, refusal)
        failure = Broken(refusal.reason, refusal.message)
        return fail_generation(run, sink, failure)

    def _end_unserved(
        self,
        run: Run,
        sink: EventSink,
        failure: Broken,
    ) -> Refused | None:
        """Ends a request that can't be sent to another engine."""
        if run.possibly_run_attempts:
            return fail_generation(run, sink, failure)
        if self._resumption.is_version_gone(run):
            return end_with_refusal(sink, version_gone())
        if self._pool.waits.is_closed_by_limits(run.admitted, ()):
            return_after_s = self._pool.waits.assign_return_s(run.admitted)
            return refuse_generation(sink, Reason.SERVER_LIMIT, return_after_s)
        hold_s = self._pool.waits.shortest_hold_s(run.admitted)
        if hold_s is not None:
            return refuse_generation(sink, Reason.SERVER_HOLD, hold_s)
        if self._pool.are_all_leaving(run.admitted):
            return refuse_without_engine(sink)
        if run.obstacle is Obstacle.NOT_ASKED:
            return_after_s = self._pool.waits.assign_return_s(run.admitted)
            return refuse_generation(sink, Reason.SERVER_LIMIT, return_after_s)
        if run.return_in_s is not None:
            # These are spread in the order of the turns already.
            return refuse_generation(sink, failure.reason, run.return_in_s)
        wait_s = self._queue.estimate_return_s(run)
        retry_after_s = wait_s * (1 + self._rng.uniform(0, RETRY_AFTER_JITTER))
        return refuse_generation(sink, failure.reason, retry_after_s)

    async def _run_on_engine(
        self,
        run: Run,
        server: BackendServer,
        sink: EventSink,
        tried: set[str],
        *,
        is_last: bool,
    ) -> NotRun | Answered | Broken | None:
        """Serves a run on one engine and on those that it is moved to.

        Returns:
            The failure that ended the run; None if its stream is complete.
        """
        failover_policy = self._queue.failover_policy(
            run, tried, is_last=is_last
        )
        run.is_at_engine = True
        run.is_stopping = run.is_end_known = False
        started = await self._run_sender.send(
            run, server, ResumePoint(run.resume_after), failover_policy
        )
        while True:
            if not isinstance(started, Started):
                return started
            run.call = started.call
            run.channel = started.call.channel
            run.cancel_request = started.cancel_request
            run.is_close_delimited = started.head.is_close_delimited
            result = await self._relay.forward(
                run, started, sink, failover_policy
            )
            self._end_call(run, is_complete=result is None)
            target = None
            if result is not None or run.was_stopped_without_end:
                target = await self._finish_move(run)
            if target is None and result is None:
                result = await self._check_end(run, server, started)
            if target is None and result is None:
                self._relay.finish(run, started, sink)
                self._resumption.record_complete(run)
                self._pool.load_tracker.record_result(
                    server.entry.server_id, is_success=True
                )
                return None
            if target is None:
                return result
            run.is_stopping = run.is_end_known = False
            run.moves += 1
            resumed = await self._run_sender.resume(run, target)
            if not isinstance(resumed, Started):
                return to_broken(resumed)
            assert run.server is not None
            server = run.server
            started = resumed

    async def _check_end(
        self,
        run: Run,
        server: BackendServer,
        started: Started,
    ) -> Broken | None:
        """Returns why a stream isn't known to have ended; None if it is."""
        if run.was_stopped_without_end:
            return Broken(Reason.ANSWER_LOST, "a move that failed stopped it")
        if not run.is_close_delimited:
            return None
        channel = started.call.channel
        end = ProcessEnd.LIVES
        if not run.is_end_known:
            end = await self._server_check.find_end(
                server, channel, run.attempt_id
            )
        self._server_check.end_unframed(channel)
        if end is not ProcessEnd.LIVES:
            failure = END_FAILURES[end]
            return Broken(failure.reason, failure.detail)
        if run.is_framed_for_caller:
            return Broken(Reason.ANSWER_LOST, "nothing marks the stream's end")
        return None

    async def _finish_move(self, run: Run) -> ResumeTarget | None:
        """Waits for a run's move, if any; returns where to resume the run."""
        if run.move_task is None:
            return None
        move_task, run.move_task = run.move_task, None
        try:
            async with asyncio.timeout(MOVE_COMPLETION_TIMEOUT_S):
                return await move_task
        except TimeoutError:
            return None

    def _on_first_event(self, run: Run) -> None:
        self._queue.record_first_event(run)
        self._pool.answers.note_answer(run.attempt_id)
        self._resumption.record_begin(run)

    def _on_event(self, run: Run) -> None:
        self._crash_guard.record_event(run)
        pause_s = run.mean_pause_s()
        if run.engine_events == PAUSE_EVENTS and pause_s is not None:
            self._pool.answers.note_pause(run.attempt_id, pause_s)
        self._record_pace(run)
        self._start_move_if_draining(run)

    def _record_pace(self, run: Run) -> None:
        """Records the mean time between events, once for several of them."""
        engine = run.admitted.service.engine
        if run.server is None or engine is None:
            return
        now_s = time.monotonic()
        server_id = run.server.entry.server_id
        pace = run.pace = count_event(run.pace, server_id, now_s)
        if pace.is_whole:
            gap_s = (now_s - pace.began_s) / pace.events
            self._pool.record_time(run.server, STREAM_KIND, engine.slots, gap_s)

    def _start_move_if_draining(self, run: Run) -> None:
        """Starts to move a run if its engine is draining."""
        if run.move_task is not None or run.server is None or run.call is None:
            return
        if not run.can_move or not run.is_version_certain:
            return
        if not run.is_position_known:
            return
        if run.first_event_s is None or self._pool.is_in_service(run.server):
            return
        loop = asyncio.get_running_loop()
        run.move_task = loop.create_task(self._mover.move(run))
        run.move_task.add_done_callback(log_move_failure)

    def _release(self, run: Run, *, was_sent: bool = True) -> None:
        """Releases everything that a run holds on engines.

        Args:
            run: The run.
            was_sent: Whether its engine may have assigned memory to it.
        """
        self._end_call(run, is_complete=False)
        if run.move_task is not None:
            self._cancel_move(run.move_task)
            run.move_task = None
        if run.server is not None and was_sent:
            self._queue.record_release(run)
        self._pool.remove_run(run)
        self._queue.give_back(run)
        run.server = None
        run.is_at_engine = False
        self._queue.dispatch_waiting()

    def _end_call(self, run: Run, *, is_complete: bool) -> None:
        """Closes the call to an engine; cancels the run if it is incomplete."""
        if run.call is None:
            return
        run.call.close()
        run.call = None
        if not is_complete and run.server is not None:
            self._sender.cancel_run(run.server, run.cancel_request)

    def _cancel_move(
        self, move_task: "asyncio.Task[ResumeTarget | None]"
    ) -> None:
        if not move_task.done():
            move_task.cancel()
            return
        if not move_task.cancelled() and move_task.exception() is None:
            target = move_task.result()
            if target is not None:
                self._mover.discard_copy(target)
