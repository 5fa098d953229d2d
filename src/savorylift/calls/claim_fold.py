"""Which claim holds each key: a fold over one claim stream.

A claim holds its key if, at its place in the log, no other claim does. It
holds until it is voided; one that met a holder stays dead for good. Keys are
kept in buckets by their own time and forgotten with them, after which every
claim on such a key is too old by the log's clock.
"""

from dataclasses import dataclass

import msgspec

from savorylift.calls.key import TIME_SHIFT_BITS, KeyWindow
from savorylift.calls.messages import (
    CLAIM_KIND,
    OUTCOME_KIND,
    VOID_KIND,
    ClaimAnswer,
    ClaimBody,
    ClaimState,
    OutcomeBody,
    VoidBody,
)
from savorylift.identity import NodeRef
from savorylift.log_service.log import LogRecord

BUCKET_MS = 60_000
KEY_BITS = 128
NO_OFFSET = -1


@dataclass(slots=True)
class _Entry:
    """State of one key.

    Attributes:
        holder: Identifier of the claim that holds it, or an empty string.
        claimant: Node that made that claim.
        fingerprint: Hash of the call of that claim.
        outcome_offset: Offset of its outcome, or `NO_OFFSET`.
        is_answered: True if the outcome carries an answer.
        dead: Claims on this key that never hold it (again).
    """

    holder: str = ""
    claimant: NodeRef | None = None
    fingerprint: str = ""
    outcome_offset: int = NO_OFFSET
    is_answered: bool = False
    dead: tuple[str, ...] = ()


