"""The configuration as an operator's command reads it from the log."""

import time

from returns.result import Success

from savorylift.log_service.log import (
    RULES_STREAM,
    Log,
    LogEntry,
    LogPage,
    LogRecord,
)
from savorylift.rules.fold import CONFIG_FOLD, ConfigFold
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesView


class WatchingFold(ConfigFold):
    """Also keeps the lines of one version as it passes.

    Attributes:
        watched_lines: Lines of the watched version; None until it is met.
    """

    def __init__(self, watched_version: int | None) -> None:
        """Starts with an empty file, which is version -1."""
        super().__init__()
        self._watched_version = watched_version
        self.watched_lines: tuple[str, ...] | None = None
        self._watch()

    def apply(self, record: LogRecord) -> None:
        """Applies one record."""
        super().apply(record)
        self._watch()

    def load(self, text: str) -> None:
        """Replaces the state by one that `dump` returned."""
        super().load(text)
        self._watch()

    def _watch(self) -> None:
        if self.watched_lines is None and self.version == self._watched_version:
            self.watched_lines = self.lines()


class LogState:
    """Reads the rules stream in the calling thread.

    Attributes:
        log: The platform's log.
        config: The configuration as far as it was read.
    """

    def __init__(self, log: Log, watched_version: int | None = None) -> None:
        """Reads nothing yet."""
        self.log = log
        self.config = WatchingFold(watched_version)
        self._stream = RulesStream({CONFIG_FOLD: self.config})

    def next_offset(self) -> int:
        """Returns the offset after the newest record read."""
        return self._stream.next_offset

    def view(self) -> RulesView:
        """Returns the rules and orders read so far."""
        return self.config.view(self._stream.next_offset - 1)

    def snapshot(self) -> tuple[LogEntry, ...]:
        """Returns records of a snapshot of what was read so far."""
        return self._stream.snapshot()

    def read_to_tail(self, deadline_s: float) -> str | None:
        """Reads up to the log's tail; returns why it can't, or None."""
        while True:
            offset = self._stream.read_offset()
            result = self.log.read(RULES_STREAM, offset)
            if not isinstance(result, Success):
                return result.failure().message
            page: LogPage = result.unwrap()
            self._stream.take_page(page)
            if self._stream.read_offset() >= page.next_offset:
                break
            if time.monotonic() >= deadline_s:
                return "the log's tail was not reached in time"
        if self._stream.is_rebuilding:
            return "the log keeps no snapshot to start from"
        return None
