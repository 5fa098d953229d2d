"""What one connection has taken of the memory for bodies."""

from collections.abc import Callable

from savorylift.wire.progress import Progress

# Progress for leases whose connections are never closed for others.
NEVER_BEHIND = Progress()


class BodyLease:
    """What one connection has taken of a budget.

    Attributes:
        small: Bytes of the part for small bodies.
        large: Bytes of the rest.
        progress: How far the connection has come.
        abort: Closes the connection.
        team: Team of its caller; empty if it isn't known, or not yet.
    """

    __slots__ = ("abort", "large", "progress", "small", "team")

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
        self.team = ""

    @property
    def held_bytes(self) -> int:
        """Bytes that it has."""
        return self.small + self.large

    @property
    def is_used(self) -> bool:
        """Whether it has any bytes."""
        return bool(self.small or self.large)
