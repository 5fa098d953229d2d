"""Serves generations: one stream of events from one run, kept alive."""

import asyncio
import random

from savorylift.backends.registry import Known
from savorylift.exchange import counters
from savorylift.exchange.admission import Admitted
from savorylift.exchange.codec import Codec, EventSink
from savorylift.exchange.ending import (
    Answered,
    Broken,
    NotRun,
    Refused,
    Unsure,
)
from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.mover import Mover
from savorylift.exchange.pool import Pool
from savorylift.exchange.relay import Relay
from savorylift.exchange.request import Generation
from savorylift.exchange.run import NextPart, Run
from savorylift.exchange.run_log import log_move_failure, log_sent
from savorylift.exchange.send import Patience, Resumption, Sender, Started
from savorylift.exchange.unserved import as_broken, give_up, refuse
from savorylift.outcomes import Reason
from savorylift.placement.engines import expected_tokens
from savorylift.placement.room_rate import RoomRate

# A connection may fail once on a link that loses packets.
RESUME_TRIES = 2
# A source that was told to stop ends its stream within this time.
SWITCH_S = 1.0
# Callers who are refused together should not come back together.
RETRY_SPREAD = 0.3


class Generations:
    """Finds engines for generations and keeps their streams going."""

    def __init__(
        self,
        pool: Pool,
        codec: Codec,
        sender: Sender,
        mover: Mover,
        rng: random.Random,
    ) -> None:
        """Takes what it chooses, reads, sends and moves with."""
        self._pool = pool
        self._sender = sender
        self._mover = mover
        self._rng = rng
        self._queue = EngineQueue(pool)
        self._room = RoomRate()
        self._relay = Relay(
            codec, self._queue.note_first_event, self._consider_move
        )
        self._runs: set[Run] = set()

    @property
    def engines(self) -> list[Known]:
        """The engines with runs of this node that can be moved, each once."""
        servers = {
            run.server.entry.server_id: run.server
            for run in self._runs
            if run.server is not None and run.can_move
        }
        return list(servers.values())

    def on_change(self) -> None:
        """Reacts to news of servers, nodes or loads."""
        for run in list(self._runs):
            self._consider_move(run)
        self._queue.offer_room()

    async def serve(
        self, adm: Admitted, sink: EventSink
    ) -> Answered | Refused | None:
        """Streams a generation; returns an answer if none was streamed."""
        run = Run(adm, expected_tokens(adm.req.generation or Generation(0, 0)))
        self._runs.add(run)
        try:
            async with asyncio.timeout_at(adm.deadline_s):
                return await self._serve(run, sink)
        except TimeoutError:
            detail = "the time for the request is over"
            return give_up(run, sink, Broken(Reason.DEADLINE, detail))
        finally:
            self._runs.discard(run)
            self._release(run)

    async def _serve(
        self, run: Run, sink: EventSink
    ) -> Answered | Refused | None:
        adm = run.adm
        tried: set[str] = set()
        may_have_run = 0
        has_arrived = False
        reason = Reason.QUEUE_FULL
        while True:
            if has_arrived and not self._pool.take_repeat(adm.service.name):
                counters.RETRIES_DENIED.labels(adm.service.name).inc()
                ending = Broken(reason, "no repeat left in the budget")
                return self._end(run, sink, ending, may_have_run)
            server = await self._queue.acquire(run, tried)
            if server is None:
                ending = Broken(reason, "no engine has room")
                return self._end(run, sink, ending, may_have_run)
            if has_arrived:
                counters.RETRIES.labels(reason.value).inc()
            is_last = may_have_run + 1 >= adm.route.max_servers
            tried.add(server.entry.server_id)
            ended = await self._run_at(
                run, server, sink, tried, is_last=is_last
            )
            self._release(run)
            if ended is None:
                return None
            self._pool.work.judge(server.entry.server_id, is_success=False)
            if isinstance(ended, NotRun):
                has_arrived = has_arrived or ended.has_arrived
                reason = ended.reason
                continue
            has_arrived = True
            may_have_run += 1
            if not adm.is_idempotent or is_last:
                if isinstance(ended, Answered) and not sink.is_started:
                    return ended
                return give_up(run, sink, as_broken(ended))
            if isinstance(ended, Answered):
                reason = Reason.BACKEND_ERROR
            else:
                reason = ended.reason

    def _end(
        self, run: Run, sink: EventSink, ending: Broken, may_have_run: int
    ) -> Refused | None:
        """Ends a request that no further engine takes."""
        if may_have_run:
            return give_up(run, sink, ending)
        wanted = run.tokens * (1 + self._queue.waiting(run.adm))
        wait_s = self._room.wait_s(wanted)
        retry_s = wait_s * (1 + self._rng.uniform(0, RETRY_SPREAD))
        return refuse(sink, ending.reason, retry_s)

    async def _run_at(
        self,
        run: Run,
        server: Known,
        sink: EventSink,
        tried: set[str],
        *,
        is_last: bool,
    ) -> NotRun | Answered | Broken | None:
        """Runs at one engine and those it moves to; None if complete."""
        patience = self._queue.patience(run, tried, is_last=is_last)
        started = await self._send(
            run, server, Resumption(run.resume_after), patience
        )
        while True:
            if not isinstance(started, Started):
                return started
            run.call = started.call
            run.withdrawal = started.withdrawal
            ended = await self._relay.run(run, started, sink, patience)
            self._end_call(run, is_complete=ended is None)
            if ended is None:
                self._pool.work.judge(server.entry.server_id, is_success=True)
                return None
            part = await self._next_part(run)
            if part is None:
                return ended
            run.moves += 1
            resumed = await self._go_on(run, part)
            if not isinstance(resumed, Started):
                return as_broken(resumed)
            assert run.server is not None
            server = run.server
            started = resumed

    async def _go_on(
        self, run: Run, part: NextPart
    ) -> Started | NotRun | Answered | Broken:
        """Resumes a run that was stopped, from its memory only.

        The run has begun, so an engine that doesn't take it is no reason to
        start it anew. The source keeps the memory, so it is the last resort.
        """
        resumption = Resumption(run.resume_after, part.continuation)
        deadline_s = run.adm.deadline_s
        patience = Patience(deadline_s, deadline_s, lambda: False)
        places = [part.server] * RESUME_TRIES + [part.source] * RESUME_TRIES
        rejected_by: set[str] = set()
        result: Started | NotRun | Answered | Broken = Broken(
            Reason.BACKEND_LOST, "no engine to go on at"
        )
        for place in places:
            if place.entry.server_id in rejected_by:
                continue
            self._put_at(run, place)
            result = await self._send(run, place, resumption, patience)
            if not isinstance(result, NotRun):
                return result
            if result.has_arrived:
                rejected_by.add(place.entry.server_id)
        return result

    async def _send(
        self,
        run: Run,
        server: Known,
        resumption: Resumption,
        patience: Patience,
    ) -> Started | NotRun | Answered | Broken:
        """Sends a run to an engine; anything but a start is an ending."""
        started = await self._sender.start(
            server, run.adm, resumption, patience
        )
        log_sent(run, server, started)
        if isinstance(started, Unsure):
            return Broken(started.reason, started.detail)
        if isinstance(started, Started) and not started.head.is_success:
            return await self._read_failure(run, started)
        return started

    async def _next_part(self, run: Run) -> NextPart | None:
        """Returns where a stopped run goes on, if it was moved."""
        if run.move is None:
            return None
        move, run.move = run.move, None
        try:
            async with asyncio.timeout(SWITCH_S):
                return await move
        except TimeoutError:
            return None

    async def _read_failure(
        self, run: Run, started: Started
    ) -> NotRun | Answered | Broken:
        ending = await self._sender.finish(started, run.adm.deadline_s)
        if isinstance(ending, Unsure):
            return Broken(ending.reason, ending.detail)
        return ending

    def _consider_move(self, run: Run) -> None:
        """Starts to move a run whose engine is leaving."""
        if run.move is not None or run.server is None or run.call is None:
            return
        if not run.can_move:
            return
        if run.first_event_s is None or self._pool.is_staying(run.server):
            return
        loop = asyncio.get_running_loop()
        run.move = loop.create_task(self._mover.move(run))
        run.move.add_done_callback(log_move_failure)

    def _put_at(self, run: Run, server: Known) -> None:
        """Counts a run at the engine that it moved to."""
        self._end_work(run)
        run.server = server
        self._pool.work.begin(
            server.entry.server_id, run.attempt_id, run.tokens
        )
        self._queue.offer_room()

    def _release(self, run: Run) -> None:
        """Ends what a run holds at engines."""
        self._end_call(run, is_complete=False)
        if run.move is not None:
            self._stop_move(run.move)
            run.move = None
        if run.server is not None:
            self._room.note_freed(run.tokens)
        self._end_work(run)
        run.server = None
        self._queue.offer_room()

    def _end_call(self, run: Run, *, is_complete: bool) -> None:
        """Ends the call to an engine, and the run there if it goes on."""
        if run.call is None:
            return
        run.call.close()
        run.call = None
        if not is_complete and run.server is not None:
            self._sender.withdraw(run.server, run.withdrawal)

    def _stop_move(self, move: "asyncio.Task[NextPart | None]") -> None:
        if not move.done():
            move.cancel()
            return
        if not move.cancelled() and move.exception() is None:
            part = move.result()
            if part is not None:
                self._mover.drop(part)

    def _end_work(self, run: Run) -> None:
        if run.server is not None:
            self._pool.work.end(run.server.entry.server_id, run.attempt_id)