class ClaimFold:
    """State of one claim stream; one owner, no locks."""

    def __init__(self, window: KeyWindow) -> None:
        """Starts before the first record, with nothing covered."""
        self._window = window
        self._buckets: dict[int, dict[bytes, _Entry]] = {}
        self._nodes: dict[NodeRef, NodeRef] = {}
        self._now_ms = 0
        self._oldest_bucket = 0
        self._covered_from_ms: int | None = None

    @property
    def keys(self) -> int:
        """Number of remembered keys."""
        return sum(len(bucket) for bucket in self._buckets.values())

    def cover_from(self, time_ms: int | None) -> None:
        """Notes that no record later than `time_ms` has been missed.

        0 stands for the whole stream and None for no knowledge.
        """
        self._covered_from_ms = time_ms

    @property
    def is_covered(self) -> bool:
        """True once it is known from when on all records were read."""
        return self._covered_from_ms is not None

    def apply(self, record: LogRecord) -> None:
        """Applies one record; ignores kinds that it does not know."""
        self._advance(record.time_ms)
        try:
            self._apply(record)
        except msgspec.DecodeError:
            # It may be a claim in a form that only newer nodes know.
            self.cover_from(max(record.time_ms, self._covered_from_ms or 0))

    def find(self, key: bytes, fingerprint: str) -> ClaimAnswer | None:
        """Returns what a new claim on `key` would meet; None for a free key."""
        refused = self._refuse(key)
        if refused is not None:
            return refused
        entry = self._entry(key)
        if entry is None or not entry.holder:
            return None
        return _describe(entry, fingerprint)

    def judge(self, claim_id: str, claim: ClaimBody) -> ClaimAnswer:
        """Returns the verdict on a claim whose record has been applied."""
        refused = self._refuse(claim.key)
        if refused is not None:
            return refused
        entry = self._entry(claim.key)
        if entry is None:
            return ClaimAnswer(ClaimState.TOO_NEW)
        if entry.holder == claim_id:
            return ClaimAnswer(ClaimState.WON)
        if not entry.holder:  # it lost to a claim that was voided since
            return ClaimAnswer(ClaimState.RUNNING)
        return _describe(entry, claim.fingerprint)

    def is_held_by(self, key: bytes, claim_id: str) -> bool:
        """Returns True if exactly this claim holds `key`."""
        entry = self._entry(key)
        return entry is not None and entry.holder == claim_id

    def _apply(self, record: LogRecord) -> None:
        if record.kind == CLAIM_KIND:
            body = msgspec.json.decode(record.body, type=ClaimBody)
            self._apply_claim(record.record_id, body)
        elif record.kind == VOID_KIND:
            void = msgspec.json.decode(record.body, type=VoidBody)
            self._apply_void(void)
        elif record.kind == OUTCOME_KIND:
            outcome = msgspec.json.decode(record.body, type=OutcomeBody)
            self._apply_outcome(outcome, record.offset)

    def _apply_claim(self, claim_id: str, body: ClaimBody) -> None:
        time_ms = key_time_ms(body.key)
        window = self._window
        if window.is_too_old(time_ms, self._now_ms):
            return
        if window.is_too_new(time_ms, self._now_ms):
            return
        entry = self._entry_or_new(body.key)
        if claim_id in entry.dead or claim_id == entry.holder:
            return
        if entry.holder:
            entry.dead = (*entry.dead, claim_id)
            return
        ref = NodeRef(body.vm, body.incarnation)
        entry.holder = claim_id
        entry.claimant = self._nodes.setdefault(ref, ref)
        entry.fingerprint = body.fingerprint

    def _apply_void(self, void: VoidBody) -> None:
        if self._window.is_too_old(key_time_ms(void.key), self._now_ms):
            return
        entry = self._entry_or_new(void.key)
        is_holder = entry.holder == void.claim_id
        if is_holder and entry.outcome_offset != NO_OFFSET:
            return
        if is_holder:
            entry.holder = ""
            entry.claimant = None
        if void.claim_id not in entry.dead:
            entry.dead = (*entry.dead, void.claim_id)

    def _apply_outcome(self, outcome: OutcomeBody, offset: int) -> None:
        entry = self._entry(outcome.key)
        if entry is None or entry.holder != outcome.claim_id:
            return
        if entry.outcome_offset == NO_OFFSET:
            entry.outcome_offset = offset
            entry.is_answered = outcome.status is not None

    def _refuse(self, key: bytes) -> ClaimAnswer | None:
        time_ms = key_time_ms(key)
        if self._window.is_too_old(time_ms, self._now_ms):
            return ClaimAnswer(ClaimState.TOO_OLD)
        covered_ms = self._covered_from_ms
        if covered_ms is None:
            return ClaimAnswer(ClaimState.NOT_READY)
        if covered_ms and time_ms - self._window.skew_ms <= covered_ms:
            return ClaimAnswer(ClaimState.TOO_OLD)  # its claim may be trimmed
        return None

    def _advance(self, time_ms: int) -> None:
        self._now_ms = max(self._now_ms, time_ms)
        oldest = (self._now_ms - self._window.age_ms) // BUCKET_MS
        if oldest == self._oldest_bucket:
            return
        self._oldest_bucket = oldest
        for bucket in [b for b in self._buckets if b < oldest]:
            del self._buckets[bucket]

    def _entry(self, key: bytes) -> _Entry | None:
        bucket = self._buckets.get(key_time_ms(key) // BUCKET_MS)
        return None if bucket is None else bucket.get(key)

    def _entry_or_new(self, key: bytes) -> _Entry:
        bucket = self._buckets.setdefault(key_time_ms(key) // BUCKET_MS, {})
        return bucket.setdefault(key, _Entry())


def key_time_ms(key: bytes) -> int:
    """Returns the wall-clock time in a key of 16 bytes."""
    return int.from_bytes(key[: (KEY_BITS - TIME_SHIFT_BITS) // 8], "big")


def _describe(entry: _Entry, fingerprint: str) -> ClaimAnswer:
    if entry.fingerprint != fingerprint:
        return ClaimAnswer(ClaimState.MISMATCH)
    if entry.outcome_offset == NO_OFFSET:
        state = ClaimState.RUNNING
    elif entry.is_answered:
        state = ClaimState.ANSWERED
    else:
        state = ClaimState.ANSWER_LOST
    vm, incarnation = entry.claimant or ("", "")
    return ClaimAnswer(state, vm, incarnation, entry.outcome_offset)
