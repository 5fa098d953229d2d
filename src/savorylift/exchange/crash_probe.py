"""Finds out whether a server whose connection broke has crashed."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.request_traits import RequestTraits
from savorylift.wire.channel import connect

CONNECT_TIMEOUT_S = 0.2
# Longest wait for a permit if the server names a limit.
PERMIT_WAIT_S = 0.5
# A lost packet must not hide a crash.
ATTEMPTS = 2

_log = structlog.get_logger()


class LostAnswer(NamedTuple):
    """A request whose server broke off the connection.

    Attributes:
        traits: Traits of the request.
        sent_s: Monotonic time at which it was sent to the server.
        lost_s: Monotonic time at which the connection broke.
        had_begun: Whether the server had got past the beginning of a stream.
    """

    traits: RequestTraits
    sent_s: float
    lost_s: float
    had_begun: bool = False


class CrashProbe:
    """Connects to servers that broke off the answer to a request.

    The process of a server that has crashed is gone for some seconds, and its
    connections are refused. One that has reset a single connection accepts.
    """

    def __init__(
        self,
        limit_gate: LimitGate,
        on_crash: Callable[[str, LostAnswer], None],
    ) -> None:
        """Creates a probe.

        Args:
            limit_gate: Holds the limits that servers name.
            on_crash: Called with the ID of a server that has crashed, for
                each request that it had not answered.
        """
        self._limit_gate = limit_gate
        self._on_crash = on_crash
        # Requests by the server that is being probed for them.
        self._lost: dict[str, list[LostAnswer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, server: BackendServer, lost: LostAnswer) -> None:
        """Probes a server in the background, once for all its requests."""
        server_id = server.entry.server_id
        if server_id in self._lost:
            self._lost[server_id].append(lost)
            return
        self._lost[server_id] = [lost]
        task = asyncio.get_running_loop().create_task(self._probe(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, server: BackendServer) -> None:
        server_id = server.entry.server_id
        try:
            first = self._lost[server_id][0].traits.attempt_id
            is_gone = await self._refuses_connections(server, first)
        finally:
            lost_answers = self._lost.pop(server_id)
        if not is_gone:
            return
        for lost in lost_answers:
            self._record(server_id, lost)

    def _record(self, server_id: str, lost: LostAnswer) -> None:
        metrics.ENGINE_CRASHES.inc()
        _log.warning(
            "server_crashed",
            server=server_id,
            request=lost.traits.attempt_id,
            prompt_parts=lost.traits.prompt_parts,
            repeat_id=lost.traits.repeat_id,
            had_begun=lost.had_begun,
            age_ms=round((time.monotonic() - lost.lost_s) * 1000),
        )
        self._on_crash(server_id, lost)

    async def _refuses_connections(
        self, server: BackendServer, attempt_id: str
    ) -> bool:
        host, port = server.entry.address
        for _ in range(ATTEMPTS):
            permit = await self._limit_gate.acquire(
                server, attempt_id, PERMIT_WAIT_S
            )
            if permit is None:
                return False
            try:
                channel = await connect(host, port, CONNECT_TIMEOUT_S)
            except ConnectionRefusedError:
                return True
            except OSError:
                continue
            channel.abort()
            return False
        return False
