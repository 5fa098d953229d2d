"""Asks engines whether they are leaving, while the store can't tell.

Engines go on leaving while the store is away. Only engines that have runs of
this node are asked, so the calls are few.
"""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from savorylift.backends.registry import Known, Registry
from savorylift.platform.engine import asks_to_leave

# A notice is some 1.5 s long, and a copy takes up to half a second.
ASK_S = 0.4
ANSWER_S = 0.4

_log = structlog.get_logger()


class EngineWatch:
    """Watches the engines of this node's runs during an outage."""

    def __init__(
        self,
        registry: Registry,
        is_store_away: Callable[[], bool],
        engines: Callable[[], Iterable[Known]],
        changed: Callable[[], None],
    ) -> None:
        """Takes what it needs of the node.

        Args:
            registry: Where a leaving engine is marked.
            is_store_away: Whether nothing newer comes from the store.
            engines: Returns the engines that have runs of this node.
            changed: Called after a mark.
        """
        self._registry = registry
        self._is_store_away = is_store_away
        self._engines = engines
        self._changed = changed

    async def run(self) -> None:
        """Asks for ever, whenever the store is away."""
        while True:
            await asyncio.sleep(ASK_S)
            if self._is_store_away():
                await asyncio.gather(*map(self._ask, self._staying()))

    def _staying(self) -> list[Known]:
        known = self._registry.known
        ids = [server.entry.server_id for server in self._engines()]
        return [
            known[server_id]
            for server_id in ids
            if server_id in known and not known[server_id].entry.is_leaving
        ]

    async def _ask(self, server: Known) -> None:
        if not await asks_to_leave(server.entry.address, timeout_s=ANSWER_S):
            return
        if self._registry.mark_leaving(server.entry.server_id):
            _log.info(
                "server_changed",
                server=server.entry.server_id,
                service=server.entry.service,
                is_leaving=True,
                source="engine",
            )
            self._changed()
