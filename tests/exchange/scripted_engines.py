"""Engines that answer as told, and the rest that a run is served with."""

import asyncio
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

from savorylift.backends.registry import BackendServer
from savorylift.exchange.codec import CancelRequest
from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.engine_runs import EngineRuns
from savorylift.exchange.events import Event, EventSplitter
from savorylift.exchange.request import EVENT_STREAM_TYPE, AnswerHead, KvCopy
from savorylift.exchange.results import Answered, Broken, NotRun, Refused
from savorylift.exchange.run import ResumeTarget, Run
from savorylift.exchange.send import Started
from savorylift.exchange.server_opener import ResumePoint
from savorylift.outcomes import Reason
from savorylift.processes.server_check import ProcessEnd
from savorylift.wire.client_call import BrokenAnswerError
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_crash_guard,
    make_generation_request,
    make_pool,
    make_store_view,
)

HEAD = AnswerHead(
    200,
    (("content-type", EVENT_STREAM_TYPE),),
    matches_request=True,
    is_not_run=False,
    is_signed=True,
)
FAILED_HEAD = HEAD._replace(status=500)
CLOSE_DELIMITED = HEAD._replace(is_close_delimited=True)
CUT = BrokenAnswerError("the stream was cut")
NOT_RUN = NotRun(Reason.NODE_BUSY, "rejected", reached_server=True)
FAILED = Answered(FAILED_HEAD, b"")

Chunk = bytes | Exception


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


class ScriptedCall:
    """The call by which an engine sends a stream.

    Attributes:
        channel: Stands for its connection.
        is_closed: Whether the node has closed it.
    """

    def __init__(self, chunks: Iterable[Chunk]) -> None:
        self.channel = SimpleNamespace()
        self.is_closed = False
        self._chunks = iter(chunks)

    async def read_body_chunk(self) -> bytes | None:
        # Lets moves go on, as the wait for bytes would.
        await asyncio.sleep(0)
        chunk = next(self._chunks, None)
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def close(self) -> None:
        self.is_closed = True


class ScriptedEngines:
    """Sends runs to engines, which answer in order as they are told.

    Attributes:
        sent: ID of each engine and the KV cache that the run goes on from.
        cancelled: Runs cancelled, by their engine.
    """

    def __init__(self, *answers: Started | NotRun) -> None:
        self._answers = iter(answers)
        self.sent: list[tuple[str, str | None]] = []
        self.cancelled: list[tuple[str, CancelRequest]] = []

    async def start(
        self, server: BackendServer, _: object, point: ResumePoint, *__: object
    ) -> Started | NotRun:
        kv_copy = None if point.kv_copy is None else point.kv_copy.handle
        self.sent.append((server.entry.server_id, kv_copy))
        return next(self._answers)

    async def finish(self, *_: object) -> Answered:
        return FAILED

    def cancel_run(
        self, server: BackendServer, cancel_request: CancelRequest
    ) -> None:
        self.cancelled.append((server.entry.server_id, cancel_request))


class Codec:
    """Cuts streams into events."""

    def make_event_reader(self, *_: object) -> "Reader":
        return Reader()


class Reader:
    """Reads events that need no check."""

    def __init__(self) -> None:
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> Iterable[Event]:
        return self._splitter.feed(data)

    def end(self) -> None:
        """Takes any end for that of the stream."""

    def close(self) -> None:
        """Drops what it holds."""
        self._splitter.close()


class Sink:
    """The caller, who reads the stream.

    Attributes:
        received: What it has of the body.
        is_finished: Whether it was told that the stream is complete.
    """

    def __init__(self) -> None:
        self.is_started = False
        self.received = b""
        self.is_finished = False

    def start(self, _: AnswerHead) -> None:
        self.is_started = True

    async def send(self, data: bytes) -> None:
        self.received += data

    def finish(self) -> None:
        self.is_finished = True

    def fail(self, _: Refused) -> None:
        raise AssertionError


