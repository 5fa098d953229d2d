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
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.shared_checks import SharedChecks
from savorylift.wire.channel import Channel, connect

# A caller waits for its answer meanwhile.
CHECK_TIMEOUT_S = 0.1
# The same, once a server has accepted the connection.
REPORT_TIMEOUT_S = 0.3
# A timeout that is seen so much too late is one of this node.
LATE_S = 0.05
# Longest wait for a permit if the server names a limit: callers abandon a
# stream after a pause of two seconds.
PERMIT_WAIT_S = 1.0
# A process that ends closes its connections one after the other, each within
# this time; and the longest wait for the last one.
CLOSING_S = 0.05
MAX_CLOSING_S = 0.3
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
        GONE: Connections are refused, and none of this node's is open.
        FULL: Connections are refused, but another one stays open.
        ACCEPTED: The server accepts connections, and says when it started if
            it was asked.
        SILENT: The server accepts connections, but doesn't answer.
        UNREACHABLE: There was no reply in time.
        NO_PERMIT: The server names a limit that is used up.
    """

    GONE = "gone"
    FULL = "full"
    ACCEPTED = "accepted"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    NO_PERMIT = "no_permit"


ACCEPTING = frozenset({CheckOutcome.ACCEPTED, CheckOutcome.SILENT})


class _Finding(NamedTuple):
    """What a check has found.

    Attributes:
        outcome: Whether connections are accepted.
        started_ms: When the process that accepts them started; `NO_START` if
            that isn't known.
    """

    outcome: CheckOutcome
    started_ms: int = NO_START


class _Opened(NamedTuple):
    """A connection for a request.

    Attributes:
        server_id: Its server.
        address: The address that the server had.
        starts_ms: Starts of the server that were known when it was opened.
    """

    server_id: str
    address: tuple[str, int]
    starts_ms: tuple[int, ...]


class ServerCheck:
    """Connects to servers whose answer ended with nothing but a close.

    The connections of a server whose process has just ended are refused, and
    all that it had are closed, unless another process listens in its place:
    then that one says when it started. In all other cases, such as a lost
    packet, the check says nothing against the answer.
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
                draining; others may end after an answer.
            is_held: Returns whether a server, given by its ID, wants no
                requests.
            read_start: Asks a server when it started.
        """
        self._limit_gate = limit_gate
        self._is_in_service = is_in_service
        self._is_held = is_held
        self._read_start = read_start
        # Open and closed connections.
        self._channels: weakref.WeakKeyDictionary[Channel, _Opened] = (
            weakref.WeakKeyDictionary()
        )
        # Starts that servers have said and their entries haven't, by server.
        self._said_ms: dict[str, int] = {}
        self._checks: SharedChecks[_Finding] = SharedChecks()

    def add_channel(self, server: BackendServer, channel: Channel) -> None:
        """Adds a connection for a request to a server."""
        server_id = server.entry.server_id
        starts_ms = {server.entry.started_ms, self._said_ms.get(server_id)}
        self._channels[channel] = _Opened(
            server_id,
            server.entry.address,
            tuple(start for start in starts_ms if start is not None),
        )

    async def is_gone(
        self, server: BackendServer, channel: Channel, request: str
    ) -> bool:
        """Whether a server's process has ended, against its intention.

        Answers that end at the same time share a connection: only one that
        was opened after an answer tells anything about its end.

        Args:
            server: The server.
            channel: Connection whose answer has ended.
            request: Identifies the request in logs.
        """
        if not self._is_in_service(server):
            self._said_ms.pop(server.entry.server_id, None)
            return False
        return await self._has_ended(server, channel, request)

    async def has_left(
        self, server: BackendServer, channel: Channel, request: str
    ) -> bool:
        """Whether a server's process has ended as it was to.

        Its last answer may be whole, or was broken off by its end. For the
        arguments see `is_gone`.
        """
        if self._is_in_service(server):
            return False
        return await self._has_ended(server, channel, request)

    async def is_replaced(
        self, server: BackendServer, channel: Channel, request: str
    ) -> bool:
        """Whether another process has taken the place of a server's.

        For the arguments see `is_gone`.
        """
        found = await self._find(server, request)
        return self._is_replaced(channel, found.started_ms, request)

    async def _has_ended(
        self, server: BackendServer, channel: Channel, request: str
    ) -> bool:
        found = await self._find(server, request)
        has_ended = found.outcome is CheckOutcome.GONE or self._is_replaced(
            channel, found.started_ms, request
        )
        is_known = has_ended or found.started_ms != NO_START
        metrics.ANSWER_ENDS.labels(
            "ended" if has_ended else "lives" if is_known else "unknown"
        ).inc()
        _log.info(
            "answer_end",
            request=request,
            server=server.entry.server_id,
            outcome=found.outcome.value,
            start_ms=found.started_ms,
            has_ended=has_ended,
            is_known=is_known,
        )
        return has_ended

    async def _find(self, server: BackendServer, request: str) -> _Finding:
        host, port = server.entry.address
        return await self._checks.run(
            f"{server.entry.server_id}@{host}:{port}",
            lambda: self._check(server, request),
        )

    def _is_replaced(
        self, channel: Channel, started_ms: int, request: str
    ) -> bool:
        """Whether the process that accepts connections is another one."""
        opened = self._channels.get(channel)
        if opened is None or started_ms == NO_START:
            return False
        if started_ms in opened.starts_ms or NO_START in opened.starts_ms:
            return False
        metrics.REPLACED_SERVERS.inc()
        _log.info(
            "server_replaced",
            request=request,
            server=opened.server_id,
            known_starts_ms=opened.starts_ms,
            start_ms=started_ms,
        )
        return True

    async def _check(self, server: BackendServer, request: str) -> _Finding:
        began_s = time.monotonic()
        found = await self._ask(server, request)
        if found.outcome is CheckOutcome.GONE:
            found = await self._find_refusing(server, request, found)
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
        return found

    async def _find_refusing(
        self, server: BackendServer, request: str, refused: _Finding
    ) -> _Finding:
        """Tells a server that is full from one whose process has ended.

        Args:
            server: The server.
            request: Identifies the request in logs.
            refused: What was found as it refused a connection.
        """
        others = self._open_channels(server)
        if not others:
            return refused
        if not await _are_closed_soon(others):
            return _Finding(CheckOutcome.FULL)
        # The answers on these may have ended as well.
        found = await self._ask(server, request)
        is_accepting = found.outcome in ACCEPTING
        return found if is_accepting else refused

    def _record_said(self, server: BackendServer, started_ms: int) -> None:
        """Keeps a start that the entry of a server doesn't say yet."""
        if started_ms == server.entry.started_ms:
            self._said_ms.pop(server.entry.server_id, None)
        elif started_ms != NO_START:
            self._said_ms[server.entry.server_id] = started_ms

    async def _ask(self, server: BackendServer, request: str) -> _Finding:
        """Connects to a server, and asks when it started if that may help."""
        for _ in range(MAX_CONNECTIONS):
            channel = await self._connect(server, request)
            if isinstance(channel, CheckOutcome):
                return _Finding(channel)
            if not self._may_ask(server):
                channel.abort()
                return _Finding(CheckOutcome.ACCEPTED)
            started_ms = await self._read_start(channel, REPORT_TIMEOUT_S)
            if started_ms is not None:
                return _Finding(CheckOutcome.ACCEPTED, started_ms)
        return _Finding(CheckOutcome.SILENT)

    def _may_ask(self, server: BackendServer) -> bool:
        entry = server.entry
        return entry.started_ms != NO_START and not self._is_held(
            entry.server_id
        )

    async def _connect(
        self, server: BackendServer, request: str
    ) -> Channel | CheckOutcome:
        host, port = server.entry.address
        try:
            if not await self._has_permit(server, request):
                return CheckOutcome.NO_PERMIT
            return await _connect_in_time(host, port)
        except ConnectionRefusedError:
            return CheckOutcome.GONE
        except OSError:
            return CheckOutcome.UNREACHABLE

    async def _has_permit(self, server: BackendServer, request: str) -> bool:
        """Whether the limit of a server, if any, leaves room for a check.

        Takes what requests leave, or waits for a turn among them.
        """
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
        return permit is not None

    def _open_channels(self, server: BackendServer) -> list[Channel]:
        """Returns the connections of which it is known that they are open."""
        place = server.entry.server_id, server.entry.address
        return [
            channel
            for channel, opened in self._channels.items()
            if (opened.server_id, opened.address) == place and channel.is_open
        ]


async def _connect_in_time(host: str, port: int) -> Channel:
    """Connects; tries again if this node was late, and not the server.

    Raises:
        OSError: The connection was refused or reset, or timed out.
    """
    began_s = time.monotonic()
    try:
        return await connect(host, port, CHECK_TIMEOUT_S)
    except TimeoutError:
        if time.monotonic() - began_s < CHECK_TIMEOUT_S + LATE_S:
            raise
    return await connect(host, port, CHECK_TIMEOUT_S)


async def _are_closed_soon(channels: list[Channel]) -> bool:
    """Waits while connections are closed; returns whether all are at last."""
    until_s = time.monotonic() + MAX_CLOSING_S
    closing = {
        asyncio.ensure_future(channel.peer_closed.wait())
        for channel in channels
    }
    while closing and time.monotonic() < until_s:
        closed, closing = await asyncio.wait(
            closing, timeout=CLOSING_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not closed:
            break
    for task in closing:
        task.cancel()
    # A node that is late sees the closes and the end of the wait at once.
    return not any(channel.is_open for channel in channels)
