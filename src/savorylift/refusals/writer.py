"""Writes a node's counts of refused requests to the platform's store."""

import asyncio
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful

from savorylift.fleet.size_scaling import SMALL_FLEET_NODES, scale_with_nodes
from savorylift.platform.store import REFUSALS_TOPIC, StoreClient
from savorylift.platform.store_record import Record
from savorylift.refusals.counts import RefusalCount, RefusalCounts

# Each write is charged for. A killed node loses the counts of at most this
# time, or more if writes failed.
WRITE_INTERVAL_S = 5.0
# In larger fleets than small ones, a second for each node, so that all nodes
# together write once a second; scaled from this interval for the largest of the
# small fleets.
LARGE_FLEET_INTERVAL_S = 16.0
# Counts are by minute.
MAX_WRITE_INTERVAL_S = 60.0
# Added to the interval after a failed write.
RETRY_DELAY_S = 5.0
# Maximum number of records in a call; the rest is written by further calls.
MAX_BATCH_RECORDS = 200

_log = structlog.get_logger()


class RefusalWriter:
    """Periodically saves the counts that changed, in batches."""

    def __init__(
        self,
        store: StoreClient,
        counts: RefusalCounts,
        count_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        """Saves nothing until `run` or `save` is called.

        Args:
            store: The store.
            counts: The counts of this node.
            count_nodes: Returns the number of live nodes.
        """
        self._store = store
        self._counts = counts
        self._count_nodes = count_nodes

    async def run(self) -> None:
        """Saves changed counts forever."""
        while True:
            await asyncio.sleep(self._interval_s)
            if not await self.save():
                await asyncio.sleep(RETRY_DELAY_S)

    @property
    def _interval_s(self) -> float:
        nodes = self._count_nodes()
        if nodes <= SMALL_FLEET_NODES:
            return WRITE_INTERVAL_S
        interval_s = scale_with_nodes(LARGE_FLEET_INTERVAL_S, nodes)
        return min(interval_s, MAX_WRITE_INTERVAL_S)

    async def save(self) -> bool:
        """Saves the counts that changed; returns whether that succeeded."""
        unsaved = self._counts.unsaved()
        for first in range(0, len(unsaved), MAX_BATCH_RECORDS):
            batch = unsaved[first : first + MAX_BATCH_RECORDS]
            if not await self._save_batch(batch):
                return False
        return True

    async def _save_batch(self, batch: tuple[RefusalCount, ...]) -> bool:
        records = [Record(count.key, count.encode()) for count in batch]
        written = await self._store.append(REFUSALS_TOPIC, records)
        if not is_successful(written):
            _log.warning(
                "refusals_not_saved",
                counts=len(batch),
                detail=written.failure().detail,
            )
            return False
        self._counts.mark_saved(batch)
        return True
