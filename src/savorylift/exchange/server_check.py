"""Finds out whether a server that closed a connection is gone.

Another process may have taken its place, at its address and under its ID.
"""

import asyncio
import enum
import time
import weakref
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_START
from savorylift.exchange import metrics
from savorylift.exchange.idle_connections import IdleConnections
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.process_connections import (
    ProcessConnections,
    ProcessPlace,
    known_place,
)
from savorylift.exchange.server_contact import (
    NoContact,
    is_accepting,
    open_contact,
)
from savorylift.exchange.shared_checks import SharedChecks
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
# Bounds the memory of servers that are gone.
MAX_SAID = 10_000

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


class ProcessEnd(enum.StrEnum):
    """What is known of the process that closed a connection.

    Attributes:
        LIVES: It has not ended, so that its answer may count as whole.
        ENDED: It has ended, which may have broken its answer off.
        LEFT: Either that or not known, and it is out of service.
        UNKNOWN: Neither is known.
    """

    LIVES = "lives"
    ENDED = "ended"
    LEFT = "left"
    UNKNOWN = "unknown"


class _Finding(NamedTuple):
    """What a check has found.

    Attributes:
        outcome: Whether connections are accepted.
        started_ms: When the process that accepts them started; `NO_START` if
            that isn't known.
    """

    outcome: CheckOutcome
    started_ms: int = NO_START


