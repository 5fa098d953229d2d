"""Faults of the store: it refuses, hangs, or comes back from a copy."""

import asyncio

from tests.soak.fault_context import FaultAction, FaultContext
from tests.soak.shape import Fault

AWAY_S = (1.0, 6.0)
COPY_AGE_S = (0.5, 3.0)
# Time after which engines have written their entries into a restored store.
ENTRIES_BACK_S = 0.5
UNAVAILABLE = 503
# One of these happens at a time.
STORE = "store"


class StoreFaults:
    """Brings faults of the store about."""

    def __init__(self, context: FaultContext) -> None:
        """Brings nothing about yet."""
        self._context = context
        self._fleet = context.fleet
        self._store = context.fleet.store
        self._rng = context.rng

    def actions(self) -> dict[Fault, FaultAction]:
        """Returns what brings each fault about and waits for its end."""
        return {
            Fault.STORE_AWAY: self._away,
            Fault.STORE_BACK: self._set_back,
        }

    async def _away(self) -> None:
        """It refuses, or hangs; what is written meanwhile is read later."""
        if not self._context.take(STORE):
            return
        away_s = self._rng.uniform(*AWAY_S)
        is_silent = self._rng.choice((True, False))
        how = "hangs" if is_silent else "refuses"
        self._context.describe(f"the store {how} for {away_s:.1f} s")
        self._store.is_silent = is_silent
        self._store.status = None if is_silent else UNAVAILABLE
        await asyncio.sleep(away_s)
        self._store.is_silent, self._store.status = False, None
        self._context.release(STORE)

    async def _set_back(self) -> None:
        """All that was written since a moment is lost."""
        if not self._context.take(STORE):
            return
        age_s = self._rng.uniform(*COPY_AGE_S)
        topics = self._store.copy()
        await asyncio.sleep(age_s)
        self._context.describe(f"the store is set back by {age_s:.1f} s")
        self._store.restore(topics)
        await asyncio.sleep(ENTRIES_BACK_S)
        service = self._fleet.engine_service
        for server in self._fleet.engines:
            if server.server_id not in self._context.busy:
                self._fleet.publish_entry(server, service)
        self._context.release(STORE)
