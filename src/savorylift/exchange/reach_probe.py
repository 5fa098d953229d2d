"""Asks a backend server for a sign of life."""

import asyncio
from collections.abc import Callable

from savorylift.backends.registry import BackendServer
from savorylift.limits.limit_gate import LimitGate
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.message import ResponseHead
from savorylift.wire.purpose import Purpose

CONNECT_TIMEOUT_S = 0.5
# A sound server may be silent for about a second.
ANSWER_TIMEOUT_S = 1.2
# A connection that stays open for this long shows that the server is reached,
# if it has no health check.
OPEN_S = 0.05
REQUEST_NAME = "reach"


class ReachProbe:
    """Opens a connection and asks for the server's health.

    Any answer will do: it came from the server.
    """

    def __init__(
        self,
        limit_gate: LimitGate,
        on_head: Callable[[BackendServer, ResponseHead], None],
    ) -> None:
        """Creates a probe.

        Args:
            limit_gate: Holds the limits that servers name.
            on_head: Called with the head of each answer.
        """
        self._limit_gate = limit_gate
        self._on_head = on_head

    async def ask(
        self, server: BackendServer, health_path: str | None
    ) -> bool | None:
        """Returns whether a server answers; None if it must not be asked."""
        permit = await self._limit_gate.acquire(
            server, REQUEST_NAME, 0.0, is_probe=True
        )
        if permit is None:
            return None
        try:
            async with InputTimeout(CONNECT_TIMEOUT_S + ANSWER_TIMEOUT_S):
                return await self._answers(server, health_path)
        except (OSError, BrokenAnswerError):
            return False

    async def _answers(
        self, server: BackendServer, health_path: str | None
    ) -> bool:
        host, port = server.entry.address
        channel = await connect(host, port, CONNECT_TIMEOUT_S, Purpose.PROBE)
        try:
            if health_path is None:
                await asyncio.sleep(OPEN_S)
                return not channel.is_peer_closed
            call = ClientCall(channel)
            call.send("GET", health_path, (("host", f"{host}:{port}"),), b"")
            self._on_head(server, await call.read_head())
            return True
        finally:
            channel.abort()
