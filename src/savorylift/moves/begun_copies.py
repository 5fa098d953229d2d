"""Copies that have begun, and what they take of links and of engines' room."""

import time
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from savorylift.fleet.move_messages import MoveRequest
from savorylift.moves.move_order import PlannedMove

# A copy has ended by then, whatever is heard: its engine has stopped.
MAX_COPY_S = 2.5
# A copy that takes longer than planned holds its links until it is known to
# have ended.
OVERDUE_S = 0.05
# The run that was copied counts at its new engine by then.
SETTLE_S = 0.5
# Nodes may announce a move for this long after it has ended.
STALE_S = 3.0


class MoveKey(NamedTuple):
    """Identifies a request for a turn.

    Attributes:
        ip: Address of the node that asked.
        number: Number of the request among those of the node.
    """

    ip: str
    number: int


class BegunCopy(NamedTuple):
    """A copy that has begun.

    Attributes:
        req: The request for its turn.
        destination_id: Engine that the run is copied to.
        begun_s: Monotonic time at which it began.
        ends_s: Monotonic time at which it should end.
    """

    req: MoveRequest
    destination_id: str
    begun_s: float
    ends_s: float


class _TakenRoom(NamedTuple):
    """Room for one run.

    Attributes:
        server_id: Engine.
        tokens: Tokens that the run is expected to reach.
    """

    server_id: str
    tokens: int


class _Arrival(NamedTuple):
    """A run that is copied, and where to.

    Attributes:
        attempt_id: The caller's ID for the run.
        destination_id: Engine that it is copied to.
    """

    attempt_id: str
    destination_id: str


class _Settling(NamedTuple):
    """A run that was copied and doesn't count at its new engine yet.

    Attributes:
        taken: Room that it takes there.
        until_s: Monotonic time from which it counts there.
    """

    taken: _TakenRoom
    until_s: float


class BegunCopies:
    """The copies off the engines of a service that have begun."""

    def __init__(self) -> None:
        """Starts without copies."""
        self._copies: dict[MoveKey, BegunCopy] = {}
        self._settling: list[_Settling] = []
        # Copies that count at their destinations in what nodes say of loads.
        self._reported: frozenset[_Arrival] = frozenset()
        # Monotonic time at which copies of these runs ended.
        self._ended_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of copies."""
        return len(self._copies)

    def find(self, key: MoveKey) -> BegunCopy | None:
        """Returns the copy that has begun for a request."""
        return self._copies.get(key)

    def begin(
        self,
        key: MoveKey,
        req: MoveRequest,
        destination_id: str,
        takes_s: float,
    ) -> None:
        """Records a copy that begins now.

        Args:
            key: The request for its turn.
            req: The same, with what it asks for.
            destination_id: Engine that the run is copied to.
            takes_s: Time that it should take.
        """
        now_s = time.monotonic()
        ends_s = now_s + takes_s
        self._copies[key] = BegunCopy(req, destination_id, now_s, ends_s)

    def end(self, key: MoveKey, moved_to: str | None) -> None:
        """Records the end of a copy.

        Args:
            key: The request for its turn.
            moved_to: Engine at which the run goes on; None if it wasn't moved.
        """
        copy = self._copies.pop(key, None)
        if copy is None:
            return
        now_s = time.monotonic()
        self._ended_s[copy.req.attempt_id] = now_s
        if moved_to is not None:
            taken = _TakenRoom(moved_to, copy.req.expected_tokens)
            self._settling.append(_Settling(taken, now_s + SETTLE_S))

    def drop_old(self, live: Collection[str]) -> None:
        """Ends the copies of nodes not in `live`, and those that are over."""
        now_s = time.monotonic()
        self._settling = [s for s in self._settling if s.until_s > now_s]
        self._ended_s = {
            attempt_id: ended_s
            for attempt_id, ended_s in self._ended_s.items()
            if now_s - ended_s < STALE_S
        }
        gone = [
            key
            for key, copy in self._copies.items()
            if key.ip not in live or now_s - copy.begun_s > MAX_COPY_S
        ]
        for key in gone:
            self.end(key, None)

    def note_announced(self, announced: Iterable[PlannedMove]) -> None:
        """Notes which copies nodes' loads include.

        A node counts a copy that it announces among its load at the
        destination; both are in the same message.
        """
        self._reported = frozenset(
            _Arrival(move.attempt_id, move.destination)
            for move in announced
            if move.destination
        )

    def tokens(self) -> dict[str, int]:
        """Returns the tokens that the copies take besides loads, by engine."""
        totals: dict[str, int] = {}
        for taken in self._taken():
            known = totals.get(taken.server_id, 0)
            totals[taken.server_id] = known + taken.tokens
        return totals

    def places(self) -> dict[str, int]:
        """Returns the places that the copies take besides loads, by engine."""
        totals: dict[str, int] = {}
        for taken in self._taken():
            totals[taken.server_id] = totals.get(taken.server_id, 0) + 1
        return totals

    def busy_s(self, announced: Iterable[PlannedMove]) -> dict[str, float]:
        """Returns for how long engines' links should be in use.

        Args:
            announced: Moves that nodes have announced. Those without a turn
                from here count as well: their nodes order them by themselves.
        """
        now_s = time.monotonic()
        busy_s: dict[str, float] = {}
        known = set(self._ended_s)
        for copy in self._copies.values():
            known.add(copy.req.attempt_id)
            left_s = max(copy.ends_s - now_s, OVERDUE_S)
            busy_s[copy.req.server_id] = left_s
            busy_s[copy.destination_id] = left_s
        for move in announced:
            if move.destination and move.attempt_id not in known:
                busy_s.setdefault(move.server_id, OVERDUE_S)
                busy_s.setdefault(move.destination, OVERDUE_S)
        return busy_s

    def _taken(self) -> Iterator[_TakenRoom]:
        for req, destination_id, *_ in self._copies.values():
            arrival = _Arrival(req.attempt_id, destination_id)
            if arrival not in self._reported:
                yield _TakenRoom(destination_id, req.expected_tokens)
        for settling in self._settling:
            yield settling.taken
