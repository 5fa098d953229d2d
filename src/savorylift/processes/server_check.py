"""Finds out whether a server that closed a connection is gone.

Another process may have taken its place, at its address and under its ID.
"""

import asyncio
import enum
import time
import weakref
from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_START
from savorylift.exchange import metrics
from savorylift.limits.limit_gate import LimitGate
from savorylift.processes.idle_connections import (
    IdleConnections,
    ProcessPlace,
)
from savorylift.processes.request_connections import (
    CLOSING_S,
    RequestConnections,
)
from savorylift.processes.server_inquiry import (
    ChannelStartReader,
    CheckOutcome,
    Finding,
    ServerInquiry,
)
from savorylift.wire.channel import Channel

# A server that is full resets what lies beyond its number of connections.
NOT_SERVING = frozenset({CheckOutcome.UNREACHABLE, CheckOutcome.SILENT})
# Bounds the memory of servers that are gone.
MAX_SAID = 10_000

_log = structlog.get_logger()


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
        self._inquiry = ServerInquiry(limit_gate, self._may_ask, read_start)
        self._requests = RequestConnections()
        self._idle = IdleConnections()
        self._places: weakref.WeakKeyDictionary[Channel, ProcessPlace] = (
            weakref.WeakKeyDictionary()
        )
        # Starts that the processes at these connections have said since.
        self._started_ms: weakref.WeakKeyDictionary[Channel, int] = (
            weakref.WeakKeyDictionary()
        )
        # Starts that servers have said and their entries haven't, by server.
        self._said_ms: dict[str, int] = {}

    def add_channel(self, server: BackendServer, channel: Channel) -> None:
        """Adds a connection, just opened, for a request to a server."""
        entry = server.entry
        starts_ms = {entry.started_ms}
        if entry.server_id in self._said_ms:
            starts_ms.add(self._said_ms[entry.server_id])
        place = ProcessPlace(
            entry.server_id, entry.address, frozenset(starts_ms)
        )
        self._places[channel] = place
        self._requests.add(place, channel)
        # A question takes a part of the limit, and short answers end before
        # a connection that is opened with them.
        if self._limit_gate.is_limited(server.entry):
            self._idle.prepare(place, server.entry.service)

    def record_start(self, channel: Channel, started_ms: int) -> None:
        """Records what the process at a connection has said of its start.

        Args:
            channel: The connection, which was open when it said so.
            started_ms: Unix time in milliseconds.
        """
        self._started_ms[channel] = started_ms

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
        self,
        server: BackendServer,
        channel: Channel,
        request: str,
    ) -> ProcessEnd:
        """Returns whether the process that closed a connection has ended.

        Args:
            server: The server.
            channel: Connection whose answer has ended.
            request: Identifies the request in logs.
        """
        began_s = time.monotonic()
        # A draining server isn't asked: the idle connection is what tells.
        watch = asyncio.ensure_future(self._idle.stays_open(channel, CLOSING_S))
        try:
            found = await self._inquire(server, request)
            end = self._judge(channel, found, request)
            if end is ProcessEnd.UNKNOWN:
                found, end = await self._find_by_others(
                    server, channel, request, found, watch
                )
        finally:
            watch.cancel()
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

    async def _find_by_others(
        self,
        server: BackendServer,
        channel: Channel,
        request: str,
        found: Finding,
        watch: "asyncio.Future[bool]",
    ) -> tuple[Finding, ProcessEnd]:
        """Judges by other connections, then by a further question.

        Args:
            server: The server.
            channel: Connection whose answer has ended.
            request: Identifies the request in logs.
            found: What the first question has found.
            watch: Whether the idle connection stays open.
        """
        has_others = self._requests.has_other(channel)
        was_refused = found.outcome is CheckOutcome.GONE
        if was_refused and self._is_in_service(server):
            if not has_others:
                return found, ProcessEnd.ENDED
            # One that only stopped to listen for a moment is back by then.
            await self._requests.any_stays_open(channel)
            return await self._ask_again(server, channel, request, found)
        lives = False
        if has_others and found.outcome in NOT_SERVING:
            lives = await self._requests.any_stays_open(channel)
        if not lives:
            # It may be known only by now which idle connection tells.
            silence_s = 0.0 if await watch else CLOSING_S
            lives = await self._idle.stays_open(channel, silence_s)
        is_accepting = found.outcome is CheckOutcome.ACCEPTED
        if lives or (is_accepting and server.entry.started_ms == NO_START):
            # Of a server without starts, nothing else can be known.
            return found, ProcessEnd.LIVES
        return await self._ask_again(server, channel, request, found)

    async def _ask_again(
        self,
        server: BackendServer,
        channel: Channel,
        request: str,
        found: Finding,
    ) -> tuple[Finding, ProcessEnd]:
        """Asks once more, with a permit that is waited for if need be."""
        was_refused = found.outcome is CheckOutcome.GONE
        if self._limit_gate.is_limited(server.entry) and not was_refused:
            found = await self._inquire_in_turn(server, request)
        elif found.outcome is not CheckOutcome.ACCEPTED:
            # Another process may listen by now, or a packet was lost.
            found = await self._inquire(server, request)
        end = self._judge(channel, found, request)
        if end is ProcessEnd.UNKNOWN and (
            was_refused or found.outcome is CheckOutcome.GONE
        ):
            end = ProcessEnd.ENDED
        return found, end

    async def _inquire(self, server: BackendServer, request: str) -> Finding:
        found = await self._inquiry.find(server, request)
        self._record_said(server, found.started_ms)
        return found

    async def _inquire_in_turn(
        self, server: BackendServer, request: str
    ) -> Finding:
        found = await self._inquiry.find_in_turn(server, request)
        self._record_said(server, found.started_ms)
        return found

    def _judge(
        self, channel: Channel, found: Finding, request: str
    ) -> ProcessEnd:
        """Returns what a start tells of the process of a connection."""
        place = self._places.get(channel)
        if place is None or NO_START in (found.started_ms, *place.starts_ms):
            return ProcessEnd.UNKNOWN
        starts_ms = place.starts_ms
        if channel in self._started_ms:
            starts_ms = frozenset({self._started_ms[channel]})
        if found.started_ms in starts_ms:
            return ProcessEnd.LIVES
        metrics.REPLACED_SERVERS.inc()
        _log.info(
            "server_replaced",
            request=request,
            server=place.server_id,
            known_starts_ms=sorted(starts_ms),
            start_ms=found.started_ms,
        )
        return ProcessEnd.ENDED

    def _may_ask(self, server: BackendServer) -> bool:
        entry = server.entry
        if entry.started_ms == NO_START or self._is_held(entry.server_id):
            return False
        return self._is_in_service(server)

    def _record_said(self, server: BackendServer, started_ms: int) -> None:
        """Keeps a start that the entry of a server doesn't say yet."""
        if started_ms == server.entry.started_ms:
            self._said_ms.pop(server.entry.server_id, None)
        elif started_ms != NO_START:
            while len(self._said_ms) >= MAX_SAID:
                del self._said_ms[next(iter(self._said_ms))]
            self._said_ms[server.entry.server_id] = started_ms
