"""Writes a node's counts of refusals to the platform's store."""

import asyncio

import structlog
from returns.pipeline import is_successful

from savorylift.account.counts import RefusalCounts
from savorylift.platform.store import REFUSALS, Record, StoreClient

# Each write is paid for; a node that is killed loses this much at most.
WRITE_S = 5.0
RETRY_S = 5.0
# Records of one call; the rest follows with the next.
BATCH = 200

_log = structlog.get_logger()


class AccountWriter:
    """Saves changed counts, a batch at a time."""

    def __init__(self, store: StoreClient, counts: RefusalCounts) -> None:
        """Writes what `counts` holds."""
        self._store = store
        self._counts = counts

    async def run(self) -> None:
        """Saves changes for ever."""
        while True:
            await asyncio.sleep(WRITE_S)
            if not await self.save():
                await asyncio.sleep(RETRY_S)

    async def save(self) -> bool:
        """Saves what changed; says whether the store has it."""
        batch = self._counts.unsaved()[:BATCH]
        if not batch:
            return True
        records = [Record(count.key, count.encode()) for count in batch]
        written = await self._store.append(REFUSALS, records)
        if not is_successful(written):
            _log.warning(
                "refusals_not_saved",
                counts=len(batch),
                detail=written.failure().detail,
            )
            return False
        self._counts.note_saved(batch)
        return True
