"""Refused requests of one node, counted by minute, team and reason.

Each count has a key of its own in the store, which keeps the newest record
of a key for ever. So writing a count again changes nothing, a write whose
answer was lost is simply repeated, and no node waits for another.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.exchange.ending import Refused
from savorylift.outcomes import Reason

MINUTE_S = 60
KEY_BYTES = 12


class Count(NamedTuple):
    """Requests that one node refused alike within a minute.

    Attributes:
        minute_s: Unix time of the minute's start.
        team: Team of the callers; empty if unknown.
        reason: Why they were refused.
        status: Status that they got.
        node: Name of the VM.
        incarnation: The VM's process.
        rule: Rule that caused it; empty without one.
        asked_by: Who asked for that rule.
        requests: How many.
    """

    minute_s: int
    team: str
    reason: Reason
    status: int
    node: str
    incarnation: int
    rule: str
    asked_by: str
    requests: int

    @property
    def key(self) -> str:
        """Key of the count in the store, the same however often written."""
        identity = msgspec.json.encode(self._replace(requests=0))
        return hashlib.blake2b(identity, digest_size=KEY_BYTES).hexdigest()

    def encode(self) -> bytes:
        """Returns the record's value: the fields in order."""
        return msgspec.json.encode(self)


def decode_count(value: bytes) -> Result[Count, str]:
    """Returns the count in a record, or what is wrong with it."""
    try:
        return Success(msgspec.json.decode(value, type=Count))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(str(exc))


class RefusalCounts:
    """The counts of this process, and which are not in the store yet."""

    def __init__(self, node: str, incarnation: int) -> None:
        """Starts without refusals."""
        self._node = node
        self._incarnation = incarnation
        self._counts: dict[Count, int] = {}
        self._unsaved: set[Count] = set()

    def add(self, time_s: float, team: str, refused: Refused) -> None:
        """Counts one refusal."""
        line = Count(
            minute_s=int(time_s) // MINUTE_S * MINUTE_S,
            team=team,
            reason=refused.reason,
            status=refused.status,
            node=self._node,
            incarnation=self._incarnation,
            rule=refused.rule or "",
            asked_by=refused.asked_by or "",
            requests=0,
        )
        self._counts[line] = self._counts.get(line, 0) + 1
        self._unsaved.add(line)

    def unsaved(self) -> tuple[Count, ...]:
        """Returns the counts that changed since they were last saved."""
        return tuple(
            line._replace(requests=self._counts[line])
            for line in sorted(self._unsaved)
        )

    def note_saved(self, saved: Iterable[Count]) -> None:
        """Notes what the store has; older minutes are then forgotten."""
        for count in saved:
            line = count._replace(requests=0)
            if self._counts.get(line) == count.requests:
                self._unsaved.discard(line)
        newest_s = max((line.minute_s for line in self._counts), default=0)
        for line in list(self._counts):
            if line.minute_s < newest_s and line not in self._unsaved:
                del self._counts[line]
