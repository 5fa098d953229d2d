"""The backend servers' records in the store, and what they mean."""

import time
from collections.abc import Callable, Iterable, Mapping

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.backends.registry import Registry
from savorylift.backends.server import ServerEntry
from savorylift.fleet.store_records import Change, Version

_log = structlog.get_logger()


class ServerRecords:
    """The servers' entries as stored, and the registry of those that count.

    Attributes:
        registry: The backend servers.
        version: Offset after the last changed entry, and the number of changes
            since then that are not records, such as expirations.
    """

    def __init__(
        self, decode: Callable[[str, bytes], Result[ServerEntry, str]]
    ) -> None:
        """Creates it without any record.

        Args:
            decode: Decodes a backend server's entry, given its identifier.
        """
        self._decode = decode
        self._values: dict[str, bytes] = {}
        self.registry = Registry()
        self.version: Version = (0, 0)

    @property
    def values(self) -> Mapping[str, bytes]:
        """The entries by the servers' identifiers, as stored."""
        return self._values

    def replace(self, changes: Iterable[Change], offset: int) -> bool:
        """Replaces all server entries; returns whether anything changed."""
        values = {c.key: c.value for c in changes if c.value is not None}
        is_changed = self._replace_values(values)
        if is_changed:
            self.version = (offset, 0)
        return is_changed

    def replace_from_peer(
        self, values: Mapping[str, bytes], version: Version
    ) -> None:
        """Replaces all entries with those that another node has."""
        self._replace_values(values, is_from_store=False)
        self.version = version

    def apply(
        self, changes: Iterable[Change], offset: int
    ) -> tuple[Change, ...]:
        """Applies records in order.

        Returns:
            The changes to tell other nodes; none without an effect here. Since
            they hear of no heartbeats, a removal comes after the last entry,
            which a copy of the store may bring back.
        """
        now_s = time.monotonic()
        told: list[Change] = []
        for change in changes:
            if change.value is None:
                told += self._remove(change.key, now_s)
            elif self._put(change.key, change.value, now_s):
                told.append(change)
        if told:
            self.version = (offset, 0)
        return tuple(told)

    def drop_expired(self) -> bool:
        """Drops servers that did not write again after an outage of the store.

        Returns:
            Whether a server was dropped.
        """
        expired = self.registry.drop_expired(time.monotonic())
        for server_id in expired:
            self._values.pop(server_id, None)
            _log.info("server_lapsed", server=server_id)
        if expired:
            offset, changes = self.version
            self.version = (offset, changes + 1)
        return bool(expired)

    def _remove(self, server_id: str, now_s: float) -> tuple[Change, ...]:
        """Removes a server; returns the changes to tell other nodes."""
        entry = self.registry.find_entry(server_id)
        has_effect = self.registry.remove(server_id, now_s)
        if entry is not None:
            _log_removal(entry, has_effect=has_effect, is_listed=False)
        if not has_effect:
            return ()
        last = self._values.pop(server_id, None)
        removal = Change(server_id, None)
        return (
            (removal,) if last is None else (Change(server_id, last), removal)
        )

    def _replace_values(
        self, values: Mapping[str, bytes], *, is_from_store: bool = True
    ) -> bool:
        """Replaces all server entries.

        Args:
            values: The entries.
            is_from_store: Whether the store has them now; otherwise another
                node has, which may keep servers that are missing.

        Returns:
            Whether anything changed.
        """
        now_s = time.monotonic()
        before = dict(self.registry.servers)
        has_removed = self.registry.keep_only(values, now_s)
        for server_id, server in before.items():
            if server_id not in values and server_id in self._values:
                has_effect = not self.registry.is_registered(server_id)
                _log_removal(
                    server.entry, has_effect=has_effect, is_listed=True
                )
        put = [
            self._put(*item, now_s, is_from_store=is_from_store)
            for item in values.items()
        ]
        self._values = {
            key: value
            for key, value in self._values.items()
            if key in self.registry.servers
        }
        return has_removed or any(put)

    def _put(
        self,
        server_id: str,
        value: bytes,
        now_s: float,
        *,
        is_from_store: bool = True,
    ) -> bool:
        decoded = self._decode(server_id, value)
        if not is_successful(decoded):
            _log.warning(
                "server_entry_unreadable",
                server=server_id,
                detail=decoded.failure(),
            )
            return False
        entry = decoded.unwrap()
        last = self.registry.find_last_entry(server_id)
        if self.registry.is_outdated(entry):
            _log_outdated(entry, last)
            return False
        if not is_from_store and self.registry.is_still_missing(entry):
            return False
        self._values[server_id] = value
        is_changed = self.registry.put(entry, now_s)
        if is_changed:
            _log.info(
                "server_changed",
                server=server_id,
                service=entry.service,
                software_version=entry.software_version,
                start_ms=entry.started_ms,
                is_leaving=entry.is_leaving,
                cold_s=entry.cold_s,
                sequence=entry.sequence,
                last_start_ms=None if last is None else last.started_ms,
                last_sequence=None if last is None else last.sequence,
            )
        return is_changed


def _log_outdated(entry: ServerEntry, last: ServerEntry | None) -> None:
    """Logs an entry that is no news of its server."""
    _log.info(
        "server_entry_outdated",
        server=entry.server_id,
        start_ms=entry.started_ms,
        sequence=entry.sequence,
        last_start_ms=None if last is None else last.started_ms,
        last_sequence=None if last is None else last.sequence,
    )


def _log_removal(
    entry: ServerEntry, *, has_effect: bool, is_listed: bool
) -> None:
    """Logs that a server's entry is gone.

    Args:
        entry: The entry.
        has_effect: Whether the server goes at once; else it is kept for a
            while, since its entry may have lapsed.
        is_listed: Whether the entry is missing from a listing.
    """
    _log.info(
        "server_removed" if has_effect else "server_missing",
        server=entry.server_id,
        start_ms=entry.started_ms,
        sequence=entry.sequence,
        is_listed=is_listed,
    )
