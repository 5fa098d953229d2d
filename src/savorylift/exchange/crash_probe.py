"""Finds out whether an engine whose connection broke has crashed."""

import asyncio
from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.wire.channel import connect

CONNECT_TIMEOUT_S = 0.2
# A lost packet must not hide a crash.
ATTEMPTS = 2

_log = structlog.get_logger()


class CrashProbe:
    """Connects to engines that broke off a response at its beginning.

    The process of an engine that has crashed is gone for some seconds, and its
    connections are refused. One that has reset a single connection accepts.
    """

    def __init__(
        self, on_crash: Callable[[str, tuple[str, ...]], None]
    ) -> None:
        """Creates a probe.

        Args:
            on_crash: Called with the ID of an engine that has crashed, and
                the prompt prefix of the request that it had not answered.
        """
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
        if not await _refuses_connections(server.entry.address):
            return
        metrics.ENGINE_CRASHES.inc()
        _log.warning(
            "engine_crashed",
            server=server_id,
            request=attempt_id,
            prompt_prefix=prompt_prefix,
        )
        self._on_crash(server_id, prompt_prefix)


async def _refuses_connections(address: tuple[str, int]) -> bool:
    host, port = address
    for _ in range(ATTEMPTS):
        try:
            channel = await connect(host, port, CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except OSError:
            continue
        channel.abort()
        return False
    return False
