"""Bounds the memory of all bodies that are held at the same time.

These are the bodies of requests, and what callers have yet to read of answers.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from savorylift.wire.progress import Progress, behind_first

# Bodies up to this size have a part of the budget for themselves, so that they
# never wait for large ones.
SMALL_BODY_BYTES = 65_536
# The part for small bodies, and that for bytes of bodies that wait, which are
# in the buffers of their connections: the budget divided by this.
RESERVE_DIVISOR = 8
# Most that the buffers of a connection hold of a body that waits: the system's
# and those of `Channel`.
WAITING_BODY_BYTES = 262_144
# Progress for leases whose connections are never closed for others.
NEVER_BEHIND = Progress()


class BodyLease:
    """What one connection has taken of a budget.

    Attributes:
        small: Bytes of the part for small bodies.
        large: Bytes of the rest.
        progress: How far the connection has come.
        abort: Closes the connection.
    """

    __slots__ = ("abort", "large", "progress", "small")

    def __init__(
        self,
        progress: Progress = NEVER_BEHIND,
        abort: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a lease without bytes.

        Args:
            progress: How far the connection has come.
            abort: Closes the connection.
        """
        self.small = 0
        self.large = 0
        self.progress = progress
        self.abort = abort

    @property
    def held_bytes(self) -> int:
        """Bytes that it has."""
        return self.small + self.large

    @property
    def is_used(self) -> bool:
        """Whether it has any bytes."""
        return bool(self.small or self.large)


class _Waiter(NamedTuple):
    """A body that waits.

    Attributes:
        lease: Gets the bytes.
        size: Bytes to take.
        granted: Done once the lease has them.
    """

    lease: BodyLease
    size: int
    granted: asyncio.Future[None]


class BodyBudget:
    """Bytes that the bodies of requests may take together.

    A body is admitted with all bytes that it may still need, so that each one
    that was begun can be read to its end. Large ones are admitted in order.
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
        self._max_waiting = reserve
        self._max_unread = reserve
        self._waiting = 0
        self._queue: deque[_Waiter] = deque()
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
        if self._waiting + buffered > self._max_waiting:
            return False
        self._on_held()
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(lease, size * self._copies, granted)
        self._queue.append(waiter)
        self._waiting += buffered
        try:
            async with asyncio.timeout(max_wait_s):
                await granted
        except TimeoutError:
            pass
        finally:
            self._waiting -= buffered
            if waiter in self._queue:
                self._queue.remove(waiter)
                self._admit_waiting()
        return granted.done() and not granted.cancelled()

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
        return not self._queue and self._take_large(lease, needed)

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
        for waiter in self._queue:
            is_small = waiter.size <= SMALL_BODY_BYTES * self._copies
            if not is_small or waiter.granted.done():
                continue
            if not self._take_small(waiter.lease, waiter.size):
                return
            waiter.granted.set_result(None)

    def _admit_waiting(self) -> None:
        while self._queue:
            waiter = self._queue[0]
            if not waiter.granted.done():
                if not self._take_large(waiter.lease, waiter.size):
                    return
                waiter.granted.set_result(None)
            self._queue.popleft()
