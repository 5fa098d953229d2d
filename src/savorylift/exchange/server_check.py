"""Finds out whether a server that closed a connection is gone."""

import asyncio
import enum
import time
import weakref
from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.shared_checks import SharedChecks
from savorylift.wire.channel import Channel, connect

# A caller waits for its answer meanwhile.
CHECK_TIMEOUT_S = 0.1

_log = structlog.get_logger()


class CheckOutcome(enum.StrEnum):
    """What a check has found.

    Attributes:
        GONE: Connections are refused, and none of this node's is open.
        FULL: Connections are refused, but another one is still open.
        ACCEPTED: The server accepts connections.
        UNREACHABLE: There was no reply in time.
        NO_PERMIT: The server names a limit that is used up.
    """

    GONE = "gone"
    FULL = "full"
    ACCEPTED = "accepted"
    UNREACHABLE = "unreachable"
    NO_PERMIT = "no_permit"


class ServerCheck:
    """Connects to servers whose answer ended with nothing but a close.

    The connections of a server whose process has just ended are refused, and
    all that it had are closed. In all other cases, such as a lost packet, the
    check says nothing against the answer.
    """

    def __init__(
        self,
        limit_gate: LimitGate,
        is_in_service: Callable[[BackendServer], bool],
    ) -> None:
        """Creates a check without any connections.

        Args:
            limit_gate: Holds the limits that servers name.
            is_in_service: Returns whether a server is registered and not
                draining; others may end after an answer.
        """
        self._limit_gate = limit_gate
        self._is_in_service = is_in_service
        # Open and closed connections, with the ID of their server.
        self._channels: weakref.WeakKeyDictionary[Channel, str] = (
            weakref.WeakKeyDictionary()
        )
        self._checks: SharedChecks[bool] = SharedChecks()

    def add_channel(self, server: BackendServer, channel: Channel) -> None:
        """Adds a connection for a request to a server."""
        self._channels[channel] = server.entry.server_id

    async def is_gone(self, server: BackendServer, request: str) -> bool:
        """Whether a server's process has ended, against its intention.

        Answers that end at the same time share a connection: only one that
        was opened after an answer tells anything about its end.
        """
        if not self._is_in_service(server):
            return False
        server_id = server.entry.server_id
        return await self._checks.run(
            server_id, lambda: self._check(server, request)
        )

    async def _check(self, server: BackendServer, request: str) -> bool:
        began_s = time.monotonic()
        outcome = await self._connect(server, request)
        if outcome is CheckOutcome.GONE and self._has_open_channel(server):
            outcome = CheckOutcome.FULL
        metrics.SERVER_CHECKS.labels(outcome.value).inc()
        _log.info(
            "server_check",
            request=request,
            server=server.entry.server_id,
            outcome=outcome.value,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )
        return outcome is CheckOutcome.GONE

    async def _connect(
        self, server: BackendServer, request: str
    ) -> CheckOutcome:
        host, port = server.entry.address
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                permit = await self._limit_gate.acquire(
                    server, request, 0.0, is_probe=True
                )
                if permit is None:
                    return CheckOutcome.NO_PERMIT
                channel = await connect(host, port, CHECK_TIMEOUT_S)
        except ConnectionRefusedError:
            return CheckOutcome.GONE
        except OSError:
            return CheckOutcome.UNREACHABLE
        channel.abort()
        return CheckOutcome.ACCEPTED

    def _has_open_channel(self, server: BackendServer) -> bool:
        """Whether a connection is open, which a process that ended closes."""
        server_id = server.entry.server_id
        return any(
            owner == server_id and not channel.is_peer_closed
            for channel, owner in self._channels.items()
        )
