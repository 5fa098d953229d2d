"""Keeps in the store where streams began, while that may be needed.

Nodes that are all lost at once have forgotten it. It matters only where streams
of a service may have begun at several software versions, or at a process that
served before its entry was read.
"""

import asyncio
import time
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful

from savorylift.beat import wait_for_beat
from savorylift.exchange import metrics
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.record_codec import decode_record, encode_record
from savorylift.fleet.state import StreamOrigin
from savorylift.fleet.version_history import VersionHistory
from savorylift.platform.store import ORIGINS_TOPIC, StoreClient
from savorylift.platform.store_record import Record

CHECK_INTERVAL_S = 0.2
# A node that is lost loses the origins of at most this time.
MIN_WRITE_INTERVAL_S = 1.0
# Writes of all nodes together.
MAX_WRITES_PER_S = 20.0
RETRY_INTERVAL_S = 1.0
MAX_BATCH_ORIGINS = 1000
# Time between two readings by a node, whatever it is asked for.
READ_INTERVAL_S = 0.5
# How long a request waits for a reading.
READ_TIMEOUT_S = 0.25

_log = structlog.get_logger()


class OriginLog:
    """Writes the origins of this node's streams, and reads those of all."""

    def __init__(
        self,
        vm: str,
        store: StoreClient,
        origins: StreamOrigins,
        history: VersionHistory,
        count_nodes: Callable[[], int],
        get_era: Callable[[], int],
    ) -> None:
        """Makes no call until `run` or `find` is called.

        Args:
            vm: Name of this node's VM.
            store: The store.
            origins: The origins that this node holds.
            history: Of which services the streams may be of several versions.
            count_nodes: Returns the number of nodes that share the store.
            get_era: Returns how often the store has come back from a copy,
                and lost what was written since.
        """
        self._vm = vm
        self._store = store
        self._origins = origins
        self._history = history
        self._count_nodes = count_nodes
        self._get_era = get_era
        self._era = 0
        self._saved: set[str] = set()
        self._position: int | None = None
        self._read_s: float | None = None
        self._reading: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Writes new origins forever, in batches."""
        while True:
            if not self._unsaved():
                await wait_for_beat(CHECK_INTERVAL_S, self._has_unsaved)
                continue
            is_saved = await self.save()
            await asyncio.sleep(
                self._write_interval_s if is_saved else RETRY_INTERVAL_S
            )

    def _has_unsaved(self) -> bool:
        return bool(self._unsaved())

    async def save(self) -> bool:
        """Writes a batch of origins; returns whether that succeeded."""
        batch = self._unsaved()[:MAX_BATCH_ORIGINS]
        if not batch:
            return True
        record = Record(self._vm, encode_record(tuple(batch)))
        written = await self._store.append(ORIGINS_TOPIC, [record])
        is_saved = is_successful(written)
        _log.info(
            "origins_saved",
            origins=len(batch),
            first=batch[0].attempt_id,
            era=self._era,
            is_saved=is_saved,
        )
        if is_saved:
            self._saved.update(origin.attempt_id for origin in batch)
        return is_saved

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Returns where a stream began, if the store knows.

        Waits a moment for the reading, which also serves later requests.
        """
        self._begin_reading()
        if self._reading is not None:
            await asyncio.wait((self._reading,), timeout=READ_TIMEOUT_S)
        origin = self._origins.find_held(attempt_id)
        if origin is not None:
            metrics.STREAM_ORIGINS.labels("stored").inc()
        return origin

    @property
    def _write_interval_s(self) -> float:
        return max(MIN_WRITE_INTERVAL_S, self._count_nodes() / MAX_WRITES_PER_S)

    def _unsaved(self) -> list[StreamOrigin]:
        """Returns the origins that may be needed and are not in the store."""
        era = self._get_era()
        if era != self._era:
            self._saved.clear()
            self._era = era
        certain = [o for o in self._origins.own() if o.is_certain]
        services = (
            self._history.uncertain_services(time.monotonic())
            if certain
            else ()
        )
        own = [origin for origin in certain if origin.service in services]
        self._saved.intersection_update(origin.attempt_id for origin in own)
        return [o for o in own if o.attempt_id not in self._saved]

    def _begin_reading(self) -> None:
        """Starts to read what is new, unless that was done just now."""
        now_s = time.monotonic()
        if self._reading is not None:
            return
        if self._read_s is not None and now_s - self._read_s < READ_INTERVAL_S:
            return
        self._reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            await self._read_to_end()
        finally:
            self._read_s = time.monotonic()
            self._reading = None

    async def _read_to_end(self) -> None:
        """Keeps the origins of all records that were not read yet."""
        while True:
            found = await self._store.read_retained(
                ORIGINS_TOPIC, self._position
            )
            if not is_successful(found):
                _log.warning("origins_not_read", detail=found.failure().detail)
                return
            batch = found.unwrap()
            self._position = batch.next_offset
            if not batch.records:
                return
            for record in batch.records:
                self._keep(record)

    def _keep(self, record: Record) -> None:
        decoded = decode_record(record.value or b"", tuple[StreamOrigin, ...])
        if is_successful(decoded):
            self._origins.keep_saved(decoded.unwrap())
            return
        _log.warning(
            "origin_record_unsound", vm=record.key, detail=decoded.failure()
        )
