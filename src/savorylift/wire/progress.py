"""How far the exchange on a connection has come, and whether it behaves.

Protects a node from callers that send or read very slowly, or stop half-way:
only such connections are closed for the sake of others, first those that hold
most for the least progress.
"""

import enum
import time
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

# What a caller must send or read each second, once it has had some time to
# begin: a small part of what the slowest links carry, 5 Mbit/s.
MIN_BYTES_PER_S = 16_384
GRACE_S = 2.0
# Requests that a caller may send before it has the answers of earlier ones.
MAX_AHEAD = 8


class Phase(enum.Enum):
    """What a connection waits for."""

    HANDSHAKE = "the end of its handshake"
    IDLE = "the next request"
    HEAD = "the rest of a head"
    BODY = "the rest of a body"
    SERVED = "this node"
    ANSWER = "its caller to read"
    CLOSING = "its caller to read the rest, and to close"


class Progress:
    """The phase of one connection, and what has passed in it.

    Attributes:
        phase: What it waits for.
        since_s: Monotonic time at which that began.
        moved_bytes: Bytes that have come, or were read, since.
        ahead: Requests, one after another, that each came before the answer of
            the one before could be read.
    """

    __slots__ = ("ahead", "moved_bytes", "phase", "since_s")

    def __init__(self) -> None:
        """Begins with a connection that has received nothing."""
        self.ahead = 0
        self.enter(Phase.IDLE)

    def enter(self, phase: Phase) -> None:
        """Begins a phase."""
        self.phase = phase
        self.since_s = time.monotonic()
        self.moved_bytes = 0

    def count_ahead(self, *, is_ahead: bool) -> None:
        """Counts a request that came before an answer could be read, or not."""
        self.ahead = self.ahead + 1 if is_ahead else 0

    def is_behind(self, now_s: float) -> bool:
        """Whether its caller is slower than any that behaves.

        So is one that sends requests without end and waits for no answer.

        Args:
            now_s: Monotonic time.
        """
        if self.ahead > MAX_AHEAD:
            return True
        if self.phase in (Phase.IDLE, Phase.SERVED):
            return False
        late_s = now_s - self.since_s - GRACE_S
        return late_s > 0 and self.moved_bytes < MIN_BYTES_PER_S * late_s

    def is_idle(self, now_s: float) -> bool:
        """Whether it has been without a request for a while.

        Args:
            now_s: Monotonic time.
        """
        return self.phase is Phase.IDLE and now_s - self.since_s > GRACE_S


class Holder(Protocol):
    """Something that a connection holds, and that others want."""

    @property
    def progress(self) -> Progress:
        """How far the connection has come."""
        ...

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds."""
        ...


HolderT = TypeVar("HolderT", bound=Holder)


def behind_first(holders: Iterable[HolderT]) -> Sequence[HolderT]:
    """Returns those that are behind; most held for least progress first."""
    now_s = time.monotonic()
    found = [h for h in holders if h.progress.is_behind(now_s)]
    return sorted(
        found,
        key=lambda h: h.held_bytes / (1 + h.progress.moved_bytes),
        reverse=True,
    )
