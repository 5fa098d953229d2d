"""One claim stream as a node serves it: groups, read-back and verdicts.

Plain state without threads or sockets; its owner feeds it pages of the
stream and results of appends, and sends out the groups and replies it gives.
"""

import itertools
import math
import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from savorylift.calls.claim_fold import ClaimFold
from savorylift.calls.key import KeyWindow
from savorylift.calls.messages import (
    MARK_KIND,
    ClaimAnswer,
    ClaimAsk,
    ClaimState,
    claim_entry,
)
from savorylift.identity import new_id
from savorylift.log_service.log import LogEntry, LogFault, LogPage

GROUP_RECORDS = 200
MAX_WAITING = 5_000
MAX_CONCLUSIONS = 20_000
APPEND_RETRY_S = 0.25
TAIL_STALE_S = 2.0
MARK_INTERVAL_S = 600.0

Reply = Callable[[ClaimAnswer], None]
Done = Callable[[bool], None]


class _Waiting(NamedTuple):
    """A claim without a verdict.

    Attributes:
        ask: What was asked for.
        reply: Takes the verdict.
        until_s: `time.monotonic()` after which the asking node has given up.
        retry_s: When to append again; None while nothing was appended.
    """

    ask: ClaimAsk
    reply: Reply
    until_s: float
    retry_s: float | None


class _Conclusion(NamedTuple):
    """A void or an outcome that is not known to be on the log."""

    entry: LogEntry
    done: Done


