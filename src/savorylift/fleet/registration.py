"""Registers a node in the store and discovers other nodes there."""

import asyncio
import time
from collections.abc import Callable, Iterable

from returns.pipeline import is_successful

from savorylift.fleet.membership import Membership
from savorylift.platform.store import NODES_TOPIC, StoreClient
from savorylift.platform.store_record import Record
from savorylift.wire.address import parse_address

# Interval at which a node without live peers reads the addresses of other
# nodes from the store.
DISCOVERY_INTERVAL_S = 3.0


class Registration:
    """Writes this node's record once and reads those of other nodes."""

    def __init__(
        self,
        store: StoreClient,
        membership: Membership,
        own_record: Record,
        on_discovery: Callable[[], None],
    ) -> None:
        """Makes no call until `run` is called.

        Args:
            store: The store.
            membership: Receives the addresses of other nodes.
            own_record: This node's record.
            on_discovery: Called after each reading of the nodes' records.
        """
        self._store = store
        self._membership = membership
        self._own_record = own_record
        self._on_discovery = on_discovery

    async def run(self) -> None:
        """Repeats until the record is written and another node is live."""
        is_added = False
        while True:
            if not is_added:
                added = await self._store.append(
                    NODES_TOPIC, [self._own_record]
                )
                is_added = is_successful(added)
            listed = await self._store.list_newest(NODES_TOPIC)
            self._add_addresses(
                listed.map(lambda batch: batch.records).value_or(())
            )
            await asyncio.sleep(DISCOVERY_INTERVAL_S)
            if is_added and any(self._membership.live_peers(time.monotonic())):
                return

    def _add_addresses(self, records: Iterable[Record]) -> None:
        now_s = time.monotonic()
        for record in records:
            if parse_address(f"{record.key}:1") is not None:
                self._membership.add_address(record.key, now_s)
        self._on_discovery()
