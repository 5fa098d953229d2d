"""Serves a run on one engine and on those that it is moved to."""

import asyncio
import time

from savorylift.backends.registry import BackendServer
from savorylift.exchange.codec import Codec, EventSink
from savorylift.exchange.crash_guard import CrashGuard
from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.failed_generation import to_broken
from savorylift.exchange.relay import Relay
from savorylift.exchange.results import Answered, Broken, NotRun
from savorylift.exchange.run import ResumeTarget, Run
from savorylift.exchange.run_log import log_move_failure
from savorylift.exchange.run_sender import RunSender
from savorylift.exchange.send import END_FAILURES, Sender, Started
from savorylift.exchange.server_opener import ResumePoint
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_resumption import StreamResumption
from savorylift.moves.mover import Mover
from savorylift.outcomes import Reason
from savorylift.processes.server_check import ProcessEnd, ServerCheck
from savorylift.speeds.stream_pace import count_event

# How long to wait for a move to complete after the run's stream has ended. An
# engine that is told to stop a run ends its stream within this time.
MOVE_COMPLETION_TIMEOUT_S = 1.0
# Kind of work by which engines' speeds are compared: the times between events.
# Plain services have one for each route, by its name.
STREAM_KIND = ""
# Events after which the mean pause of a stream is noted for roll-outs.
PAUSE_EVENTS = 6


class EngineRuns:
    """Sends runs to engines, relays their streams and moves them."""

    def __init__(
        self,
        pool: ServerPool,
        queue: EngineQueue,
        codec: Codec,
        sender: Sender,
        server_check: ServerCheck,
        mover: Mover,
        crash_guard: CrashGuard,
        resumption: StreamResumption,
    ) -> None:
        """Creates it without any runs.

        Args:
            pool: Engines to choose from.
            queue: Assigns engines to runs, and is told what they release.
            codec: Decodes the streams of engines.
            sender: Sends runs to engines.
            server_check: Finds out whether an engine that has closed a
                connection is gone.
            mover: Moves runs off draining engines.
            crash_guard: Stops requests that crash engines.
            resumption: Keeps streams at the version that began them.
        """
        self._pool = pool
        self._queue = queue
        self._sender = sender
        self._server_check = server_check
        self._mover = mover
        self._crash_guard = crash_guard
        self._resumption = resumption
        self._run_sender = RunSender(pool, sender, queue.dispatch_waiting)
        self._running: set[Run] = set()
        self._relay = Relay(codec, self._on_first_event, self._on_event)

    async def serve(
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
        self._running.add(run)
        run.is_stopping = run.is_end_known = run.is_given_up = False
        started = await self._run_sender.send(
            run, server, ResumePoint(run.resume_after), failover_policy
        )
        while True:
            if not isinstance(started, Started):
                return started
            _attach(run, started)
            result = await self._relay.forward(
                run, started, sink, failover_policy
            )
            self._end_call(run, is_complete=result is None)
            target = None
            if result is not None or run.was_stopped_without_end:
                target = await self._finish_move(run)
            if target is None and result is None:
                return await self._finish(run, server, started, sink)
            if target is None:
                return result
            run.is_stopping = run.is_end_known = False
            run.moves += 1
            started = await self._run_sender.resume(run, target)
            if not isinstance(started, Started):
                return to_broken(started)
            assert run.server is not None
            server = run.server

    def start_moves(self) -> None:
        """Starts to move the runs whose engines are draining."""
        for run in list(self._running):
            self.start_move_if_draining(run)

    def start_move_if_draining(self, run: Run) -> None:
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

    def release(self, run: Run, *, was_sent: bool = True) -> None:
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
        self._running.discard(run)
        self._queue.dispatch_waiting()

    async def _finish(
        self,
        run: Run,
        server: BackendServer,
        started: Started,
        sink: EventSink,
    ) -> Broken | None:
        """Ends the caller's stream, unless it may not be whole."""
        failure = await self._check_end(run, server, started)
        if failure is not None:
            return failure
        self._relay.finish(run, started, sink)
        self._resumption.record_complete(run)
        self._pool.load_tracker.record_result(
            server.entry.server_id, is_success=True
        )
        return None

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
        if run.awaits_move:
            # Nothing of it was copied, and its engine has ended its stream.
            move_task.cancel()
            return None
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
        self.start_move_if_draining(run)

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


def _attach(run: Run, started: Started) -> None:
    """Notes the call by which an engine serves a run."""
    run.call = started.call
    run.channel = started.call.channel
    run.cancel_request = started.cancel_request
    run.is_close_delimited = started.head.is_close_delimited
