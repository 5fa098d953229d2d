"""Threads that wait for the log on behalf of the rules actor."""

import queue
import threading
import time
from collections.abc import Callable

from returns.result import Success

from savorylift.log_service.log import RULES_STREAM, Log
from savorylift.rules.inbox import (
    AppendEnded,
    AppendJob,
    PageRead,
    ReadFailed,
)

FAULT_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


class LogReader:
    """Reads the rules stream to its tail, over and over.

    `take` is given each answer and returns the offset to read next, or None
    to end the thread.
    """

    def __init__(
        self,
        log: Log,
        wait_s: float,
        take: Callable[[PageRead | ReadFailed], int | None],
    ) -> None:
        """Prepares the thread; a read waits up to `wait_s` for a record."""
        self._log = log
        self._wait_s = wait_s
        self._take = take
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="rules-reader", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self, timeout_s: float) -> bool:
        """Ends the thread; False if it did not end in time."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        offset: int | None = 0
        pause_s = FAULT_PAUSE_S
        # The first answer, and the first after a fault, must not be held
        # back: until it comes this node has no proof of the log's tail.
        wait_s = 0.0
        while offset is not None and not self._stop.is_set():
            sent_s = time.monotonic()
            result = self._log.read(RULES_STREAM, offset, wait_s)
            wait_s = self._wait_s
            if isinstance(result, Success):
                pause_s = FAULT_PAUSE_S
                offset = self._take(PageRead(offset, sent_s, result.unwrap()))
                continue
            offset = self._take(ReadFailed(result.failure()))
            wait_s = 0.0
            self._stop.wait(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)


class LogWriter:
    """Tries each append once and tells how it ended."""

    def __init__(self, log: Log, done: Callable[[AppendEnded], None]) -> None:
        """Prepares the thread."""
        self._log = log
        self._done = done
        self._jobs: queue.SimpleQueue[AppendJob | None] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name="rules-writer", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def put(self, job: AppendJob) -> None:
        """Queues an append; any thread."""
        self._jobs.put(job)

    def stop(self, timeout_s: float) -> bool:
        """Ends the thread after queued appends; False if not in time."""
        self._jobs.put(None)
        if self._thread.is_alive():
            self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            result = self._log.append(RULES_STREAM, job.entries)
            self._done(AppendEnded(job.purpose, result))
