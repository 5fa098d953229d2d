"""Keeps in the store which software versions streams may have begun at.

A fleet whose nodes are all lost at once would take the versions that serve when
it starts again for the only ones.
"""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful

from savorylift.beat import wait_for_beat
from savorylift.fleet.record_codec import decode_record, encode_record
from savorylift.fleet.state import UNKNOWN_VERSION
from savorylift.fleet.version_history import ServerStart, VersionHistory
from savorylift.platform.store import (
    VERSIONS_TOPIC,
    StoreClient,
    StoreFault,
)
from savorylift.platform.store_record import MAX_KEY_BYTES, Record

CHECK_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 1.0
# By then a node that starts has heard the others, which may be of a build that
# keeps no records.
START_DELAY_S = 2.0
# Time between two writes that only add starts of servers.
STARTS_INTERVAL_S = 2.0
# For how long a node waits until others tell what the store holds.
MAX_HEARING_S = 5.0
# So many starts fit into a record of the store, whatever their servers' names.
MAX_STARTS = 900

_log = structlog.get_logger()


class VersionRecord(NamedTuple):
    """What the store holds of a service, under its name.

    Attributes:
        versions: Software versions that streams may have begun at;
            `UNKNOWN_VERSION` among them if a server has started again lately.
        starts: The newest processes of the servers.
    """

    versions: tuple[str, ...]
    starts: tuple[ServerStart, ...] = ()


NO_VERSIONS = VersionRecord(())