class ClaimShard:
    """State of one shard on one node."""

    def __init__(self, window: KeyWindow) -> None:
        """Starts before the first record of the stream."""
        self._fold = ClaimFold(window)
        self._next_offset = 0
        self._is_caught_up = False
        self._proof_s: float | None = None
        self._has_read_fault = False
        self._record_s = time.monotonic()
        self._waiting: dict[str, _Waiting] = {}
        self._conclusions: dict[str, _Conclusion] = {}
        self._conclude_after_s = 0.0
        self._in_flight: tuple[LogEntry, ...] = ()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def keys(self) -> int:
        """Number of remembered keys."""
        return self._fold.keys

    def start_at(self, offset: int) -> None:
        """Skips the records before `offset`; for use before the first page."""
        self._next_offset = offset

    def submit(self, ask: ClaimAsk, reply: Reply) -> None:
        """Takes a claim on, or replies at once if its fate is known."""
        known = self._known(ask)
        if known is not None:
            reply(known)
            return
        until_s = time.monotonic() + ask.wait_ms / 1000
        old = self._waiting.get(ask.claim_id)
        retry_s = old.retry_s if old else None
        self._waiting[ask.claim_id] = _Waiting(ask, reply, until_s, retry_s)

    def conclude(self, entry: LogEntry, done: Done) -> None:
        """Takes on a void or an outcome; `done` learns if it was appended."""
        if len(self._conclusions) >= MAX_CONCLUSIONS:
            done(False)
            return
        self._conclusions[entry.record_id] = _Conclusion(entry, done)

    def take_group(self) -> tuple[LogEntry, ...]:
        """Returns the next records to append; none while some are on the way.

        Every group handed out needs one call of `note_appended`.
        """
        if self._in_flight or not self._is_caught_up:
            return ()
        self._drop_expired()
        entries = [*self._due_conclusions(), *self._due_claims()]
        if not entries and self._needs_mark():
            self._record_s = time.monotonic()
            entries = [LogEntry(new_id("mark"), MARK_KIND, "[]")]
        self._in_flight = tuple(entries[:GROUP_RECORDS])
        return self._in_flight

    def note_appended(self, result: Result[int, LogFault]) -> None:
        """Takes in how the append of the last group ended."""
        group, self._in_flight = self._in_flight, ()
        if isinstance(result, Success):
            self._note_applied(group)
            return
        retry_s = time.monotonic() + APPEND_RETRY_S
        self._conclude_after_s = retry_s
        for entry in group:
            waiting = self._waiting.get(entry.record_id)
            if waiting is None:
                continue
            may_be_there = waiting.retry_s is not None
            if may_be_there or result.failure().may_have_applied:
                again = waiting._replace(retry_s=retry_s)
                self._waiting[entry.record_id] = again
            else:
                del self._waiting[entry.record_id]
                waiting.reply(ClaimAnswer(ClaimState.LOG_DOWN))

    def note_page(self, page: LogPage, asked_s: float) -> None:
        """Applies a page that was asked for at `asked_s`, and replies."""
        self._proof_s = asked_s
        self._has_read_fault = False
        self._cover(page)
        for record in page.records:
            if record.offset >= self._next_offset:
                self._fold.apply(record)
                self._next_offset = record.offset + 1
                self._record_s = time.monotonic()
        self._next_offset = max(self._next_offset, page.first_offset)
        if self._next_offset >= page.next_offset:
            self._is_caught_up = True
        for record in page.records:
            self._settle(record.record_id)
            self._reply_to(record.record_id)

    def note_read_fault(self) -> None:
        """Takes in that a read of the stream failed."""
        self._has_read_fault = True
        self._proof_s = None

    def _note_applied(self, group: tuple[LogEntry, ...]) -> None:
        for entry in group:
            self._settle(entry.record_id)
            waiting = self._waiting.get(entry.record_id)
            if waiting is not None:
                self._waiting[entry.record_id] = waiting._replace(
                    retry_s=math.inf
                )

    def abandon(self) -> None:
        """Hands conclusions back; claims are left to their own timeouts."""
        for conclusion in self._conclusions.values():
            conclusion.done(False)
        self._conclusions.clear()

    def _known(self, ask: ClaimAsk) -> ClaimAnswer | None:
        if self._is_log_down():
            return ClaimAnswer(ClaimState.LOG_DOWN)
        if self._proof_s is None or not self._is_caught_up:
            return ClaimAnswer(ClaimState.NOT_READY)
        if len(self._waiting) >= MAX_WAITING:
            return ClaimAnswer(ClaimState.NOT_READY)
        if self._fold.is_held_by(ask.claim.key, ask.claim_id):
            return self._fold.judge(ask.claim_id, ask.claim)
        return self._fold.find(ask.claim.key, ask.claim.fingerprint)

    def _is_log_down(self) -> bool:
        if self._proof_s is None:
            return self._has_read_fault
        return time.monotonic() - self._proof_s > TAIL_STALE_S

    def _settle(self, record_id: str) -> None:
        conclusion = self._conclusions.pop(record_id, None)
        if conclusion is not None:
            conclusion.done(True)

    def _reply_to(self, record_id: str) -> None:
        waiting = self._waiting.pop(record_id, None)
        if waiting is not None:
            ask = waiting.ask
            waiting.reply(self._fold.judge(ask.claim_id, ask.claim))

    def _cover(self, page: LogPage) -> None:
        """Notes from when on this reader has missed no record."""
        has_gap = page.first_offset > self._next_offset
        if not has_gap and self._fold.is_covered:
            return
        if not has_gap and self._next_offset == 0:
            self._fold.cover_from(0)
        elif page.records:
            self._fold.cover_from(page.records[0].time_ms)
        else:
            self._fold.cover_from(None)

    def _due_conclusions(self) -> list[LogEntry]:
        if time.monotonic() < self._conclude_after_s:
            return []
        due = itertools.islice(self._conclusions.values(), GROUP_RECORDS // 2)
        return [conclusion.entry for conclusion in due]

    def _due_claims(self) -> list[LogEntry]:
        now_s = time.monotonic()
        return [
            claim_entry(claim_id, waiting.ask.claim)
            for claim_id, waiting in self._waiting.items()
            if waiting.retry_s is None or waiting.retry_s <= now_s
        ][:GROUP_RECORDS]

    def _drop_expired(self) -> None:
        now_s = time.monotonic()
        expired = [
            claim_id
            for claim_id, waiting in self._waiting.items()
            if waiting.until_s <= now_s
        ]
        for claim_id in expired:
            del self._waiting[claim_id]

    def _needs_mark(self) -> bool:
        """Returns True if a reader that starts now could cover no key."""
        if not self._fold.is_covered:
            return True
        return time.monotonic() - self._record_s > MARK_INTERVAL_S
