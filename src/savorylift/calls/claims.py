"""Claims as the request path makes them, before a call that must not repeat."""

from typing import NamedTuple, Protocol

from returns.result import Result

from savorylift.calls.key import CallKey
from savorylift.calls.request import CallAnswer
from savorylift.outcomes import Refusal


class ClaimRequest(NamedTuple):
    """Asks for the only right to run a call.

    Attributes:
        key: The caller's idempotency key.
        fingerprint: Hash of the call; the same key with another is refused.
        request_id: Request that the claim is for.
        deadline_s: `time.monotonic()` after which the claim is of no use.
    """

    key: CallKey
    fingerprint: str
    request_id: str
    deadline_s: float


class Claim(NamedTuple):
    """The right to run a call; it lasts until it is voided.

    Attributes:
        claim_id: Identifier of the claim's log record.
        key: The key that it holds.
    """

    claim_id: str
    key: CallKey


class ClaimBook(Protocol):
    """Makes, voids and concludes claims on the platform's log."""

    def claim(self, req: ClaimRequest) -> Result[Claim | CallAnswer, Refusal]:
        """Waits for the claim, or returns the recorded answer of its key."""

    def void(self, claim: Claim) -> None:
        """Gives up a claim whose call was certainly not run."""

    def record(self, claim: Claim, answer: CallAnswer | None) -> None:
        """Records the answer, or None for a call whose answer was lost."""
