"""Finds out whether an engine whose connection broke has crashed."""

import asyncio
from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.limit_gate import LimitGate
from savorylift.wire.channel import connect

CONNECT_TIMEOUT_S = 0.2
# Longest wait for a permit if the engine names a limit.
PERMIT_WAIT_S = 0.5
# A lost packet must not hide a crash.
ATTEMPTS = 2

_log = structlog.get_logger()


class CrashProbe:
    """Connects to engines that broke off a response at its beginning.

    The process of an engine that has crashed is gone for some seconds, and its
    connections are refused. One that has reset a single connection accepts.
    """

    def __init__(
        self,
        limit_gate: LimitGate,
        on_crash: Callable[[str, tuple[str, ...]], None],
    ) -> None:
        """Creates a probe.

        Args:
            limit_gate: Holds the limits that engines name.
            on_crash: Called with the ID of an engine that has crashed, and
                the prompt prefix of the request that it had not answered.
        """
        self._limit_gate = limit_gate
        self._on_crash = on_crash
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        server: BackendServer,
        attempt_id: str,
        prompt_prefix: tuple[str, ...],
    ) -> None:
        """Probes an engine in the background."""
        task = asyncio.get_running_loop().create_task(
            self._probe(server, attempt_id, prompt_prefix)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(
        self,
        server: BackendServer,
        attempt_id: str,
        prompt_prefix: tuple[str, ...],
    ) -> None:
        server_id = server.entry.server_id
        if not await self._refuses_connections(server, attempt_id):
            return
        metrics.ENGINE_CRASHES.inc()
        _log.warning(
            "engine_crashed",
            server=server_id,
            request=attempt_id,
            prompt_prefix=prompt_prefix,
        )
        self._on_crash(server_id, prompt_prefix)

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
