"""Makes a node known in the store, and finds others there."""

import asyncio
import time
from collections.abc import Callable, Iterable

from returns.pipeline import is_successful

from savorylift.fleet.membership import Membership
from savorylift.platform.store import NODES, Record, StoreClient
from savorylift.wire.address import parse_address

# A node without peers asks the store where others may be.
LONELY_S = 3.0


class Registration:
    """Writes this node's record once, and reads those of others."""

    def __init__(
        self,
        store: StoreClient,
        membership: Membership,
        own: Record,
        found: Callable[[], None],
    ) -> None:
        """Takes what it needs of the node.

        Args:
            store: The store.
            membership: Where addresses of other nodes go.
            own: This node's record.
            found: Called when others may have been found.
        """
        self._store = store
        self._membership = membership
        self._own = own
        self._found = found

    async def run(self) -> None:
        """Ends once the record is written and another node is heard."""
        is_added = False
        while True:
            if not is_added:
                added = await self._store.append(NODES, [self._own])
                is_added = is_successful(added)
            listed = await self._store.list_newest(NODES)
            self._add(listed.map(lambda batch: batch.records).value_or(()))
            await asyncio.sleep(LONELY_S)
            if is_added and any(self._membership.live(time.monotonic())):
                return

    def _add(self, records: Iterable[Record]) -> None:
        now_s = time.monotonic()
        for record in records:
            if parse_address(f"{record.key}:1") is not None:
                self._membership.add_address(record.key, now_s)
        self._found()
