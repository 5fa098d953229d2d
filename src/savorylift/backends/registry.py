"""Registry of the known backend servers and their latest entries."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.backends.grace_period import GracePeriod
from savorylift.backends.latest_entries import LatestEntries
from savorylift.backends.leaving_marks import (
    LeavingMark,
    LeavingMarks,
    Standing,
)
from savorylift.backends.server import ServerEntry

# Servers whose entries the store lost during an outage write them again
# within this time.
GRACE_PERIOD_S = 2.2


class BackendServer(NamedTuple):
    """A backend server that this node knows.

    Attributes:
        entry: Its latest entry.
        cold_until_s: Monotonic time until which it is treated as cold.
        expires_at_s: Monotonic time at which it is dropped unless it writes
            another entry; None if it isn't about to expire.
    """

    entry: ServerEntry
    cold_until_s: float
    expires_at_s: float | None = None

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it is still in its cold start."""
        return now_s < self.cold_until_s


class Registry:
    """Backend servers by identifier; ignores entries that arrive late.

    Most servers are discovered through the entries that they write to the
    store. Static servers are named by the configuration.
    """

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._servers: dict[str, BackendServer] = {}
        self._latest = LatestEntries()
        self._static: dict[str, ServerEntry] = {}
        self._grace = GracePeriod(GRACE_PERIOD_S)
        # Which processes said that they were draining.
        self._marks = LeavingMarks()

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All known servers by identifier, including draining ones."""
        return self._servers

    def is_registered(self, server_id: str) -> bool:
        """Returns whether a server is known."""
        return server_id in self._servers

    def find_entry(self, server_id: str) -> ServerEntry | None:
        """Returns the newest entry of a server that is known."""
        server = self._servers.get(server_id)
        return None if server is None else server.entry

    def find_last_entry(self, server_id: str) -> ServerEntry | None:
        """Returns the last entry of a server, also of one removed lately."""
        return self._latest.find(server_id)

    def start_grace_period(self, returned_s: float) -> None:
        """Starts the grace period after an outage of the store.

        Entries that the store lost during the outage are missing until their
        servers write them again. Such servers are kept for that period.

        Args:
            returned_s: Monotonic time at which the store answered again. An
                earlier one than before changes nothing.
        """
        self._grace.start(returned_s)

    def date_grace_period_back(self, returned_s: float) -> None:
        """Ends the grace period earlier: the store answered by that time."""
        self._grace.date_back(returned_s)

    def put(self, entry: ServerEntry, now_s: float) -> bool:
        """Stores an entry unless it is outdated.

        Returns:
            Whether the entry changes more than a heartbeat does.
        """
        if self.is_outdated(entry):
            return False
        self._latest.put(entry, now_s)
        server = self._servers.get(entry.server_id)
        self._marks.drop_outdated(entry)
        if self._marks.judge(entry) is not Standing.STAYS:
            entry = entry._replace(is_leaving=True)
        cold_until_s = now_s + entry.cold_s if entry.cold_s > 0 else 0.0
        self._servers[entry.server_id] = BackendServer(entry, cold_until_s)
        return server is None or entry.is_significant_change(server.entry)

    def is_outdated(self, entry: ServerEntry) -> bool:
        """Whether an entry is no news of its server.

        The last entry of a removed server is none: a server that lives writes
        a later one, while that one comes back with a copy of the store.
        """
        last = self.find_last_entry(entry.server_id)
        if last is None:
            return False
        if entry.server_id in self._servers:
            return entry.is_older_than(last)
        return not last.is_older_than(entry)

    def is_still_missing(self, entry: ServerEntry) -> bool:
        """Whether a server is to expire, and an entry doesn't change that."""
        server = self._servers.get(entry.server_id)
        if server is None or server.expires_at_s is None:
            return False
        last = self.find_last_entry(entry.server_id)
        return last is not None and not last.is_older_than(entry)

    def remove(self, server_id: str, now_s: float) -> bool:
        """Removes a server whose entry was deleted from the store.

        During the grace period after an outage, a server that isn't draining
        is only marked to expire.

        Returns:
            Whether the server was removed.
        """
        server = self._servers.get(server_id)
        if server is None:
            return False
        if not (self._grace.is_over(now_s) or server.entry.is_leaving):
            if server.expires_at_s is None:
                self._servers[server_id] = server._replace(
                    expires_at_s=self._grace.until_s
                )
            return False
        self._drop(server_id, now_s)
        return True

    def _drop(self, server_id: str, now_s: float) -> None:
        del self._servers[server_id]
        self._latest.note_removal(server_id, now_s)

    def set_static_entries(self, entries: Iterable[ServerEntry]) -> None:
        """Replaces the static servers, which the configuration names.

        An entry that a server wrote itself under the same identifier takes
        precedence. A static server is treated as cold until it reports that
        it is warm.
        """
        static = {entry.server_id: entry for entry in entries}
        for server_id in self._static.keys() - static.keys():
            if server_id not in self._latest:
                self._servers.pop(server_id, None)
                self._marks.forget(server_id)
        for server_id, entry in static.items():
            is_same = self._static.get(server_id) == entry
            if server_id not in self._latest and not is_same:
                self._servers[server_id] = BackendServer(entry, math.inf)
        self._static = static

    @property
    def static_entries(self) -> list[ServerEntry]:
        """Entries of the static servers that write none themselves."""
        return [
            e for e in self._static.values() if e.server_id not in self._latest
        ]

    def is_static(self, server_id: str) -> bool:
        """Returns whether a server is static, and writes no entries."""
        return server_id in self._static and server_id not in self._latest

    def update_static_status(
        self, server_id: str, *, is_cold: bool, is_leaving: bool
    ) -> bool:
        """Updates a static server with the status that it reports.

        Returns:
            Whether the status changed.
        """
        server = self._servers.get(server_id)
        if server is None or server_id in self._latest:
            return False
        if not is_leaving:
            self._marks.forget(server_id)
        updated = BackendServer(
            server.entry._replace(is_leaving=is_leaving),
            math.inf if is_cold else 0.0,
        )
        self._servers[server_id] = updated
        return updated != server

    def mark_leaving(
        self, server_id: str, started_ms: int, *, is_start_known: bool = False
    ) -> bool:
        """Marks a server that says itself that it is draining.

        Its entries may not say so yet, and may be missing for a while. It
        holds until a later process is known to serve in its place. An entry
        with a later start leaves that open if the process didn't name its own.

        Args:
            server_id: Identifier of the server.
            started_ms: Start of the process that says so; if it isn't known,
                that of the entry by which the process was asked.
            is_start_known: Whether the process named its start itself.

        Returns:
            Whether it is news that the server is draining.
        """
        entry = self._latest.find(server_id) or self.find_entry(server_id)
        if entry is None:
            return False
        before = self._marks.judge(entry)
        known_ms = min(started_ms, entry.started_ms)
        self._marks.add(
            server_id,
            LeavingMark(started_ms, known_ms, entry.address, is_start_known),
        )
        standing = self._marks.judge(entry)
        server = self._servers.get(server_id)
        if server is None or standing is Standing.STAYS:
            return False
        leaving = server.entry._replace(is_leaving=True)
        self._servers[server_id] = server._replace(entry=leaving)
        if standing is Standing.IN_DOUBT:
            return False
        return before is Standing.IN_DOUBT or not server.entry.is_leaving

    @property
    def has_marks(self) -> bool:
        """Whether any server has said that it is draining."""
        return bool(self._marks.starts)

    def clear_leaving(self, server_id: str) -> None:
        """Drops the doubt whether a server is draining: it isn't."""
        latest = self._latest.find(server_id)
        if latest is None or not self.is_in_doubt(server_id):
            return
        self._marks.clear(latest)
        server = self._servers[server_id]
        entry = server.entry._replace(is_leaving=latest.is_leaving)
        self._servers[server_id] = server._replace(entry=entry)

    def is_in_doubt(self, server_id: str) -> bool:
        """Whether a notice may be that of an earlier process of a server."""
        latest = self._latest.find(server_id)
        if latest is None or server_id not in self._servers:
            return False
        return self._marks.judge(latest) is Standing.IN_DOUBT

    def ids_in_doubt(self) -> list[str]:
        """Returns the identifiers of the servers that are in doubt."""
        return [s for s in self._marks.starts if self.is_in_doubt(s)]

    @property
    def said_leaving(self) -> Mapping[str, int]:
        """Start of each server that said itself that it is draining."""
        return self._marks.starts

    def keep_only(self, server_ids: Iterable[str], now_s: float) -> bool:
        """Removes all other servers except the static ones.

        Returns:
            Whether a server was removed.
        """
        kept = set(server_ids)
        kept |= self._static.keys() - self._latest.server_ids
        absent = [
            server_id for server_id in self._servers if server_id not in kept
        ]
        removed = [self.remove(server_id, now_s) for server_id in absent]
        return any(removed)

    def drop_expired(self, now_s: float) -> list[str]:
        """Drops the servers whose grace period is over.

        Returns:
            Identifiers of the dropped servers.
        """
        expired = [
            server_id
            for server_id, server in self._servers.items()
            if server.expires_at_s is not None
            and now_s >= min(server.expires_at_s, self._grace.until_s)
        ]
        for server_id in expired:
            self._drop(server_id, now_s)
        for server_id in self._latest.forget_removed(now_s, self._servers):
            self._marks.forget(server_id)
        return expired
