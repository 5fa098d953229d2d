"""What processes of backend servers said of leaving, and whom it concerns.

A server may start again under its ID and address, and its process serve before
its entry is read. So the process that says that it leaves may be a later one
than that of the entry.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.backends.server import ServerEntry


class LeavingMark(NamedTuple):
    """That a process of a server said that it is draining.

    Attributes:
        started_ms: Its start. If it wasn't named, that of the entry known
            then: the process may have started later.
        entry_started_ms: Start of the entry known then.
        address: Where the process listens.
        is_start_known: Whether it named its start itself.
    """

    started_ms: int
    entry_started_ms: int
    address: tuple[str, int]
    is_start_known: bool = False


class Standing(enum.Enum):
    """What the marks of a server say of the process of an entry.

    Attributes:
        STAYS: Nothing.
        LEAVES: It leaves.
        IN_DOUBT: It, or an earlier process, leaves.
    """

    STAYS = enum.auto()
    LEAVES = enum.auto()
    IN_DOUBT = enum.auto()


class LeavingMarks:
    """The newest mark of each server, and which servers were proven sound."""

    def __init__(self) -> None:
        """Starts without marks."""
        self._marks: dict[str, LeavingMark] = {}
        # Start of the processes that were in doubt and don't leave.
        self._cleared: dict[str, int] = {}

    @property
    def starts(self) -> Mapping[str, int]:
        """Start of each server that said that it is draining."""
        return {key: mark.started_ms for key, mark in self._marks.items()}

    def judge(self, entry: ServerEntry) -> Standing:
        """Returns what is known of the process of an entry."""
        mark = self._marks.get(entry.server_id)
        return Standing.STAYS if mark is None else _judge(mark, entry)

    def add(self, server_id: str, mark: LeavingMark) -> None:
        """Adds a mark, unless a later or surer one is known."""
        if mark.started_ms < self._cleared.get(server_id, mark.started_ms):
            return
        known = self._marks.get(server_id)
        if known is None or _rank(mark) > _rank(known):
            self._marks[server_id] = mark

    def drop_outdated(self, entry: ServerEntry) -> None:
        """Drops a mark if an entry shows that another process has followed."""
        mark = self._marks.get(entry.server_id)
        if mark is None or entry.started_ms <= mark.started_ms:
            return
        if _judge(mark, entry) is Standing.STAYS:
            del self._marks[entry.server_id]

    def clear(self, entry: ServerEntry) -> None:
        """Notes that the process of an entry doesn't leave."""
        self._marks.pop(entry.server_id, None)
        self._cleared[entry.server_id] = entry.started_ms

    def forget(self, server_id: str) -> None:
        """Forgets a server."""
        self._marks.pop(server_id, None)
        self._cleared.pop(server_id, None)


def _judge(mark: LeavingMark, entry: ServerEntry) -> Standing:
    if entry.started_ms == mark.started_ms:
        return Standing.LEAVES
    if entry.started_ms <= mark.entry_started_ms:
        return Standing.LEAVES
    if entry.address != mark.address:
        return Standing.STAYS
    if mark.is_start_known and mark.started_ms < entry.started_ms:
        return Standing.STAYS
    return Standing.IN_DOUBT


def _rank(mark: LeavingMark) -> tuple[int, bool]:
    return mark.started_ms, mark.is_start_known
