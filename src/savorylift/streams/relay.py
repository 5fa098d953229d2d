"""Moves token events from engines to callers on one thread.

One thread serves every stream of a node: with a thread a stream, waiting for
the interpreter lock after each system call costs more than the work itself.
"""

import collections
import selectors
import socket
import threading
import time
from typing import cast

from savorylift.streams.delivery import Verdict
from savorylift.streams.events import TokenEvent
from savorylift.streams.relay_job import RelayEnd, RelayJob
from savorylift.streams.sink import Sink

SWEEP_S = 0.05  # granularity of timeouts


VERDICT_ENDS = {
    Verdict.OUT_OF_ORDER: RelayEnd.OUT_OF_ORDER,
    Verdict.WRONG_GENERATION: RelayEnd.WRONG_GENERATION,
    Verdict.DIVERGED: RelayEnd.DIVERGED,
}


class Relay:
    """The relay thread and its streams."""

    def __init__(self) -> None:
        """Prepares the thread; `start` runs it."""
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._added: collections.deque[RelayJob] = collections.deque()
        self._jobs: set[RelayJob] = set()
        self._sinks: set[Sink] = set()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="relay")
        self._thread.daemon = True

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends every stream with `STOPPED` and waits for the thread."""
        self._is_stopping = True
        self._wake()
        self._thread.join()

    def add(self, job: RelayJob) -> None:
        """Hands a job to the thread; the caller then waits on the job."""
        self._added.append(job)
        self._wake()

    def keep_alive(self, sink: Sink) -> None:
        """Shows a sink's caller that this node is alive, until `forget`."""
        self._sinks.add(sink)
        self._wake()

    def forget(self, sink: Sink) -> None:
        """Ends what `keep_alive` began."""
        self._sinks.discard(sink)

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            return  # a wake-up is already on its way

    def _run(self) -> None:
        next_sweep_s = time.monotonic() + SWEEP_S
        while not self._is_stopping:
            timeout_s = max(0.0, next_sweep_s - time.monotonic())
            for key, _ in self._selector.select(
                timeout_s if self._jobs or self._sinks else None
            ):
                self._handle(key)
            self._take_added()
            if time.monotonic() >= next_sweep_s:
                self._sweep()
                next_sweep_s = time.monotonic() + SWEEP_S
        self._take_added()
        for job in tuple(self._jobs):
            self._finish(job, RelayEnd.STOPPED)

    def _handle(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._wake_reader:
            self._drain_wakes()
            return
        job = cast("RelayJob", key.data)
        if job not in self._jobs:
            return  # finished earlier in the same round
        if key.fileobj is job.source:
            self._read_source(job)
        else:
            self._serve_caller(job)

    def _drain_wakes(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                pass
        except BlockingIOError:
            return

    def _take_added(self) -> None:
        while self._added:
            job = self._added.popleft()
            self._jobs.add(job)
            self._selector.register(job.source, selectors.EVENT_READ, job)
            self._watch_caller(job)
            self._take(job, *job.source.buffered())

    def _read_source(self, job: RelayJob) -> None:
        self._take(job, *job.source.receive())

    def _take(
        self,
        job: RelayJob,
        events: tuple[TokenEvent, ...],
        is_closed: bool,  # noqa: FBT001
        fault: str | None,
    ) -> None:
        """Judges events, delivers the good ones and notes an end."""
        end = self._pass_on(job, events)
        if end is None and (is_closed or fault is not None):
            end = RelayEnd.SOURCE_LOST
        if job.sink.caller.is_lost:
            end = RelayEnd.CALLER_GONE
        elif job.sink.caller.is_too_slow():
            end = RelayEnd.CALLER_TOO_SLOW
        if end is None:
            self._watch_caller(job)
        else:
            self._finish(job, end)

    def _pass_on(
        self, job: RelayJob, events: tuple[TokenEvent, ...]
    ) -> RelayEnd | None:
        if not events:
            return None
        job.note_events()
        ready: list[TokenEvent] = []
        end = None
        for event in events:
            verdict = job.delivery.judge(event)
            if verdict in (Verdict.DELIVER, Verdict.END):
                ready.append(event)
            end = VERDICT_ENDS.get(verdict)
            if verdict is Verdict.END:
                end = RelayEnd.COMPLETE
            if end is not None:
                break
        if ready:
            job.sink.deliver(ready)
        return end

    def _serve_caller(self, job: RelayJob) -> None:
        caller = job.sink.caller
        caller.flush()
        caller.check_gone()
        if caller.is_lost:
            self._finish(job, RelayEnd.CALLER_GONE)
            return
        self._watch_caller(job)

    def _watch_caller(self, job: RelayJob) -> None:
        """Asks the selector for what the caller's connection needs now."""
        caller = job.sink.caller
        wanted = selectors.EVENT_READ if caller.is_read_watched else 0
        if caller.has_unsent():
            wanted |= selectors.EVENT_WRITE
        if wanted == job.watched_events:
            return
        if job.watched_events:
            self._selector.unregister(caller)
        if wanted:
            self._selector.register(caller, wanted, job)
        job.watched_events = wanted

    def _sweep(self) -> None:
        for sink in tuple(self._sinks):
            sink.keep_alive()
        now_s = time.monotonic()
        for job in tuple(self._jobs):
            end = job.expired(now_s)
            if end is not None:
                self._finish(job, end)

    def _finish(self, job: RelayJob, end: RelayEnd) -> None:
        self._jobs.discard(job)
        self._selector.unregister(job.source)
        if job.watched_events:
            self._selector.unregister(job.sink.caller)
            job.watched_events = 0
        job.source.close()
        job.finish(end)
