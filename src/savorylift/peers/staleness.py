"""Whether this node may be missing an order, and so must refuse new work."""

import collections
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.outcomes import Reason, Refusal, not_run

NEVER_S = float("-inf")
RETRY_AFTER_S = 1.0
MAX_PROOFS = 64
STARTING = not_run(
    Reason.NODE_STARTING,
    "This node has not yet read the configuration.",
    RETRY_AFTER_S,
)
STALE = not_run(
    Reason.NODE_STALE,
    "This node is cut off and may be missing an order.",
    RETRY_AFTER_S,
)


class StalenessOptions(NamedTuple):
    """Options of the staleness rule.

    Attributes:
        stale_after_s: Age at which a proof of the log's tail ends to count.
        heard_within_s: Age at which hearing another node ends to count.
        max_pause_s: Gap between two ticks that counts as a pause.
    """

    stale_after_s: float = 2.0
    heard_within_s: float = 2.0
    max_pause_s: float = 1.0


class TailProof(NamedTuple):
    """Evidence that the log held nothing at or past `next_offset`.

    Attributes:
        sent_s: Monotonic time at which this node sent the question whose
            answer carried the proof, less the age that the answer stated.
        next_offset: The log's tail at some moment after `sent_s`.
    """

    sent_s: float
    next_offset: int


class StalenessView(NamedTuple):
    """What request threads judge by; never changed in place.

    Attributes:
        cfg: Options of the rule.
        tick_s: When the view was made.
        proven_s: Time of the newest proof whose records are all in force.
        majority_s: A majority of the roster was heard at or after this time
            and none of it knows a record that is not in force here.
        is_started: True once new work was allowed.
        is_ended: True if the roster says that this incarnation has ended.
    """

    cfg: StalenessOptions
    tick_s: float = NEVER_S
    proven_s: float = NEVER_S
    majority_s: float = NEVER_S
    is_started: bool = False
    is_ended: bool = False

    def is_proven(self, now_s: float) -> bool:
        """Returns True if a proof of the log's tail is recent enough."""
        return now_s - self.proven_s < self.cfg.stale_after_s

    def hears_majority(self, now_s: float) -> bool:
        """Returns True if most nodes are heard and know no more than this."""
        return now_s - self.majority_s < self.cfg.heard_within_s

    def was_paused(self, now_s: float) -> bool:
        """Returns True if no tick has run for longer than a pause."""
        return now_s - self.tick_s >= self.cfg.max_pause_s

    def allows(self, now_s: float) -> bool:
        """Returns True if new work may be dispatched at `now_s`."""
        if self.is_ended or self.was_paused(now_s):
            return False
        return self.is_proven(now_s) or self.hears_majority(now_s)


class Staleness:
    """Collects proofs and times of hearing; plain state of one owner."""

    def __init__(self, cfg: StalenessOptions) -> None:
        """Starts with no proof and no answer of a node."""
        self._cfg = cfg
        self._proofs: collections.deque[TailProof] = collections.deque(
            maxlen=MAX_PROOFS
        )
        self._tick_s = time.monotonic()
        self._floor_s = NEVER_S
        self._is_started = False

    def newest_proof(self) -> TailProof | None:
        """Returns the newest proof, to be sent to peers with its age."""
        return self._proofs[-1] if self._proofs else None

    def add_proof(self, proof: TailProof) -> bool:
        """Takes in a proof; returns True if it is the newest so far."""
        newest = self.newest_proof()
        if newest is not None and proof.sent_s <= newest.sent_s:
            return False
        self._proofs.append(proof)
        return True

    def tick(
        self,
        offset: int,
        newest_offset: int,
        heard_s: Iterable[float],
        quorum: int,
        *,
        is_ended: bool = False,
    ) -> StalenessView:
        """Returns the view for now; called a few times a second.

        Args:
            offset: Newest log offset in force on this node.
            newest_offset: Highest offset that any node is known to have.
            heard_s: Times at which members of the roster were last heard.
            quorum: Members that make a majority, less one if this node is
                a member; negative if there is no roster.
            is_ended: True if the roster says that this incarnation ended.
        """
        now_s = time.monotonic()
        if now_s - self._tick_s >= self._cfg.max_pause_s:
            self._floor_s = now_s
        self._tick_s = now_s
        view = StalenessView(
            cfg=self._cfg,
            tick_s=now_s,
            proven_s=self._proven_s(offset),
            majority_s=self._majority_s(
                heard_s,
                quorum,
                is_behind=self._is_behind(offset, newest_offset),
            ),
            is_started=self._is_started,
            is_ended=is_ended,
        )
        self._is_started = self._is_started or view.allows(now_s)
        return view._replace(is_started=self._is_started)

    def _proven_s(self, offset: int) -> float:
        for proof in reversed(self._proofs):
            if proof.next_offset <= offset + 1:
                return (
                    proof.sent_s if proof.sent_s >= self._floor_s else NEVER_S
                )
        return NEVER_S

    def _is_behind(self, offset: int, newest_offset: int) -> bool:
        newest = self.newest_proof()
        tail = newest.next_offset - 1 if newest is not None else -1
        return offset < max(newest_offset, tail)

    def _majority_s(
        self, heard_s: Iterable[float], quorum: int, *, is_behind: bool
    ) -> float:
        if is_behind or quorum < 0:
            return NEVER_S
        if quorum == 0:
            return self._tick_s
        times = sorted((t for t in heard_s if t >= self._floor_s), reverse=True)
        return times[quorum - 1] if len(times) >= quorum else NEVER_S


class DispatchGuard:
    """The last check before new work is dispatched; any thread.

    It reads the published view and the clock alone, so it notices a pause
    of the process even if no other thread has run since.
    """

    def __init__(
        self,
        cfg: StalenessOptions,
        on_refusal: Callable[[Reason], None] | None = None,
    ) -> None:
        """Refuses until the first view is published."""
        self._view = StalenessView(cfg)
        self._on_refusal = on_refusal

    def view(self) -> StalenessView:
        """Returns the newest view."""
        return self._view

    def publish(self, view: StalenessView) -> None:
        """Puts a new view in force."""
        self._view = view

    def may_dispatch(self) -> Result[None, Refusal]:
        """Returns a refusal if this node may be missing an order."""
        view = self._view
        if view.allows(time.monotonic()):
            return Success(None)
        is_starting = not view.is_started and not view.is_ended
        refusal = STARTING if is_starting else STALE
        if self._on_refusal is not None:
            self._on_refusal(refusal.reason)
        return Failure(refusal)
