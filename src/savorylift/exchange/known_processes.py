"""Shows by open connections that the processes of servers live on.

A process that ends closes its connections. So a connection that was open when a
server said which process it is, and on which something arrived later, shows
that it is still that process: whoever connects meanwhile reaches it.
"""

import weakref
from typing import NamedTuple, Protocol

from savorylift.backends.server import ServerEntry

# Bounds the memory that servers take that are gone.
MAX_SERVERS = 10_000


def server_name(entry: ServerEntry) -> str:
    """Returns the name of a server at its address."""
    host, port = entry.address
    return f"{entry.server_id}@{host}:{port}"


class OpenConnection(Protocol):
    """A connection to a server."""

    @property
    def opened_s(self) -> float | None:
        """Boot time at which it was open; None if it never was."""
        ...

    def heard_s(self) -> float | None:
        """Returns when the server last sent anything; None at its end."""
        ...


class _Process(NamedTuple):
    """A process that a server has named.

    Attributes:
        started_ms: When it started.
        alive_s: Boot time at which it is known to have lived.
    """

    started_ms: int
    alive_s: float


class KnownProcesses:
    """The processes that servers have named, and for how long they lived."""

    def __init__(self) -> None:
        """Starts without any connection."""
        self._connections: dict[str, weakref.WeakSet[OpenConnection]] = {}
        self._processes: dict[str, _Process] = {}

    def add(self, server: str, connection: OpenConnection) -> None:
        """Adds a connection that was just opened."""
        self._make_room()
        self._connections.setdefault(server, weakref.WeakSet()).add(connection)
        self._extend(server)

    def record(self, server: str, started_ms: int, asked_s: float) -> None:
        """Records which process answered a question, unless it is older.

        The connections of an earlier one show nothing of it, though they may
        be open for a while yet.

        Args:
            server: The server.
            started_ms: When that process started.
            asked_s: Boot time before the question was sent.
        """
        known = self._processes.get(server)
        if known is None:
            self._make_room()
        elif started_ms == known.started_ms:
            asked_s = max(asked_s, known.alive_s)
        elif started_ms < known.started_ms:
            return
        else:
            self._drop_connections(server, known.alive_s)
        self._processes[server] = _Process(started_ms, asked_s)
        self._extend(server)

    def forget(self, server: str) -> None:
        """Forgets which process a server was."""
        self._processes.pop(server, None)

    def find(self, server: str, since_s: float) -> int | None:
        """Returns when the process started that has lived since a moment.

        None if nothing shows that.
        """
        self._extend(server)
        known = self._processes.get(server)
        if known is None or known.alive_s < since_s:
            return None
        return known.started_ms

    def record_span(self, server: str, opened_s: float, alive_s: float) -> bool:
        """Records that a process that accepted a connection lived later.

        Args:
            server: The server.
            opened_s: Boot time at which the connection was open.
            alive_s: Boot time at which the process lived.

        Returns:
            Whether it is the process that is known.
        """
        known = self._processes.get(server)
        if known is None or opened_s > known.alive_s:
            return False
        alive_s = max(known.alive_s, alive_s)
        self._processes[server] = known._replace(alive_s=alive_s)
        self._extend(server)
        return True

    def find_opened(self, server: str, since_s: float) -> float | None:
        """Returns from when on one process has lived that did at a moment.

        None if nothing has arrived since that moment. The process may be
        another one than the one that is known.
        """
        found: tuple[float, float] | None = None
        for opened_s, heard_s in self._spans(server):
            if found is None or opened_s > found[1]:
                found = opened_s, heard_s
            else:
                found = found[0], max(found[1], heard_s)
        return None if found is None or found[1] < since_s else found[0]

    def has_any(self, server: str) -> bool:
        """Whether any connection is open."""
        return bool(self._spans(server))

    def has_open(self, server: str) -> bool:
        """Whether a connection may soon show that the known process lives."""
        known = self._processes.get(server)
        return known is not None and any(
            opened_s <= known.alive_s <= heard_s
            for opened_s, heard_s in self._spans(server)
        )

    def _make_room(self) -> None:
        """Forgets the servers that were added first, if there are too many."""
        for kept in (self._connections, self._processes):
            while len(kept) >= MAX_SERVERS:
                del kept[next(iter(kept))]

    def _drop_connections(self, server: str, until_s: float) -> None:
        """Drops what was opened until a moment."""
        for connection in list(self._connections.get(server, ())):
            if connection.opened_s is None or connection.opened_s <= until_s:
                self._connections[server].discard(connection)

    def _extend(self, server: str) -> None:
        """Follows the known process by the connections that overlap."""
        known = self._processes.get(server)
        if known is None:
            return
        alive_s = known.alive_s
        for opened_s, heard_s in self._spans(server):
            if opened_s <= alive_s:
                alive_s = max(alive_s, heard_s)
        self._processes[server] = known._replace(alive_s=alive_s)

    def _spans(self, server: str) -> list[tuple[float, float]]:
        """Returns from when to when each open connection shows one process."""
        return sorted(
            (connection.opened_s, heard_s)
            for connection in self._connections.get(server, ())
            if connection.opened_s is not None
            and (heard_s := connection.heard_s()) is not None
        )
