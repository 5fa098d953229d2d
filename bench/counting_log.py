"""A log that counts, and how costs are printed."""

import time
from typing import NamedTuple

import msgspec
import structlog
from returns.result import Result
from tests.log_service.fakes import FakeLog

from savorylift.log_service.log import LogEntry, LogFault, LogPage

APPEND_DELAY_S = 0.005
MICROSECONDS = 1_000_000


class CountingLog:
    """A log in memory that answers late and counts what it is sent."""

    def __init__(self) -> None:
        """Starts empty."""
        self._log = FakeLog()
        self.appends = 0
        self.sent_bytes = 0

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        """Appends after the delay."""
        time.sleep(APPEND_DELAY_S)
        self.appends += 1
        self.sent_bytes += sum(map(_size, entries))
        return self._log.append(stream, entries)

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        """Reads at once."""
        return self._log.read(stream, offset, wait_s)


def silence_logs() -> None:
    """Drops the package's own log lines."""
    structlog.configure(processors=[_drop])


def print_cost(cost: NamedTuple) -> None:
    """Prints one measurement as a line of JSON."""
    rounded = {
        name: round(value, 1) if isinstance(value, float) else value
        for name, value in cost._asdict().items()
    }
    body = {"measured": type(cost).__name__, **rounded}
    print(msgspec.json.encode(body).decode())


def _size(entry: LogEntry) -> int:
    return len(entry.record_id) + len(entry.kind) + len(entry.body)


def _drop(*_: object) -> str:
    raise structlog.DropEvent
