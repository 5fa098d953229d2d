"""A store in memory, as each node sees it."""

import asyncio
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from savorylift.platform.store import (
    Batch,
    StoreClient,
    StoreError,
    StoreFault,
)
from savorylift.platform.store_record import Record

CALL_S = 0.004
AWAY = StoreError(StoreFault.UNREACHABLE, "injected fault")
OUTRUN = StoreError(StoreFault.CONFLICT, "412")


class MemoryStore:
    """Topics that all nodes share.

    Attributes:
        topics: Records of each topic, in order.
        is_away: Whether all calls fail.
        calls: Number of calls so far.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[Record]] = {}
        self.is_away = False
        self.calls = 0

    def restore(self, count: int) -> None:
        """Goes back to an older copy, with so many records a topic."""
        for records in self.topics.values():
            del records[count:]

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        found: dict[str, bytes] = {}
        for key, value in self.topics.get(topic, []):
            if value is None:
                found.pop(key, None)
            else:
                found[key] = value
        return found

    def values(self, topic: str, key: str) -> list[bytes | None]:
        """Returns all values of a key, in order."""
        records = self.topics.get(topic, [])
        return [value for name, value in records if name == key]


class MemoryStoreClient(StoreClient):
    """One node's client.

    Attributes:
        is_cut: Whether all calls of this node fail.
        loses_answers: Whether its writes are done, and their answers lost.
        held: Set while calls may be answered; a node that stands still gets
            its answers later.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.is_cut = self.loses_answers = False
        self.held = asyncio.Event()
        self.held.set()

    async def list_newest(self, topic: str) -> Result[Batch, StoreError]:
        if not await self._begin():
            return Failure(AWAY)
        records = [Record(*i) for i in self._store.newest(topic).items()]
        end = len(self._store.topics.get(topic, []))
        await self.held.wait()
        return Success(Batch(tuple(records), end))

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        expected_offset: int | None = None,
    ) -> Result[int, StoreError]:
        if not await self._begin():
            return Failure(AWAY)
        log = self._store.topics.setdefault(topic, [])
        if expected_offset not in (None, len(log)):
            return Failure(OUTRUN)
        offset = len(log)
        log.extend(records)
        await self.held.wait()
        return Failure(AWAY) if self.loses_answers else Success(offset)

    async def _begin(self) -> bool:
        self._store.calls += 1
        await asyncio.sleep(CALL_S)
        await self.held.wait()
        return not self.is_cut and not self._store.is_away
