"""Bounds the memory of all responses that are being read.

It counts whole responses, and the unfinished events of streams.
"""

import contextlib
from collections.abc import Iterator


class BufferBudget:
    """Bytes that may be buffered at the same time."""

    def __init__(self, max_bytes: int) -> None:
        """Creates a budget of which nothing is in use."""
        self._max_bytes = max_bytes
        self._free = max_bytes

    @property
    def in_use(self) -> int:
        """Number of bytes that are taken."""
        return self._max_bytes - self._free

    @contextlib.contextmanager
    def lease(self) -> Iterator["BufferLease"]:
        """Yields a lease without bytes; frees what it has taken at the end."""
        lease = BufferLease(self)
        try:
            yield lease
        finally:
            lease.resize(0)

    def take(self, size: int) -> bool:
        """Takes bytes; returns whether so many were free."""
        if size > self._free:
            return False
        self._free -= size
        return True

    def free(self, size: int) -> None:
        """Gives bytes back."""
        self._free += size


class BufferLease:
    """The bytes that one response has taken.

    Whoever creates one sets its size to 0 at the end.

    Attributes:
        size: Number of bytes taken.
    """

    def __init__(self, budget: BufferBudget) -> None:
        """Creates a lease without bytes."""
        self._budget = budget
        self.size = 0

    def take(self, size: int) -> bool:
        """Takes more bytes; returns whether so many were free."""
        if not self._budget.take(size):
            return False
        self.size += size
        return True

    def resize(self, size: int) -> bool:
        """Takes or frees bytes until it has `size`.

        Returns whether so many were free; if not, it is unchanged.
        """
        if size > self.size:
            return self.take(size - self.size)
        self._budget.free(self.size - size)
        self.size = size
        return True


# Of all responses that the process reads; well below a node's memory.
RESPONSE_BUFFERS = BufferBudget(16_777_216)
