"""The last entry of each server that writes entries, removed ones too."""

from collections.abc import Collection
from typing import NamedTuple

from savorylift.backends.server import ServerEntry

# Delayed entries of a removed server arrive within seconds of its removal.
REMOVED_RETENTION_S = 60.0


class _LatestEntry(NamedTuple):
    """The last entry of a server.

    Attributes:
        entry: The entry.
        changed_s: Monotonic time at which it came, or at which its server was
            removed.
    """

    entry: ServerEntry
    changed_s: float


class LatestEntries:
    """Last entries, so that earlier ones that arrive late are no news."""

    def __init__(self) -> None:
        """Creates it without any entry."""
        self._latest: dict[str, _LatestEntry] = {}

    def __contains__(self, server_id: object) -> bool:
        """Whether a server has written an entry."""
        return server_id in self._latest

    @property
    def server_ids(self) -> frozenset[str]:
        """Identifiers of the servers that have written entries."""
        return frozenset(self._latest)

    def find(self, server_id: str) -> ServerEntry | None:
        """Returns the last entry of a server, also of one removed lately."""
        latest = self._latest.get(server_id)
        return None if latest is None else latest.entry

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Stores the last entry of a server."""
        self._latest[entry.server_id] = _LatestEntry(entry, now_s)

    def note_removal(self, server_id: str, now_s: float) -> None:
        """Notes that a server was removed; its entry is kept for a while."""
        latest = self._latest.get(server_id)
        if latest is not None:
            self._latest[server_id] = latest._replace(changed_s=now_s)

    def forget_removed(
        self, now_s: float, registered: Collection[str]
    ) -> list[str]:
        """Forgets servers removed long ago; returns their identifiers.

        Args:
            now_s: Monotonic time.
            registered: Identifiers of the servers that aren't removed.
        """
        before_s = now_s - REMOVED_RETENTION_S
        old = [
            server_id
            for server_id, latest in self._latest.items()
            if latest.changed_s < before_s and server_id not in registered
        ]
        for server_id in old:
            del self._latest[server_id]
        return old
