"""Bounds the connections of one listener, and chooses which are closed.

Protects a node from crowds of connections: without descriptors it reaches
neither servers nor the store, and each connection takes memory.
"""

import collections
import time
from collections.abc import Callable
from typing import Protocol

from savorylift.wire.progress import Holder, Phase, behind_first

# A full listener closes up to this part of its connections at once, plus one.
VICTIMS_DIVISOR = 16
# It looks for them no more often than this, as it goes through all connections.
MIN_SEARCH_INTERVAL_S = 0.1


class LimitedConnection(Holder, Protocol):
    """A connection that can be closed for the sake of others."""

    @property
    def address(self) -> str:
        """Address of the host that has opened it."""
        ...

    def abort(self) -> None:
        """Closes it at once."""
        ...


class ConnectionLimit:
    """Keeps the connections of a listener within a number.

    Connections whose caller is behind are closed first, then those that were
    without a request for a while; among these, those of the address with the
    most, and the oldest. No other one is closed: a new one is refused instead.
    """

    def __init__(
        self,
        max_open: int,
        count: Callable[[str], None] = lambda _reason: None,
    ) -> None:
        """Creates a limit without connections.

        Args:
            max_open: Most connections.
            count: Called with the reason for each connection that is closed
                or refused.
        """
        self._max_open = max_open
        self._count = count
        self._opening = 0
        self._open: set[LimitedConnection] = set()
        self._search_at_s = 0.0

    @property
    def size(self) -> int:
        """Number of connections that are open, being opened or closed."""
        return self._opening + len(self._open)

    def begin(self) -> bool:
        """Reserves the place of a connection, if there is one left.

        The caller adds the connection by `add` then.
        """
        if self.size >= self._max_open:
            self._make_room()
        if self.size >= self._max_open:
            self._count("refused")
            return False
        self._opening += 1
        return True

    def add(self, conn: LimitedConnection) -> None:
        """Counts a connection whose place was reserved, until `remove`."""
        self._opening -= 1
        self._open.add(conn)

    def replace(self, old: LimitedConnection, new: LimitedConnection) -> None:
        """Puts a connection in the place of its earlier phase."""
        self._open.discard(old)
        self._open.add(new)

    def remove(self, conn: LimitedConnection) -> None:
        """Counts a connection no more."""
        self._open.discard(conn)

    def _make_room(self) -> None:
        now_s = time.monotonic()
        if now_s < self._search_at_s:
            return
        self._search_at_s = now_s + MIN_SEARCH_INTERVAL_S
        wanted = self._max_open // VICTIMS_DIVISOR + 1
        behind = list(behind_first(self._open))[:wanted]
        idle = self._idle_first(now_s)[: wanted - len(behind)]
        for conn in behind:
            self._close(conn, conn.progress.phase.name.lower())
        for conn in idle:
            self._close(conn, Phase.IDLE.name.lower())

    def _idle_first(self, now_s: float) -> list[LimitedConnection]:
        """Returns those without a request, of the address with most first."""
        counts = collections.Counter(conn.address for conn in self._open)
        idle = [c for c in self._open if c.progress.is_idle(now_s)]
        return sorted(
            idle, key=lambda c: (-counts[c.address], c.progress.since_s)
        )

    def _close(self, conn: LimitedConnection, reason: str) -> None:
        self._count(reason)
        self._open.discard(conn)
        conn.abort()