class ServerCheck:
    """Judges answers that ended with nothing but a close.

    A process that has ended closes all its connections, and refuses others
    unless another process listens in its place: that one says when it started.
    Where nothing tells whether it has ended, an answer doesn't count as whole.
    """

    def __init__(
        self,
        limit_gate: LimitGate,
        is_in_service: Callable[[BackendServer], bool],
        is_held: Callable[[str], bool],
        read_start: ChannelStartReader,
    ) -> None:
        """Creates a check without any connections.

        Args:
            limit_gate: Holds the limits that servers name.
            is_in_service: Returns whether a server is registered and not
                draining.
            is_held: Returns whether a server, given by its ID, wants no
                requests.
            read_start: Asks a server when it started.
        """
        self._limit_gate = limit_gate
        self._is_in_service = is_in_service
        self._is_held = is_held
        self._read_start = read_start
        self._connections = ProcessConnections()
        self._idle = IdleConnections(self._connections)
        self._places: weakref.WeakKeyDictionary[Channel, ProcessPlace] = (
            weakref.WeakKeyDictionary()
        )
        # Starts that servers have said and their entries haven't, by server.
        self._said_ms: dict[str, int] = {}
        self._checks: SharedChecks[_Finding] = SharedChecks()
        self._questions: SharedChecks[_Finding] = SharedChecks()

    def add_channel(self, server: BackendServer, channel: Channel) -> None:
        """Adds a connection, just opened, for a request to a server."""
        said_ms = self._said_ms.get(server.entry.server_id)
        place = known_place(server, said_ms)
        self._places[channel] = place
        self._connections.add(place, channel)
        # A question takes a part of the limit, and short answers end before
        # a connection that is opened with them.
        if self._limit_gate.is_limited(server.entry):
            self._idle.prepare(place, server.entry.service)

    def begin_unframed(self, server: BackendServer, channel: Channel) -> None:
        """Records that nothing but a close will end an answer.

        Args:
            server: The server.
            channel: Connection of the answer, added before.
        """
        place = self._places[channel]
        self._idle.begin(place, server.entry.service, channel)

    def end_unframed(self, channel: Channel) -> None:
        """Ends `begin_unframed`, once no `find_end` follows."""
        self._idle.end(self._places[channel], channel)

    async def find_end(
        self, server: BackendServer, channel: Channel, request: str
    ) -> ProcessEnd:
        """Returns whether the process that closed a connection has ended.

        Args:
            server: The server.
            channel: Connection whose answer has ended.
            request: Identifies the request in logs.
        """
        began_s = time.monotonic()
        found, end = await self._find_out(server, channel, request)
        if end is not ProcessEnd.LIVES and not self._is_in_service(server):
            end = ProcessEnd.LEFT
        metrics.ANSWER_ENDS.labels(end.value).inc()
        _log.info(
            "answer_end",
            request=request,
            server=server.entry.server_id,
            process=end.value,
            outcome=found.outcome.value,
            start_ms=found.started_ms,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )
        return end

    async def _find_out(
        self, server: BackendServer, channel: Channel, request: str
    ) -> tuple[_Finding, ProcessEnd]:
        found = await self._find(server, request)
        end = self._judge(channel, found, request)
        if end is not ProcessEnd.UNKNOWN:
            return found, end
        return await self._find_by_others(server, channel, request, found)

    async def _find_by_others(
        self,
        server: BackendServer,
        channel: Channel,
        request: str,
        found: _Finding,
    ) -> tuple[_Finding, ProcessEnd]:
        """Judges by other connections, then by a further question."""
        was_refused = found.outcome is CheckOutcome.GONE
        # A server that is full holds requests; one that drains may refuse.
        counts_idle = not was_refused or not self._is_in_service(server)
        others = self._connections.others(channel, counts_idle=counts_idle)
        if was_refused and not others:
            return found, ProcessEnd.ENDED
        if await self._connections.any_stays_open(
            channel, counts_idle=counts_idle
        ):
            return found, ProcessEnd.LIVES
        if self._limit_gate.is_limited(server.entry):
            found = await self._questions.run(
                _key(server), lambda: self._ask_with_permit(server, request)
            )
        elif found.outcome is not CheckOutcome.ACCEPTED:
            # Another process may listen by now, or a packet was lost.
            found = await self._find(server, request)
        if was_refused or found.outcome is CheckOutcome.GONE:
            is_back = self._judge(channel, found, request) is ProcessEnd.LIVES
            return found, ProcessEnd.LIVES if is_back else ProcessEnd.ENDED
        return found, self._judge(channel, found, request)

    async def _find(self, server: BackendServer, request: str) -> _Finding:
        return await self._checks.run(
            _key(server), lambda: self._check(server, request)
        )

    def _judge(
        self, channel: Channel, found: _Finding, request: str
    ) -> ProcessEnd:
        """Returns what a start tells of the process of a connection."""
        place = self._places.get(channel)
        if place is None or NO_START in (found.started_ms, *place.starts_ms):
            return ProcessEnd.UNKNOWN
        if found.started_ms in place.starts_ms:
            return ProcessEnd.LIVES
        metrics.REPLACED_SERVERS.inc()
        _log.info(
            "server_replaced",
            request=request,
            server=place.server_id,
            known_starts_ms=sorted(place.starts_ms),
            start_ms=found.started_ms,
        )
        return ProcessEnd.ENDED

    async def _check(self, server: BackendServer, request: str) -> _Finding:
        began_s = time.monotonic()
        found = await self._ask(server)
        self._record(server, request, found, began_s)
        return found

    async def _ask_with_permit(
        self, server: BackendServer, request: str
    ) -> _Finding:
        began_s = time.monotonic()
        found = _Finding(CheckOutcome.NO_PERMIT)
        if self._may_ask(server) and await self._has_permit(server, request):
            found = await self._ask(server, has_permit=True)
        self._record(server, request, found, began_s)
        return found

    async def _look(self, server: BackendServer) -> _Finding:
        """Connects to a server without a request."""
        accepts = await is_accepting(server.entry.address, CHECK_TIMEOUT_S)
        if accepts is None:
            return _Finding(CheckOutcome.UNREACHABLE)
        return _Finding(CheckOutcome.ACCEPTED if accepts else CheckOutcome.GONE)

    async def _ask(
        self, server: BackendServer, *, has_permit: bool = False
    ) -> _Finding:
        """Asks a server when it started, if it may get a request for that."""
        is_limited = self._limit_gate.is_limited(server.entry)
        if not self._may_ask(server) or (is_limited and not has_permit):
            return await self._look(server)
        for _ in range(MAX_CONNECTIONS):
            contact = await open_contact(server.entry.address, CHECK_TIMEOUT_S)
            if contact is NoContact.REFUSED:
                return _Finding(CheckOutcome.GONE)
            if isinstance(contact, NoContact):
                return _Finding(CheckOutcome.UNREACHABLE)
            started_ms = await self._read_start(contact, REPORT_TIMEOUT_S)
            if started_ms is not None:
                return _Finding(CheckOutcome.ACCEPTED, started_ms)
        return _Finding(CheckOutcome.SILENT)

    def _may_ask(self, server: BackendServer) -> bool:
        entry = server.entry
        if entry.started_ms == NO_START or self._is_held(entry.server_id):
            return False
        return self._is_in_service(server)

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
        found: _Finding,
        began_s: float,
    ) -> None:
        self._record_said(server, found.started_ms)
        metrics.SERVER_CHECKS.labels(found.outcome.value).inc()
        _log.info(
            "server_check",
            request=request,
            server=server.entry.server_id,
            outcome=found.outcome.value,
            start_ms=found.started_ms,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )

    def _record_said(self, server: BackendServer, started_ms: int) -> None:
        """Keeps a start that the entry of a server doesn't say yet."""
        if started_ms == server.entry.started_ms:
            self._said_ms.pop(server.entry.server_id, None)
        elif started_ms != NO_START:
            while len(self._said_ms) >= MAX_SAID:
                del self._said_ms[next(iter(self._said_ms))]
            self._said_ms[server.entry.server_id] = started_ms


def _key(server: BackendServer) -> str:
    host, port = server.entry.address
    return f"{server.entry.server_id}@{host}:{port}"
