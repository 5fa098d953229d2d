"""Registers nodes in the store and discovers other nodes there.

A fleet that is started again as a whole would call the store once for each node
if each wrote for itself. So the first reader of the store writes for all nodes
that it hears; only one that hears nobody writes and reads for itself.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from returns.pipeline import is_successful

from savorylift.fleet.membership import Membership
from savorylift.platform.store import NODES_TOPIC, StoreClient
from savorylift.platform.store_record import Record
from savorylift.wire.address import parse_address

# Interval at which a node without live peers reads the addresses of other
# nodes from the store, and at which the first reader looks for new ones.
DISCOVERY_INTERVAL_S = 3.0
# By then a node that starts has heard others if one of its seeds is live.
HEARING_S = 0.5
# By then nodes that started together have heard each other, so that one of them
# writes for all.
SETTLING_S = 1.5
# Bounds the memory that the records of nodes that are gone take.
MAX_WRITTEN_RECORDS = 4096


class Registration:
    """Writes missing records of nodes, and reads those of others."""

    def __init__(
        self,
        store: StoreClient,
        membership: Membership,
        own_record: Record,
        is_writer: Callable[[], bool],
        on_discovery: Callable[[], None],
    ) -> None:
        """Makes no call until `run` is called.

        Args:
            store: The store.
            membership: Receives the addresses of other nodes.
            own_record: This node's record.
            is_writer: Whether this node writes for all that it hears.
            on_discovery: Called after each reading of the nodes' records.
        """
        self._store = store
        self._membership = membership
        self._own_record = own_record
        self._is_writer = is_writer
        self._on_discovery = on_discovery
        # What the store is known to hold, by address.
        self._written: dict[str, Record] = {}

    async def run(self) -> None:
        """Writes and reads what is due forever."""
        await asyncio.sleep(HEARING_S)
        if len(self._live_records()) > 1:
            await asyncio.sleep(SETTLING_S)
        while True:
            live = self._live_records()
            if len(live) == 1 or self._is_writer():
                await self._update(live)
            await asyncio.sleep(DISCOVERY_INTERVAL_S)

    async def _update(self, live: dict[str, Record]) -> None:
        """Writes what is missing; then finds nodes that this one can't hear.

        Of two nodes that don't hear each other the later one finds the other,
        since each reads after it has written.
        """
        missing = [r for r in live.values() if self._written.get(r.key) != r]
        if missing:
            added = await self._store.append(NODES_TOPIC, missing)
            if not is_successful(added):
                return
            is_full = len(self._written) >= MAX_WRITTEN_RECORDS
            self._written = live if is_full else self._written | live
        if missing or len(live) == 1:
            listed = await self._store.list_newest(NODES_TOPIC)
            self._add_addresses(
                listed.map(lambda batch: batch.records).value_or(())
            )

    def _live_records(self) -> dict[str, Record]:
        """Returns the records of this node and of those that it hears."""
        peers = self._membership.live_peers(time.monotonic())
        records = (
            Record(peer.state.ip, peer.state.caller_address.encode())
            for peer in peers
        )
        return {r.key: r for r in (self._own_record, *records)}

    def _add_addresses(self, records: Iterable[Record]) -> None:
        now_s = time.monotonic()
        for record in records:
            if parse_address(f"{record.key}:1") is not None:
                self._membership.add_address(record.key, now_s)
        self._on_discovery()
