"""How sending a request to one backend server can end."""

from typing import NamedTuple

from savorylift.exchange.request import AnswerHead
from savorylift.outcomes import Ending, Reason

# Statuses that don't say whether the request ran.
UNSURE_STATUSES = frozenset({500, 502, 504})
FIRST_FAILURE = 400


def ending_of(status: int) -> Ending:
    """Returns what an own answer's status says of a request's effect."""
    if status in UNSURE_STATUSES:
        return Ending.UNKNOWN
    if status < FIRST_FAILURE:
        # The answer had begun and was cut.
        return Ending.FAILED
    return Ending.NOT_RUN


class Answered(NamedTuple):
    """A whole answer.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: AnswerHead
    body: bytes


class NotRun(NamedTuple):
    """The server certainly didn't run it.

    Attributes:
        reason: Why.
        detail: For logs.
        has_arrived: Whether the server got the request and rejected it.
    """

    reason: Reason
    detail: str
    has_arrived: bool


class Unsure(NamedTuple):
    """The server may have run it.

    Attributes:
        reason: Why there is no answer.
        detail: For logs.
    """

    reason: Reason
    detail: str


class Broken(NamedTuple):
    """A generation that ended early and has nowhere to go on.

    Attributes:
        reason: Why.
        detail: For logs.
    """

    reason: Reason
    detail: str


class Refused(NamedTuple):
    """A final answer of the system's own.

    Attributes:
        status: Status code.
        reason: Stable code for counters and logs.
        message: One plain sentence for the caller.
        retry_after_s: When to come back, if that may help.
        rule: The rule that caused it, if one did.
        asked_by: Who asked for that rule.
    """

    status: int
    reason: Reason
    message: str
    retry_after_s: float | None = None
    rule: str | None = None
    asked_by: str | None = None

    @property
    def ending(self) -> Ending:
        """What is known of the request's effect."""
        return ending_of(self.status)


SendEnding = Answered | NotRun | Unsure
