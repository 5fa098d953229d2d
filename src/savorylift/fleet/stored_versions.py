"""Reads from the store which software versions a stream may have begun at.

What a node has heard may be old: it may have been cut off, or have stood still,
while servers of another version joined. Nodes send requests only to servers
whose entries are in the store, and the store's answers are linearizable. So a
reading that began after a stream did shows its server's version, unless that
server is gone by then: what has served lately is in the records of versions.
"""

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.backends.server import ServerEntry
from savorylift.fleet import metrics
from savorylift.fleet.record_codec import decode_record
from savorylift.fleet.size_scaling import scale_with_nodes
from savorylift.fleet.state import UNKNOWN_VERSION
from savorylift.fleet.version_recorder import VersionRecord
from savorylift.platform.store import (
    SERVERS_TOPIC,
    VERSIONS_TOPIC,
    StoreClient,
)
from savorylift.platform.store_record import Record

# Time between two readings by a node; it grows with the fleet.
MIN_INTERVAL_S = 0.2
# Callers abandon a stream after a pause of two seconds.
MAX_WAIT_S = 1.0
# Stands for a record that can't be read, and may hold any version: no server
# has this one.
UNREADABLE = VersionRecord((2 * UNKNOWN_VERSION,))

_log = structlog.get_logger()


class _Reading(NamedTuple):
    """What the store held at some moment.

    Attributes:
        begun_s: Monotonic time before the calls.
        versions: Software versions by service.
    """

    begun_s: float
    versions: dict[str, set[str]]


class StoredVersions:
    """Software versions that serve or did so lately, as the store says."""

    def __init__(
        self,
        store: StoreClient,
        decode_entry: Callable[[str, bytes], Result[ServerEntry, str]],
        count_nodes: Callable[[], int],
    ) -> None:
        """Reads nothing yet.

        Args:
            store: The store.
            decode_entry: Decodes a server's entry, given the server's ID.
            count_nodes: Returns the number of live nodes.
        """
        self._store = store
        self._decode_entry = decode_entry
        self._count_nodes = count_nodes
        self._reading: _Reading | None = None
        # Those who ask for what the store has held since then have got nothing.
        self._failed_s = -math.inf
        self._next_s = 0.0
        self._task: asyncio.Task[bool] | None = None

    async def find(self, service: str, since_s: float) -> frozenset[str] | None:
        """Returns the versions of a service; None if they can't be read now.

        Those who wait share a reading.

        Args:
            service: Name of the service.
            since_s: Monotonic time since which they must have been read.
        """
        until_s = time.monotonic() + MAX_WAIT_S
        while self._reading is None or self._reading.begun_s < since_s:
            if since_s <= self._failed_s:
                return None
            if self._task is None:
                loop = asyncio.get_running_loop()
                self._task = loop.create_task(self._read_in_turn())
            task = self._task
            wait_s = max(until_s - time.monotonic(), 0.0)
            await asyncio.wait((task,), timeout=wait_s)
            if not task.done() or not task.result():
                self._failed_s = max(self._failed_s, since_s)
        return frozenset(self._reading.versions.get(service, ()))

    async def _read_in_turn(self) -> bool:
        """Makes the next reading once it is due; returns if it succeeded."""
        try:
            await asyncio.sleep(max(self._next_s - time.monotonic(), 0.0))
            begun_s = time.monotonic()
            self._next_s = begun_s + scale_with_nodes(
                MIN_INTERVAL_S, self._count_nodes()
            )
            versions = await self._read()
            if versions is not None:
                self._reading = _Reading(begun_s, versions)
            _log_reading(begun_s, versions)
            return versions is not None
        finally:
            self._task = None

    async def _read(self) -> dict[str, set[str]] | None:
        """Returns the versions by service; None if a call failed."""
        entries, recorded = await asyncio.gather(
            self._store.list_newest(SERVERS_TOPIC),
            self._store.list_newest(VERSIONS_TOPIC),
        )
        if not (is_successful(entries) and is_successful(recorded)):
            return None
        versions: dict[str, set[str]] = {}
        self._add_entries(entries.unwrap().records, versions)
        _add_recorded(recorded.unwrap().records, versions)
        return versions

    def _add_entries(
        self, records: Iterable[Record], versions: dict[str, set[str]]
    ) -> None:
        """Adds the versions of servers; unreadable entries name no server."""
        for record in records:
            decoded = self._decode_entry(record.key, record.value or b"")
            if is_successful(decoded):
                entry = decoded.unwrap()
                found = versions.setdefault(entry.service, set())
                found.add(entry.software_version)


def _add_recorded(
    records: Iterable[Record], versions: dict[str, set[str]]
) -> None:
    """Adds the versions that nodes have recorded."""
    for record in records:
        decoded = decode_record(record.value or b"", VersionRecord)
        found = versions.setdefault(record.key, set())
        found.update(decoded.value_or(UNREADABLE).versions)


def _log_reading(begun_s: float, versions: dict[str, set[str]] | None) -> None:
    outcome = "failed" if versions is None else "read"
    metrics.STORED_VERSIONS.labels(outcome).inc()
    _log.info(
        "stored_versions",
        outcome=outcome,
        took_ms=round((time.monotonic() - begun_s) * 1000),
        mixed=sorted(
            name for name, found in (versions or {}).items() if len(found) > 1
        ),
    )