class Checks:
    """Tells whether the process that closed a connection has ended.

    Attributes:
        ended: Connections whose answers were followed to their end.
    """

    def __init__(self, end: ProcessEnd) -> None:
        self._end = end
        self.ended: list[object] = []

    async def find_end(self, *_: object) -> ProcessEnd:
        return self._end

    def end_unframed(self, channel: object) -> None:
        self.ended.append(channel)


class Mover:
    """Moves runs to a target.

    Attributes:
        moved: Number of moves begun.
        discarded: The copies that nobody needs any more.
        target: Where runs go on; None if their copies fail.
        is_planner_silent: Whether runs wait for a turn that doesn't come.
    """

    def __init__(self) -> None:
        self.target: ResumeTarget | None = None
        self.is_planner_silent = False
        self.moved = 0
        self.discarded: list[ResumeTarget] = []

    async def move(self, run: Run) -> ResumeTarget | None:
        self.moved += 1
        if self.is_planner_silent:
            run.awaits_move = True
            await asyncio.Event().wait()
        return self.target

    def discard_copy(self, target: ResumeTarget) -> None:
        self.discarded.append(target)


class Streams:
    """Records which streams began and which are complete.

    Attributes:
        begun: Attempts whose first event was passed on.
        complete: Attempts whose callers have the whole stream.
        on_begin: Called at each first event.
    """

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.complete: list[str] = []
        self.on_begin: Callable[[], None] = lambda: None

    def record_begin(self, run: Run) -> None:
        self.begun.append(run.attempt_id)
        self.on_begin()

    def record_complete(self, run: Run) -> None:
        self.complete.append(run.attempt_id)


class ServedRun:
    """A run at engine `a`, and an engine `b` without any.

    Attributes:
        run: The run.
        engines: What engines answer.
        sink: The caller.
        mover: Moves the run.
        checks: Tells which processes have ended.
        streams: Which streams began.
        pool: The engines.
    """

    def __init__(
        self, *answers: Started | NotRun, end: ProcessEnd = ProcessEnd.LIVES
    ) -> None:
        self.pool = make_pool(make_store_view(a=9, b=10))
        self.queue = EngineQueue(self.pool)
        self.engines = ScriptedEngines(*answers)
        self.checks = Checks(end)
        self.mover = Mover()
        self.streams = Streams()
        self.sink = Sink()
        doubles: list[Any] = [
            Codec(),
            self.engines,
            self.checks,
            self.mover,
            make_crash_guard(),
            self.streams,
        ]
        self.runs = EngineRuns(self.pool, self.queue, *doubles)
        req = make_generation_request()
        self.run = Run(make_admitted_request(req, engine=ENGINE), 1100)

    async def serve(self) -> NotRun | Answered | Broken | None:
        """Serves the run at the engine `a`."""
        server = await self.queue.acquire(self.run, {"b"})
        assert server is not None
        return await self.runs.serve(
            self.run, server, self.sink, {"a"}, is_last=False
        )

    def server(self, server_id: str) -> BackendServer:
        found = self.pool.find_server(server_id)
        assert found is not None
        return found

    def drain(self) -> None:
        """Lets the engine `a` leave."""
        entry = self.server("a").entry
        self.pool._registry.mark_leaving("a", entry.started_ms)

    def drains_when_begun(self) -> None:
        """Lets the engine `a` leave at the first event."""
        self.streams.on_begin = self.drain

    def set_target(self) -> None:
        """Lets the run be moved to the engine `b`."""
        self.mover.target = ResumeTarget(
            self.server("b"), self.server("a"), KvCopy(("127.0.0.1", 9), "copy")
        )

    def loads(self) -> dict[str, int]:
        return {
            name: self.pool.load_tracker.open_requests(name) for name in "ab"
        }


def begin(
    *chunks: Chunk, head: AnswerHead = HEAD, run_id: str = "r"
) -> Started:
    """Returns an answer whose stream has these chunks, and then ends."""
    call: Any = ScriptedCall(chunks)
    return Started(call, head, run_id, CancelRequest("DELETE", f"/{run_id}"))
