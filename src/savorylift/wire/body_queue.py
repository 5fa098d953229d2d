"""The bodies that wait for memory, shared fairly by the teams of their callers.

A team whose uploads want more memory than there is doesn't delay the others:
their bodies are admitted first, and aren't refused because its bodies fill the
queue.
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
        # Bodies whose bytes are in connections' buffers: those that wait, and
        # those that were granted, until they leave.
        self._buffered: set[WaitingBody] = set()

    @property
    def is_empty(self) -> bool:
        """Whether no body waits."""
        return not self._bodies

    def add(
        self, lease: BodyLease, size: int, buffered: int
    ) -> WaitingBody | None:
        """Lets a body wait, unless too much waits already.

        Where bodies of another team fill the queue, the newest of these are
        refused in its favour.

        Args:
            lease: Gets the bytes.
            size: Bytes to take.
            buffered: Bytes that the connection's buffers hold meanwhile.

        Returns:
            The body that waits; None if there is no room for it.
        """
        while self._buffered_bytes + buffered > self._max_bytes:
            if not self._displace_newest(lease.team, buffered):
                return None
        granted = asyncio.get_running_loop().create_future()
        body = WaitingBody(lease, size, buffered, granted)
        self._bodies.append(body)
        self._buffered.add(body)
        return body

    def find_next(
        self, held_by_team: Mapping[str, int], max_size: int = sys.maxsize
    ) -> WaitingBody | None:
        """Returns the body to admit next: the oldest of the team with least.

        Args:
            held_by_team: Bytes that admitted bodies of each team hold.
            max_size: Size in bytes of the largest body to consider.
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
        self._buffered.discard(body)
        if body not in self._bodies:
            return False
        self._bodies.remove(body)
        return True

    @property
    def _buffered_bytes(self) -> int:
        return sum(body.buffered for body in self._buffered)

    def _displace_newest(self, team: str, buffered: int) -> bool:
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
