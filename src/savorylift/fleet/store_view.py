"""A node's view of the store's records, read from it or sent by a peer."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.backends.registry import Registry
from savorylift.backends.server import ServerEntry
from savorylift.fleet.patch import apply_patch, make_patch
from savorylift.fleet.server_records import ServerRecords
from savorylift.fleet.store_records import (
    Change,
    Delta,
    Snapshot,
    Topic,
    Version,
)
from savorylift.routing.configuration import Configuration

# Larger values are sent to the other nodes as differences.
MIN_PATCHED_BYTES = 512

_log = structlog.get_logger()


class Decoders(NamedTuple):
    """Decoders and keys of the store's records.

    Attributes:
        configuration: Decodes the configuration.
        server: Decodes a backend server's entry, given its identifier.
        configuration_key: Key of the configuration.
        evacuation_prefix: Prefix of the keys that take a failure domain or a
            backend server out of service.
    """

    configuration: Callable[[bytes], Result[Configuration, str]]
    server: Callable[[str, bytes], Result[ServerEntry, str]]
    configuration_key: str
    evacuation_prefix: str


class StoreView:
    """The configuration, the evacuations and the backend servers.

    Attributes:
        configuration: The newest configuration; None before the first.
        configuration_loaded: Event that is set once there is a configuration.
        evacuated: Failure domains and backend servers that get no new
            requests.
        operators_version: Offset after the last record by operators.
        servers_read_s: Monotonic time at which this node itself last read the
            entries of servers from the store; None before the first time.
    """

    def __init__(self, decoders: Decoders) -> None:
        """Creates an empty view."""
        self._decoders = decoders
        self._operators: dict[str, bytes] = {}
        self._servers = ServerRecords(decoders.server)
        self.configuration: Configuration | None = None
        self.configuration_loaded = asyncio.Event()
        self.evacuated: frozenset[str] = frozenset()
        self.operators_version = 0
        self.servers_read_s: float | None = None

    @property
    def registry(self) -> Registry:
        """The backend servers."""
        return self._servers.registry

    @property
    def servers_version(self) -> Version:
        """The version of the server entries."""
        return self._servers.version

    @property
    def operator_records(self) -> Mapping[str, bytes]:
        """The operators' records by key, as stored."""
        return self._operators

    def snapshot(
        self, operators_version: int = -1, servers_version: Version = (-1, 0)
    ) -> Snapshot:
        """Returns the topics that are newer here than the given versions."""
        result = Snapshot(0, (0, 0), {}, {})
        if self.operators_version > operators_version:
            result = result._replace(
                operators_version=self.operators_version,
                operators=dict(self._operators),
            )
        if self.servers_version > servers_version:
            result = result._replace(
                servers_version=self.servers_version,
                servers=dict(self._servers.values),
            )
        return result

    def version(self, topic: Topic) -> Version:
        """Returns the version of a topic."""
        if topic is Topic.SERVERS:
            return self.servers_version
        return self.operators_version, 0

    def make_operators_delta(
        self, records: Iterable[Change], offset: int
    ) -> Delta:
        """Returns the delta for records that are about to be applied.

        Of several records with one key it has the last. Large values are sent
        as the difference from the value that the view still has.
        """
        changes, patches = [], []
        for key, value in {c.key: c.value for c in records}.items():
            old = self._operators.get(key)
            if value and old and len(value) > MIN_PATCHED_BYTES:
                patches.append(make_patch(key, old, value))
            else:
                changes.append(Change(key, value))
        return Delta(
            Topic.OPERATORS,
            self.version(Topic.OPERATORS),
            (offset, 0),
            tuple(changes),
            tuple(patches),
        )

    def apply_delta(self, delta: Delta) -> bool:
        """Applies another node's delta; returns whether it was applied.

        A delta for another version or value than this node's is dropped. The
        node then fetches a snapshot.
        """
        if self.version(delta.topic) != delta.base_version:
            return False
        if delta.topic is Topic.SERVERS:
            self.apply_server_records(delta.changes, delta.new_version[0])
            self._servers.version = delta.new_version
            return True
        patched = [
            Change(patch.key, apply_patch(patch, self._operators[patch.key]))
            for patch in delta.patches
            if patch.key in self._operators
        ]
        if len(patched) < len(delta.patches) or any(
            change.value is None for change in patched
        ):
            return False
        self.apply_operator_records(
            (*delta.changes, *patched), delta.new_version[0]
        )
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replaces topics that are newer in `snapshot`; returns if any was."""
        is_changed = False
        if snapshot.operators_version > self.operators_version:
            self.replace_operator_records(
                [Change(*item) for item in snapshot.operators.items()],
                snapshot.operators_version,
            )
            is_changed = True
        if snapshot.servers_version > self.servers_version:
            self._servers.replace_from_peer(
                snapshot.servers, snapshot.servers_version
            )
            is_changed = True
        return is_changed

    def replace_operator_records(
        self, changes: Iterable[Change], offset: int
    ) -> None:
        """Replaces all records by operators with a full listing.

        A configuration that is missing from the listing stays in use, since
        there is no other to replace it.
        """
        kept = self._operators.get(self._decoders.configuration_key)
        self._operators = {}
        if kept is not None:
            self._operators[self._decoders.configuration_key] = kept
        self._put_operator_records(changes, offset)

    def apply_operator_records(
        self, changes: Iterable[Change], offset: int
    ) -> bool:
        """Applies records in order; returns whether there were any."""
        records = list(changes)
        if records:
            self._put_operator_records(records, offset)
        return bool(records)

    def replace_server_records(
        self, changes: Iterable[Change], offset: int
    ) -> bool:
        """Replaces all server entries; returns whether anything changed."""
        return self._servers.replace(changes, offset)

    def apply_server_records(
        self, changes: Iterable[Change], offset: int
    ) -> tuple[Change, ...]:
        """Applies records in order; returns those to tell other nodes."""
        return self._servers.apply(changes, offset)

    def drop_expired(self) -> bool:
        """Drops servers that did not write again after an outage of the store.

        Returns:
            Whether a server was dropped.
        """
        return self._servers.drop_expired()

    def _put_operator_records(
        self, changes: Iterable[Change], offset: int
    ) -> None:
        for change in changes:
            if change.value is None:
                if change.key != self._decoders.configuration_key:
                    self._operators.pop(change.key, None)
            elif change.key == self._decoders.configuration_key:
                self._put_configuration(change.value)
            else:
                self._operators[change.key] = change.value
        prefix = self._decoders.evacuation_prefix
        evacuated = frozenset(
            key.removeprefix(prefix)
            for key in self._operators
            if key.startswith(prefix)
        )
        if evacuated != self.evacuated:
            _log.info("evacuation", domains=sorted(evacuated), offset=offset)
        self.evacuated = evacuated
        self.operators_version = offset

    def _put_configuration(self, value: bytes) -> None:
        decoded = self._decoders.configuration(value)
        if not is_successful(decoded):
            _log.error("configuration_unreadable", detail=decoded.failure())
            return
        cfg = decoded.unwrap()
        if self.configuration is not None and (
            cfg.version < self.configuration.version
        ):
            _log.warning("configuration_older", version=cfg.version)
            return
        self._operators[self._decoders.configuration_key] = value
        self.configuration = cfg
        self.registry.set_static_entries(cfg.servers)
        self.configuration_loaded.set()
        _log.info(
            "configuration",
            version=cfg.version,
            bytes=len(value),
            unread_lines=cfg.unread_lines,
        )
