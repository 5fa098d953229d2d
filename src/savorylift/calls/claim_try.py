"""One try at a claim through the nodes that serve its shard.

Plain state: the caller's thread asks the nodes it is told to ask and reports
what came back. Once a try has ended otherwise than won, its claim is never
dispatched, whatever arrives later.
"""

from typing import NamedTuple

from savorylift.calls.messages import ClaimAnswer, ClaimState
from savorylift.outcomes import Ending, Reason, Refusal, not_run

LOG_RETRY_AFTER_S = 5.0
CLAIM_RETRY_AFTER_S = 1.0

_ELSEWHERE = frozenset({ClaimState.NOT_READY, ClaimState.LOG_DOWN})
_OUTSIDE_WINDOW = frozenset({ClaimState.TOO_OLD, ClaimState.TOO_NEW})


class Ask(NamedTuple):
    """Ask the server at this position of the list."""

    server: int


class Won(NamedTuple):
    """The claim holds its key: the call may be dispatched, once."""


class Replay(NamedTuple):
    """The key's call ran before; its outcome is at this offset."""

    outcome_offset: int


class Ended(NamedTuple):
    """The claim will never be dispatched.

    Attributes:
        refusal: What the caller is told.
        needs_void: True if the claim's record may be or come on the log.
    """

    refusal: Refusal
    needs_void: bool


Step = Ask | Won | Replay | Ended


class ClaimTry:
    """Decides which node to ask next and how the try ends."""

    def __init__(self, servers: int) -> None:
        """Begins a try with a choice of `servers` nodes."""
        self._servers = servers
        self._index = 0
        self._is_unsure = False
        self._end: Step | None = None
        self._refusal = not_run(
            Reason.KEEPER_UNREACHABLE,
            "No node that serves the key's shard can be reached.",
            CLAIM_RETRY_AFTER_S,
        )

    def begin(self) -> Step:
        """Returns the first step."""
        return Ask(0) if self._servers else self._finish(self._refusal)

    def on_answer(self, answer: ClaimAnswer, *, is_claimant_gone: bool) -> Step:
        """Takes the verdict of the asked node.

        Args:
            answer: The verdict.
            is_claimant_gone: True if the node that holds the key has ended.
        """
        if self._end is not None:
            return self._end
        state = answer.state
        if state in _ELSEWHERE:
            self._refusal = _unavailable(state)
            return self._next()
        if state == ClaimState.WON:
            self._end = Won()
            return self._end
        if state == ClaimState.ANSWERED:
            self._end = Replay(answer.outcome_offset)
            return self._end
        if state in _OUTSIDE_WINDOW:
            self._is_unsure = True
        return self._finish(_refusal(state, is_claimant_gone=is_claimant_gone))

    def on_fault(self, *, may_have_arrived: bool) -> Step:
        """Takes in that the asked node gave no answer in time."""
        if self._end is not None:
            return self._end
        self._is_unsure = self._is_unsure or may_have_arrived
        return self._next()

    def on_deadline(self) -> Step:
        """Ends the try unless it has ended before."""
        if self._end is not None:
            return self._end
        self._is_unsure = True
        return self._finish(_unsure())

    def _next(self) -> Step:
        self._index += 1
        if self._index < self._servers:
            return Ask(self._index)
        return self._finish(_unsure() if self._is_unsure else self._refusal)

    def _finish(self, refusal: Refusal) -> Step:
        self._end = Ended(refusal, self._is_unsure)
        return self._end


def _unsure() -> Refusal:
    return not_run(
        Reason.CLAIM_UNSURE,
        "The claim was not confirmed in time and has been given up.",
        CLAIM_RETRY_AFTER_S,
    )


def _unavailable(state: ClaimState) -> Refusal:
    if state == ClaimState.NOT_READY:
        return not_run(
            Reason.NODE_STARTING,
            "The nodes that serve the key's shard are not ready.",
            CLAIM_RETRY_AFTER_S,
        )
    return not_run(
        Reason.LOG_UNAVAILABLE,
        "The platform's log is unavailable; this try did not run.",
        LOG_RETRY_AFTER_S,
    )


def _refusal(state: ClaimState, *, is_claimant_gone: bool) -> Refusal:
    """Returns what the caller is told about a key that it doesn't get."""
    if state == ClaimState.MISMATCH:
        return not_run(
            Reason.KEY_MISMATCH, "The key was used for another call."
        )
    if state == ClaimState.TOO_OLD:
        return not_run(Reason.KEY_TOO_OLD, "Idempotency-Key is too old.")
    if state == ClaimState.TOO_NEW:
        return not_run(Reason.KEY_INVALID, "Idempotency-Key is in the future.")
    if state == ClaimState.RUNNING and not is_claimant_gone:
        return Refusal(
            Ending.UNKNOWN,
            Reason.KEY_IN_USE,
            "An earlier try with this key has not ended.",
            CLAIM_RETRY_AFTER_S,
        )
    return Refusal(
        Ending.UNKNOWN,
        Reason.ANSWER_LOST,
        "An earlier try with this key may have run; its answer is lost.",
    )
