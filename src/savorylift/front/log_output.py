"""Writes structured logs with a rate limit and without blocking."""

import json
import os
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

# Lines are dropped while more output than this waits for the reader of the file
# descriptor.
MAX_PENDING_BYTES = 1_048_576
WINDOW_S = 1.0


class LineRateLimiter:
    """Limits the log lines of each event per second.

    Attributes:
        dropped: Lines dropped since they were last reported, by event.
    """

    def __init__(self, lines_per_s: int) -> None:
        """Allows `lines_per_s` lines of each event."""
        self._max_lines = lines_per_s
        self._window_start_s = time.monotonic()
        self._counts: dict[str, int] = {}
        self.dropped: dict[str, int] = {}

    def allow(self, event: str) -> bool:
        """Counts a line of an event; returns whether it may be written."""
        now_s = time.monotonic()
        if now_s - self._window_start_s >= WINDOW_S:
            self._window_start_s = now_s
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= self._max_lines:
            return True
        self.dropped[event] = self.dropped.get(event, 0) + 1
        return False

    def pop_dropped(self) -> dict[str, int]:
        """Returns the dropped lines by event and resets the counts."""
        dropped, self.dropped = self.dropped, {}
        return dropped


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Attributes:
        lost_lines: Lines dropped because the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        """Sets the file descriptor to non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lost_lines = 0

    def write(self, line: str) -> None:
        """Writes or buffers a line; drops it if the buffer is full."""
        if len(self._pending) > MAX_PENDING_BYTES:
            self.lost_lines += 1
            return
        self._pending += line.encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                self._pending.clear()
                return
            del self._pending[:written]


def configure_logging(vm: str, lines_per_s: int, descriptor: int = 1) -> None:
    """Configures structlog to write JSON lines to a file descriptor.

    Args:
        vm: VM name added to each line.
        lines_per_s: Most lines of one event per second.
        descriptor: File descriptor; standard output by default.
    """
    writer = LineWriter(descriptor)
    rate_limiter = LineRateLimiter(lines_per_s)

    def limit(
        _logger: object, _name: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        if not rate_limiter.allow(str(event["event"])):
            raise structlog.DropEvent
        dropped = rate_limiter.pop_dropped()
        if dropped:
            event["dropped_lines"] = dropped
        event["vm"] = vm
        return event

    def render(
        _logger: object, _name: str, event: MutableMapping[str, Any]
    ) -> str:
        return json.dumps(event, default=str)

    structlog.configure(
        processors=[
            limit,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        logger_factory=lambda *_: _LineLogger(writer),
        cache_logger_on_first_use=True,
    )


class _LineLogger:
    """Logger for structlog that writes all levels to one writer."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line)

    debug = info = warning = error = critical = exception = msg