class VersionRecorder:
    """Reads the records once, and writes those that change."""

    def __init__(
        self,
        store: StoreClient,
        history: VersionHistory,
        is_service: Callable[[str], bool],
        is_writer: Callable[[], bool],
        get_era: Callable[[], int],
        hearing_s: float = 0.0,
        is_first_writer: Callable[[], bool] | None = None,
    ) -> None:
        """Makes no call until `run` is called.

        Args:
            store: The store.
            history: Gets what the store holds, and says what it should hold.
            is_service: Returns whether a service is configured. Others have
                entries, too, under any name.
            is_writer: Whether this node writes what changes.
            get_era: Returns how often the store has come back from a copy,
                and lost what was written since.
            hearing_s: For how long this node first waits for the messages of
                others: only the writers read the records from the store, and
                tell what they say.
            is_first_writer: Whether it is the one that writes new starts of
                servers; `is_writer` by default.
        """
        self._hearing_s = hearing_s
        self._is_first_writer = is_first_writer or is_writer
        self._next_starts_s = 0.0
        self._store = store
        self._history = history
        self._is_service = is_service
        self._is_writer = is_writer
        self._get_era = get_era
        self._era = 0
        self._saved: dict[str, VersionRecord] = {}
        # End of the topic as it was read or written last; None before.
        self._end: int | None = None

    async def run(self) -> None:
        """Reads the records, and then writes changes forever."""
        started_s = time.monotonic()
        await self._load_in_turn()
        wait_s = started_s + START_DELAY_S - time.monotonic()
        await asyncio.sleep(max(wait_s, 0.0))
        self._history.is_complete = True
        while True:
            if await self._save_in_turn():
                await wait_for_beat(CHECK_INTERVAL_S, self._is_writer)
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _load_in_turn(self) -> None:
        """Reads the records unless another node tells what they say.

        A node that isn't a writer gives the others `MAX_HEARING_S` for that.
        """
        await asyncio.sleep(self._hearing_s)
        until_s = time.monotonic() + MAX_HEARING_S
        while not self._history.is_complete:
            if not self._is_writer() and time.monotonic() < until_s:
                await asyncio.sleep(CHECK_INTERVAL_S)
            elif await self._load():
                return
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _save_in_turn(self) -> bool:
        """Writes what has changed if this node is a writer."""
        if not self._is_writer():
            return True
        era = self._get_era()
        if era != self._era:
            self._era, self._end = era, None
        has_loaded = self._end is not None or await self._load()
        return has_loaded and await self.save()

    async def save(self) -> bool:
        """Writes what has changed; returns whether that succeeded.

        Not over what another node has written since, which may know more: that
        is read first.
        """
        changed = self._find_changed()
        if not changed or not self._is_due(changed):
            return True
        self._next_starts_s = time.monotonic() + STARTS_INTERVAL_S
        records = [_encode(*item) for item in changed.items()]
        written = await self._store.append(VERSIONS_TOPIC, records, self._end)
        is_saved = is_successful(written)
        _log.info(
            "versions_saved",
            versions={s: record.versions for s, record in changed.items()},
            era=self._era,
            is_saved=is_saved,
            detail=None if is_saved else written.failure().detail,
        )
        if not is_saved:
            if written.failure().fault is StoreFault.CONFLICT:
                return await self._load()
            return False
        self._end = written.unwrap() + len(records)
        self._saved |= changed
        self._saved = {
            service: record
            for service, record in self._saved.items()
            if record.versions
        }
        return True

    def _is_due(self, changed: dict[str, VersionRecord]) -> bool:
        """Whether changes must be written now.

        New starts of servers may wait: a server whose start isn't recorded
        counts as started again, which is the safe side.
        """
        for service, record in changed.items():
            saved = self._saved.get(service, NO_VERSIONS)
            if record.versions != saved.versions:
                return True
        is_late = time.monotonic() >= self._next_starts_s
        return is_late and self._is_first_writer()

    def _find_changed(self) -> dict[str, VersionRecord]:
        """Returns what the store should hold; nothing for a gone service."""
        known = self._make_records()
        changed = {
            service: record
            for service, record in known.items()
            if record != self._saved.get(service)
            and self._is_service(service)
            and len(service.encode()) <= MAX_KEY_BYTES
        }
        gone = self._saved.keys() - known.keys()
        return changed | dict.fromkeys(gone, NO_VERSIONS)

    def _make_records(self) -> dict[str, VersionRecord]:
        """Returns what is known of each service."""
        starts = self._history.starts()
        restarted = self._history.restarted_services(time.monotonic())
        records = {}
        for service, versions in self._history.known_versions().items():
            if service in restarted:
                versions |= {UNKNOWN_VERSION}
            records[service] = VersionRecord(
                tuple(sorted(versions)), starts.get(service, ())[:MAX_STARTS]
            )
        return records

    async def _load(self) -> bool:
        """Reads all records; returns whether that succeeded.

        What they hold and this node has not heard of counts from now on.
        """
        listed = await self._store.list_newest(VERSIONS_TOPIC)
        if not is_successful(listed):
            _log.warning("versions_not_loaded", detail=listed.failure().detail)
            return False
        batch = listed.unwrap()
        self._end = batch.next_offset
        self._saved = dict(_decode_records(batch.records))
        for service, record in self._saved.items():
            self._restore(service, record)
        if batch.records:
            self._history.is_complete = True
        _log.info(
            "versions_loaded",
            versions={s: found.versions for s, found in self._saved.items()},
        )
        return True

    def _restore(self, service: str, record: VersionRecord) -> None:
        """Adds what a record holds to what this node has heard."""
        # Starts are written late, and a node that runs has seen them itself.
        starts = () if self._history.is_complete else record.starts
        now_s = time.monotonic()
        self._history.restore(service, record.versions, starts, now_s)


def _decode_records(
    records: Iterable[Record],
) -> Iterator[tuple[str, VersionRecord]]:
    """Yields the service and the content of each record that can be read."""
    for record in records:
        decoded = decode_record(record.value or b"", VersionRecord)
        if is_successful(decoded):
            yield record.key, decoded.unwrap()
        else:
            _log.warning(
                "version_record_unsound",
                service=record.key,
                detail=decoded.failure(),
            )


def _encode(service: str, record: VersionRecord) -> Record:
    """Returns a record for the store; it removes the key if it is empty."""
    if not record.versions:
        return Record(service, None)
    return Record(service, encode_record(record))
