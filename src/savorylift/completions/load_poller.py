"""Polls the load of the backend servers that the rules file names.

These servers write no entries to the store, so each node asks them whether
they are cold or draining.
"""

import asyncio
from collections.abc import Callable

import msgspec
import structlog
from returns.pipeline import is_successful

from savorylift.backends.registry import Registry
from savorylift.backends.server import ServerEntry
from savorylift.completions.notices import decode_notice
from savorylift.json_input import decode_json
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import ResponseHead
from savorylift.wire.purpose import Purpose

LOAD_PATH = "/v1/load"
POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 0.4

_log = structlog.get_logger()


class _LoadReport(msgspec.Struct):
    cold: bool
    leaving: bool


class LoadPoller:
    """Keeps the registry's state of statically configured servers current."""

    def __init__(
        self, registry: Registry, on_change: Callable[[], None]
    ) -> None:
        """Initializes the poller.

        Args:
            registry: Registry to update.
            on_change: Called after a report that changed the registry.
        """
        self._registry = registry
        self._on_change = on_change

    async def run(self) -> None:
        """Polls all servers at a fixed interval until cancelled."""
        while True:
            await asyncio.gather(
                *map(self._poll, self._registry.static_entries)
            )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, entry: ServerEntry) -> None:
        try:
            response = await fetch(
                entry.address,
                "GET",
                LOAD_PATH,
                timeout_s=POLL_TIMEOUT_S,
                connect_timeout_s=POLL_TIMEOUT_S,
                purpose=Purpose.REPORT,
            )
        except (OSError, BrokenAnswerError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            _log.info("load_unknown", server=entry.server_id, detail=detail)
            return
        decoded = decode_json(response.body, _LoadReport)
        if not is_successful(decoded):
            detail = decoded.failure()
            _log.info("load_unknown", server=entry.server_id, detail=detail)
            return
        report = decoded.unwrap()
        notice = decode_notice(ResponseHead(response.status, response.headers))
        is_leaving = report.leaving or notice.is_leaving
        is_changed = self._registry.update_static_status(
            entry.server_id, is_cold=report.cold, is_leaving=is_leaving
        )
        if is_changed:
            _log.info(
                "server_changed",
                server=entry.server_id,
                service=entry.service,
                is_leaving=is_leaving,
                is_cold=report.cold,
            )
            self._on_change()
