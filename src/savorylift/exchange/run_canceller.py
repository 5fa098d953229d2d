"""Cancels runs at backend servers that go on without their connection."""

import asyncio

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange.codec import CancelRequest
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.purpose import Purpose

CONNECT_TIMEOUT_S = 0.2
CANCEL_TIMEOUT_S = 1.0

_log = structlog.get_logger()


class RunCanceller:
    """Sends cancel requests without waiting for their results."""

    def __init__(self) -> None:
        """Creates a canceller that has nothing to do."""
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(
        self, server: BackendServer, cancel_request: CancelRequest | None
    ) -> None:
        """Cancels a run; does nothing if its connection's close does so."""
        if cancel_request is None:
            return
        task = asyncio.get_running_loop().create_task(
            _send(server, cancel_request)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _send(server: BackendServer, cancel_request: CancelRequest) -> None:
    try:
        await fetch(
            server.entry.address,
            cancel_request.method,
            cancel_request.target,
            timeout_s=CANCEL_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            purpose=Purpose.CANCEL,
        )
    except (OSError, BrokenAnswerError) as exc:
        _log.info(
            "not_withdrawn",
            server=server.entry.server_id,
            target=cancel_request.target,
            detail=f"{type(exc).__name__}: {exc}",
        )
