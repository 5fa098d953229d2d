"""Bounds the memory of all responses that are being read."""

import contextlib
from collections.abc import Iterator


class BufferBudget:
    """Bytes that may be buffered at the same time."""

    def __init__(self, max_bytes: int) -> None:
        """Creates a budget of which nothing is in use."""
        self._free = max_bytes

    @contextlib.contextmanager
    def lease(self) -> Iterator["BufferLease"]:
        """Yields a lease without bytes; frees what it has taken at the end."""
        lease = BufferLease(self)
        try:
            yield lease
        finally:
            self._free += lease.size

    def take(self, size: int) -> bool:
        """Takes bytes; returns whether so many were free."""
        if size > self._free:
            return False
        self._free -= size
        return True


class BufferLease:
    """The bytes that one response has taken.

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
