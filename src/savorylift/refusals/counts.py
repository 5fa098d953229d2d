"""Counts refused requests of one node by minute, team and reason.

Each count has its own key in the store, which keeps the newest record of each
key forever. Writes are therefore idempotent: a write without an answer is
retried, and nodes need no coordination.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from returns.result import Result

from savorylift.exchange.results import Refused
from savorylift.json_input import decode_json
from savorylift.outcomes import Reason

MINUTE_S = 60
KEY_DIGEST_BYTES = 12


class RefusalCount(NamedTuple):
    """Number of requests that a node refused for one reason in one minute.

    The other fields identify the count.

    Attributes:
        minute_s: Unix time at which the minute starts.
        team: Team of the callers; empty if unknown.
        reason: Reason of the refusals.
        status: HTTP status of the refusals.
        node: Name of the node's VM.
        incarnation: Random number that identifies the node's process.
        rule: Rule that caused the refusals; empty without one.
        asked_by: Who asked for the rule.
        requests: Number of refused requests.
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
        """Key in the store: a hash of the fields that identify the count."""
        identity = msgspec.json.encode(self._replace(requests=0))
        return hashlib.blake2b(
            identity, digest_size=KEY_DIGEST_BYTES
        ).hexdigest()

    def encode(self) -> bytes:
        """Encodes the fields as a JSON array, the value of the record."""
        return msgspec.json.encode(self)


def decode_count(value: bytes) -> Result[RefusalCount, str]:
    """Decodes the value of a record, or returns why it is invalid."""
    return decode_json(value, RefusalCount)


class RefusalCounts:
    """Counts of this process, with those that still have to be saved.

    Counts are identified by a `RefusalCount` whose number of requests is 0.
    """

    def __init__(self, node: str, incarnation: int) -> None:
        """Starts with no counts."""
        self._node = node
        self._incarnation = incarnation
        self._counts: dict[RefusalCount, int] = {}
        self._unsaved: set[RefusalCount] = set()

    def add(self, time_s: float, team: str, refused: Refused) -> None:
        """Counts a refusal at a Unix time."""
        count_id = RefusalCount(
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
        self._counts[count_id] = self._counts.get(count_id, 0) + 1
        self._unsaved.add(count_id)

    def unsaved(self) -> tuple[RefusalCount, ...]:
        """Returns the counts that changed since they were last saved."""
        return tuple(
            count_id._replace(requests=self._counts[count_id])
            for count_id in sorted(self._unsaved)
        )

    def mark_saved(self, saved: Iterable[RefusalCount]) -> None:
        """Marks counts as saved, and drops saved ones of earlier minutes."""
        for count in saved:
            count_id = count._replace(requests=0)
            if self._counts.get(count_id) == count.requests:
                self._unsaved.discard(count_id)
        newest_s = max(
            (count_id.minute_s for count_id in self._counts), default=0
        )
        for count_id in list(self._counts):
            if count_id.minute_s < newest_s and count_id not in self._unsaved:
                del self._counts[count_id]
