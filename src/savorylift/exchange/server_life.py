"""Finds out whether a server is still the process whose entry is known.

A server may start again under its ID, at its address, with another software
version, and serve before its new entry is read.
"""

import enum
from collections.abc import Awaitable, Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.shared_checks import SharedChecks

# A caller waits for the rest of its stream meanwhile.
REPORT_TIMEOUT_S = 0.4
# What stands in place of a start that isn't named.
NO_START = 0

_log = structlog.get_logger()

# Returns the Unix time in milliseconds at which the server at an address
# started, given a timeout in seconds; `NO_START` if it doesn't say, and None if
# it doesn't answer.
StartReader = Callable[[tuple[str, int], float], Awaitable[int | None]]


class Life(enum.StrEnum):
    """Which process of a server answers.

    Attributes:
        SAME: That of the entry.
        OTHER: One that has started since.
        SILENT: None.
        UNSAID: The server can't be asked, or doesn't say.
    """

    SAME = "same"
    OTHER = "other"
    SILENT = "silent"
    UNSAID = "unsaid"


class ServerLife:
    """Asks servers when they started."""

    def __init__(
        self,
        limit_gate: LimitGate,
        is_held: Callable[[str], bool],
        read_start: StartReader,
    ) -> None:
        """Asks nobody yet.

        Args:
            limit_gate: Holds the limits that servers name.
            is_held: Returns whether a server, given by its ID, wants no
                requests.
            read_start: Asks a server.
        """
        self._limit_gate = limit_gate
        self._is_held = is_held
        self._read_start = read_start
        self._checks: SharedChecks[int | None] = SharedChecks()

    async def check(self, server: BackendServer, request: str) -> Life:
        """Returns which process answers.

        What was sent on a connection that was open before the call has gone
        to that process, or to none.
        """
        entry = server.entry
        started_ms: int | None = NO_START
        if entry.started_ms != NO_START:
            started_ms = await self._checks.run(
                entry.server_id, lambda: self._ask(server)
            )
        life = _compare(entry.started_ms, started_ms)
        metrics.SERVER_LIVES.labels(life.value).inc()
        if life in (Life.OTHER, Life.SILENT):
            _log.info(
                "server_life",
                request=request,
                server=entry.server_id,
                known_start_ms=entry.started_ms,
                start_ms=started_ms,
                life=life.value,
            )
        return life

    async def _ask(self, server: BackendServer) -> int | None:
        if self._is_held(server.entry.server_id):
            return NO_START
        permit = await self._limit_gate.acquire(
            server, "server_life", 0.0, is_probe=True
        )
        if permit is None:
            return NO_START
        return await self._read_start(server.entry.address, REPORT_TIMEOUT_S)


def _compare(known_ms: int, started_ms: int | None) -> Life:
    if started_ms is None:
        return Life.SILENT
    if started_ms == NO_START:
        return Life.UNSAID
    return Life.SAME if started_ms == known_ms else Life.OTHER
