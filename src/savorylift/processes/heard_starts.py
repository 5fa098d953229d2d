"""The starts that servers have named when they were asked."""

from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_REPORT, NO_START
from savorylift.processes.life_report import Life, LifeReport

# Bounds the memory that answers take.
MAX_HEARD = 10_000

_log = structlog.get_logger()


class HeardStart(NamedTuple):
    """An answer of a server.

    Attributes:
        started_ms: The start that it named; `NO_START` if none.
        asked_s: Boot time before the question was sent.
        latest_ms: The latest start that the server has named.
    """

    started_ms: int
    asked_s: float
    latest_ms: int = NO_START


class HeardStarts:
    """The newest answer of each server, by its ID and address."""

    def __init__(self) -> None:
        """Starts without any answer."""
        self._heard: dict[str, HeardStart] = {}

    def find(self, server: BackendServer, since_s: float) -> LifeReport | None:
        """Returns what the newest answer says; None if it is too old.

        Args:
            server: The server.
            since_s: Boot time since which the question must have been sent.
        """
        heard = self._heard.get(server_key(server))
        if heard is None or heard.asked_s < since_s:
            return None
        return self.judge(server, heard.started_ms)

    def record(self, server: BackendServer, heard: HeardStart) -> None:
        """Keeps the newest answer of a server."""
        key = server_key(server)
        known = self._heard.pop(key, None)
        latest_ms = heard.started_ms
        if known is not None:
            latest_ms = max(latest_ms, known.latest_ms)
            heard = max(known, heard, key=lambda answer: answer.asked_s)
        heard = heard._replace(latest_ms=latest_ms)
        while len(self._heard) >= MAX_HEARD:
            del self._heard[next(iter(self._heard))]
        self._heard[key] = heard

    def judge(self, server: BackendServer, started_ms: int) -> LifeReport:
        """Returns what a start says of the process that named it.

        `Life.SAME` means only that the server has named a sound start; the
        caller compares that with the start of the entry.

        Args:
            server: The server.
            started_ms: The start; `NO_START` or `NO_REPORT` if it named none.
        """
        if started_ms == NO_START:
            return LifeReport(Life.UNNAMED)
        latest_ms = self._heard[server_key(server)].latest_ms
        if started_ms == NO_REPORT:
            has_reported = latest_ms > NO_START
            return LifeReport(Life.UNNAMED if has_reported else Life.NO_REPORT)
        if started_ms < latest_ms:
            _log.warning(
                "server_start_unsound",
                server=server.entry.server_id,
                start_ms=started_ms,
                latest_start_ms=latest_ms,
            )
            return LifeReport(Life.UNSOUND)
        return LifeReport(Life.SAME, started_ms)


def server_key(server: BackendServer) -> str:
    """Returns the ID and the address of a server."""
    host, port = server.entry.address
    return f"{server.entry.server_id}@{host}:{port}"
