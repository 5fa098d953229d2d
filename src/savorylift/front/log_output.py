"""Structured logs on standard output, bounded, never waiting."""

import json
import os
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

# Lines that the reader of standard output has not taken yet.
PENDING_BYTES = 1_048_576
WINDOW_S = 1.0


class LineBudget:
    """Counts lines of each kind in the current second."""

    def __init__(self, lines_per_s: int) -> None:
        """Allows `lines_per_s` lines of one kind."""
        self._most = lines_per_s
        self._since_s = time.monotonic()
        self._counts: dict[str, int] = {}
        self.dropped: dict[str, int] = {}

    def allows(self, kind: str) -> bool:
        """Whether one more line of a kind may be written."""
        now_s = time.monotonic()
        if now_s - self._since_s >= WINDOW_S:
            self._since_s = now_s
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count <= self._most:
            return True
        self.dropped[kind] = self.dropped.get(kind, 0) + 1
        return False

    def take_dropped(self) -> dict[str, int]:
        """Returns and forgets how many lines of each kind were dropped."""
        dropped, self.dropped = self.dropped, {}
        return dropped


class LineWriter:
    """Writes lines to a descriptor that may be full."""

    def __init__(self, descriptor: int) -> None:
        """Makes the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lost_lines = 0

    def write(self, line: str) -> None:
        """Writes a line, or keeps it for the next call; drops if full."""
        if len(self._pending) > PENDING_BYTES:
            self.lost_lines += 1
            return
        self._pending += line.encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes what can be written now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                self._pending.clear()
                return
            del self._pending[:written]


def configure_logs(vm: str, lines_per_s: int, descriptor: int = 1) -> None:
    """Sends structlog events to a descriptor, as JSON, one a line.

    Args:
        vm: Name put on every line.
        lines_per_s: Lines of one kind that are written a second.
        descriptor: Where to; standard output if not given.
    """
    writer = LineWriter(descriptor)
    budget = LineBudget(lines_per_s)

    def limit(
        _logger: object, _name: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        if not budget.allows(str(event["event"])):
            raise structlog.DropEvent
        dropped = budget.take_dropped()
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
        logger_factory=lambda *_: _Lines(writer),
        cache_logger_on_first_use=True,
    )


class _Lines:
    """Gives every level of structlog the same writer."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line)

    debug = info = warning = error = critical = exception = msg
