"""Finds out whether a server accepts connections, and when it started."""

import asyncio
import enum
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_START
from savorylift.exchange import metrics
from savorylift.limits.limit_gate import LimitGate
from savorylift.processes.server_contact import (
    NoContact,
    is_accepting,
    open_contact,
)
from savorylift.processes.shared_checks import SharedChecks
from savorylift.wire.channel import Channel

# A caller waits for its answer meanwhile.
CHECK_TIMEOUT_S = 0.1
# The same, once a server has accepted the connection.
REPORT_TIMEOUT_S = 0.3
# Longest wait for a permit if the server names a limit: callers abandon a
# stream after a pause of two seconds.
PERMIT_WAIT_S = 1.0
# A process that is ending may accept a connection that it then resets.
MAX_CONNECTIONS = 2

_log = structlog.get_logger()

# Asks a server on a new connection, which it closes, given a timeout in
# seconds. Returns the Unix time in milliseconds at which it started; `NO_START`
# if it doesn't say, and None if it doesn't answer.
ChannelStartReader = Callable[[Channel, float], Awaitable[int | None]]


class CheckOutcome(enum.StrEnum):
    """What a check has found.

    Attributes:
        GONE: Connections are refused.
        ACCEPTED: The server accepts connections, and says when it started if
            it was asked.
        SILENT: The server accepts connections, but doesn't answer.
        UNREACHABLE: There was no reply in time.
        NO_PERMIT: The server names a limit that is used up.
    """

    GONE = "gone"
    ACCEPTED = "accepted"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    NO_PERMIT = "no_permit"


class Finding(NamedTuple):
    """What a check has found.

    Attributes:
        outcome: Whether connections are accepted.
        started_ms: When the process that accepts them started; `NO_START` if
            that isn't known.
    """

    outcome: CheckOutcome
    started_ms: int = NO_START


class ServerInquiry:
    """Connects to servers, and asks them if they may get a request for that.

    Those that wait for the same server share what is found.
    """

    def __init__(
        self,
        limit_gate: LimitGate,
        may_ask: Callable[[BackendServer], bool],
        read_start: ChannelStartReader,
    ) -> None:
        """Asks nobody yet.

        Args:
            limit_gate: Holds the limits that servers name.
            may_ask: Returns whether a server may be asked.
            read_start: Asks a server when it started.
        """
        self._limit_gate = limit_gate
        self._may_ask = may_ask
        self._read_start = read_start
        self._checks: SharedChecks[Finding] = SharedChecks()
        self._questions: SharedChecks[Finding] = SharedChecks()

    async def find(self, server: BackendServer, request: str) -> Finding:
        """Asks a server, or only connects if a question would need a permit.

        Args:
            server: The server.
            request: Identifies the request in logs.
        """
        return await self._checks.run(
            _key(server), lambda: self._check(server, request)
        )

    async def find_in_turn(
        self, server: BackendServer, request: str
    ) -> Finding:
        """Asks a server with a permit for which it may wait.

        For the arguments see `find`.
        """
        return await self._questions.run(
            _key(server), lambda: self._ask_in_turn(server, request)
        )

    async def _check(self, server: BackendServer, request: str) -> Finding:
        """Asks a server, or only connects if it names a limit."""
        began_s = time.monotonic()
        is_limited = self._limit_gate.is_limited(server.entry)
        is_asked = self._may_ask(server) and not is_limited
        found = await (self._ask(server) if is_asked else self._look(server))
        self._record(server, request, found, began_s)
        return found

    async def _ask_in_turn(
        self, server: BackendServer, request: str
    ) -> Finding:
        """Asks a server with a permit for which it may wait."""
        began_s = time.monotonic()
        found = Finding(CheckOutcome.NO_PERMIT)
        if self._may_ask(server) and await self._has_permit(server, request):
            found = await self._ask(server)
        self._record(server, request, found, began_s)
        return found

    async def _look(self, server: BackendServer) -> Finding:
        """Connects to a server without a request."""
        accepts = await is_accepting(server.entry.address, CHECK_TIMEOUT_S)
        if accepts is None:
            return Finding(CheckOutcome.UNREACHABLE)
        return Finding(CheckOutcome.ACCEPTED if accepts else CheckOutcome.GONE)

    async def _ask(self, server: BackendServer) -> Finding:
        """Asks a server when it started."""
        for _ in range(MAX_CONNECTIONS):
            contact = await open_contact(server.entry.address, CHECK_TIMEOUT_S)
            if contact is NoContact.REFUSED:
                return Finding(CheckOutcome.GONE)
            if isinstance(contact, NoContact):
                return Finding(CheckOutcome.UNREACHABLE)
            started_ms = await self._read_start(contact, REPORT_TIMEOUT_S)
            if started_ms is not None:
                return Finding(CheckOutcome.ACCEPTED, started_ms)
        return Finding(CheckOutcome.SILENT)

    async def _has_permit(self, server: BackendServer, request: str) -> bool:
        """Whether the limit of a server leaves room for a question.

        Takes what requests leave, or waits for a turn among them.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                permit = await self._limit_gate.acquire(
                    server, request, 0.0, is_probe=True
                )
            if permit is not None:
                return True
            async with asyncio.timeout(PERMIT_WAIT_S + CHECK_TIMEOUT_S):
                permit = await self._limit_gate.acquire(
                    server, request, PERMIT_WAIT_S
                )
        except TimeoutError:
            return False
        return permit is not None

    def _record(
        self,
        server: BackendServer,
        request: str,
        found: Finding,
        began_s: float,
    ) -> None:
        metrics.SERVER_CHECKS.labels(found.outcome.value).inc()
        _log.info(
            "server_check",
            request=request,
            server=server.entry.server_id,
            outcome=found.outcome.value,
            start_ms=found.started_ms,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )


def _key(server: BackendServer) -> str:
    host, port = server.entry.address
    return f"{server.entry.server_id}@{host}:{port}"
