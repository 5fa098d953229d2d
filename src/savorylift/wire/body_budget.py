"""Bounds the memory of all bodies that are held at the same time.

These are the bodies of requests, and what callers have yet to read of answers.
"""

import asyncio
import collections
from collections.abc import Callable

from savorylift.wire.body_lease import BodyLease
from savorylift.wire.body_queue import BodyQueue
from savorylift.wire.progress import behind_first

# Bodies up to this size have a part of the budget for themselves, so that they
# never wait for large ones.
SMALL_BODY_BYTES = 65_536
# The part for small bodies, and that for bytes of bodies that wait, which are
# in the buffers of their connections: the budget divided by this.
RESERVE_DIVISOR = 8
# Most that the buffers of a connection hold of a body that waits: the system's
# and those of `Channel`.
WAITING_BODY_BYTES = 262_144


class BodyBudget:
    """Bytes that the bodies of requests may take together.

    A body is admitted with all bytes that it may still need, so that each one
    that was begun can be read to its end. Of those that wait, bodies of the
    team that holds least go first; those of one team in order.
    """

    def __init__(
        self,
        max_bytes: int,
        *,
        copies: int = 1,
        on_held: Callable[[], None] = lambda: None,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a budget of which nothing is in use.

        Args:
            max_bytes: Size of the budget.
            copies: How often each body is in memory while it is served.
            on_held: Called for each body that waits.
            on_closed: Called for each connection that is closed as its caller
                sends too slowly.
        """
        reserve = max_bytes // RESERVE_DIVISOR
        self._copies = copies
        self._on_held = on_held
        self._on_closed = on_closed
        # Leases with bytes, of connections that may be closed for others.
        self._held: set[BodyLease] = set()
        self._max_large = max_bytes - reserve
        self._large = 0
        self._max_small = reserve
        self._small = 0
        self._max_unread = reserve
        self._queue = BodyQueue(reserve)
        # What ends each answer that its caller reads slowly, oldest first.
        self._unread: dict[BodyLease, Callable[[], None]] = {}
        self._unread_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes in use."""
        return self._small + self._large

    async def take(
        self, lease: BodyLease, size: int, max_wait_s: float
    ) -> bool:
        """Takes bytes for a body; returns whether so many became free.

        A body that is larger than the whole budget is admitted alone.

        Args:
            lease: Gets the bytes.
            size: Size of the body, or of the rest of it.
            max_wait_s: How long to wait for them.
        """
        if self.take_now(lease, size):
            return True
        self._reclaim(size * self._copies)
        if self.take_now(lease, size):
            return True
        buffered = min(size, WAITING_BODY_BYTES)
        body = self._queue.add(lease, size * self._copies, buffered)
        if body is None:
            return False
        # Others wait for more than is free, or gave way to it.
        self._admit_waiting()
        if not body.granted.done():
            self._on_held()
        try:
            async with asyncio.timeout(max_wait_s):
                return await body.granted
        except TimeoutError:
            # It may have been granted meanwhile.
            granted = body.granted
            return not granted.cancelled() and granted.result()
        finally:
            if self._queue.leave(body):
                self._admit_waiting()

    def _reclaim(self, wanted: int) -> None:
        """Closes connections that are behind until enough becomes free."""
        for lease in behind_first(self._held):
            if wanted <= 0:
                return
            wanted -= lease.held_bytes
            self._held.discard(lease)
            self._on_closed()
            lease.abort()

    def take_now(self, lease: BodyLease, size: int) -> bool:
        """Takes bytes that are free; returns whether so many were."""
        needed = size * self._copies
        is_small = size <= SMALL_BODY_BYTES
        if is_small and self._take_small(lease, needed):
            return True
        return self._queue.is_empty and self._take_large(lease, needed)

    def shrink(self, lease: BodyLease, size: int) -> None:
        """Frees what a lease has above the size of its body."""
        needed = size * self._copies
        small = min(lease.small, needed)
        self._free(lease, small, min(lease.large, needed - small))

    def release(self, lease: BodyLease) -> None:
        """Frees all that a lease has."""
        self._held.discard(lease)
        if self._unread.pop(lease, None) is not None:
            self._unread_bytes -= lease.large
        self._free(lease, 0, 0)

    def add_unread(
        self, lease: BodyLease, size: int, cut: Callable[[], None]
    ) -> None:
        """Counts what a caller has yet to read of an answer.

        It is in memory already, so that bodies have to wait for it. While there
        is too much of it, the answers that are unread for longest are cut.

        Args:
            lease: Gets the bytes, until `release`.
            size: Number of bytes.
            cut: Ends the answer.
        """
        self._large += size
        lease.large += size
        self._unread_bytes += size
        self._unread[lease] = cut
        while (
            self._large > self._max_large
            and self._unread_bytes > self._max_unread
        ):
            oldest = next(iter(self._unread))
            cut_oldest = self._unread[oldest]
            self.release(oldest)
            cut_oldest()

    def _free(self, lease: BodyLease, small: int, large: int) -> None:
        """Frees what a lease has above two amounts."""
        if lease.small != small:
            self._small -= lease.small - small
            lease.small = small
            self._admit_waiting_small()
        if lease.large != large:
            self._large -= lease.large - large
            lease.large = large
            self._admit_waiting()

    def _take_large(self, lease: BodyLease, size: int) -> bool:
        taken = min(size, self._max_large)
        if self._large + taken > self._max_large:
            return False
        self._large += taken
        lease.large += taken
        self._held.add(lease)
        return True

    def _take_small(self, lease: BodyLease, size: int) -> bool:
        if self._small + size > self._max_small:
            return False
        self._small += size
        lease.small += size
        self._held.add(lease)
        return True

    def _admit_waiting_small(self) -> None:
        """Admits small bodies; they don't wait for large ones before them."""
        largest = SMALL_BODY_BYTES * self._copies
        while not self._queue.is_empty:
            body = self._queue.find_next(self._held_by_team(), largest)
            if body is None or not self._take_small(body.lease, body.size):
                return
            self._queue.grant(body)

    def _admit_waiting(self) -> None:
        while not self._queue.is_empty:
            body = self._queue.find_next(self._held_by_team())
            if body is None or not self._take_large(body.lease, body.size):
                return
            self._queue.grant(body)

    def _held_by_team(self) -> collections.Counter[str]:
        held: collections.Counter[str] = collections.Counter()
        for lease in self._held:
            held[lease.team] += lease.held_bytes
        return held
