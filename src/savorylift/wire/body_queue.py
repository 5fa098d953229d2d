"""The bodies that wait for memory, shared fairly by the teams of their callers.

Answers uploads of one team that want more memory than there is: those of other
teams go before them, and aren't refused for their sake.
"""

import asyncio
import collections
import sys
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.wire import metrics
from savorylift.wire.body_lease import BodyLease


class WaitingBody(NamedTuple):
    """A body that waits for memory.

    Attributes:
        lease: Gets the bytes.
        size: Bytes to take.
        buffered: Bytes of it that the connection's buffers hold meanwhile.
        granted: Whether the lease got them, once that is known; cancelled if
            nobody waits for that any more.
    """

    lease: BodyLease
    size: int
    buffered: int
    granted: asyncio.Future[bool]


class BodyQueue:
    """Bodies that wait, in the order in which they came."""

    def __init__(self, max_bytes: int) -> None:
        """Creates an empty queue.

        Args:
            max_bytes: Most that the buffers of all of them may hold.
        """
        self._max_bytes = max_bytes
        self._bodies: list[WaitingBody] = []
        # Also those that were granted, until they leave.
        self._buffered: dict[WaitingBody, int] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no body waits."""
        return not self._bodies

    def add(
        self, lease: BodyLease, size: int, buffered: int
    ) -> WaitingBody | None:
        """Lets a body wait, unless too much waits already.

        Where bodies of another team fill the queue, the newest of these give
        way to it.

        Args:
            lease: Gets the bytes.
            size: Bytes to take.
            buffered: Bytes that the connection's buffers hold meanwhile.
        """
        while sum(self._buffered.values()) + buffered > self._max_bytes:
            if not self._give_way(lease.team, buffered):
                return None
        granted = asyncio.get_running_loop().create_future()
        body = WaitingBody(lease, size, buffered, granted)
        self._bodies.append(body)
        self._buffered[body] = buffered
        return body

    def next(
        self, held_by_team: Mapping[str, int], max_size: int = sys.maxsize
    ) -> WaitingBody | None:
        """Returns the body to admit next: the first of those who hold least.

        Args:
            held_by_team: Bytes that the bodies of each team have.
            max_size: Size of the largest body to consider.
        """
        return min(
            (
                body
                for body in self._bodies
                if body.size <= max_size and not body.granted.done()
            ),
            key=lambda body: held_by_team.get(body.lease.team, 0),
            default=None,
        )

    def grant(self, body: WaitingBody) -> None:
        """Declares that a body has got its bytes."""
        self._bodies.remove(body)
        body.granted.set_result(True)

    def leave(self, body: WaitingBody) -> bool:
        """Removes a body; returns whether it was still waiting."""
        self._buffered.pop(body, None)
        if body not in self._bodies:
            return False
        self._bodies.remove(body)
        return True

    def _give_way(self, team: str, buffered: int) -> bool:
        """Refuses the newest body of the team that has most in the queue.

        Args:
            team: Team whose body is to be added.
            buffered: Bytes of that body.

        Returns:
            Whether there was one of another team that has more than this one
            would have.
        """
        waiting: collections.Counter[str] = collections.Counter()
        bodies = [body for body in self._bodies if not body.granted.done()]
        for body in bodies:
            waiting[body.lease.team] += body.buffered
        if not waiting:
            return False
        ((most, bytes_of_most),) = waiting.most_common(1)
        if most == team or bytes_of_most <= waiting[team] + buffered:
            return False
        newest = [body for body in bodies if body.lease.team == most][-1]
        self.leave(newest)
        metrics.BODIES_DISPLACED.inc()
        newest.granted.set_result(False)
        return True
