"""Possible results of a request, at one backend server and for the caller."""

from typing import NamedTuple

from savorylift.exchange.request import AnswerHead
from savorylift.outcomes import Ending, Reason

# Statuses after which the request may have been run.
UNKNOWN_ENDING_STATUSES = frozenset({500, 502, 504})
FIRST_ERROR_STATUS = 400


def ending_of_status(status: int) -> Ending:
    """Returns what a final status tells about the effect of the request."""
    if status in UNKNOWN_ENDING_STATUSES:
        return Ending.UNKNOWN
    if status < FIRST_ERROR_STATUS:
        # The response had started and was cut off.
        return Ending.FAILED
    return Ending.NOT_RUN


class Answered(NamedTuple):
    """A complete response from a backend server.

    Attributes:
        head: Head of the response.
        body: Body of the response.
    """

    head: AnswerHead
    body: bytes


class NotRun(NamedTuple):
    """The backend server certainly did not run the request.

    Attributes:
        reason: Why it did not run.
        detail: Explanation for logs.
        reached_server: Whether the server received the request and rejected
            it.
    """

    reason: Reason
    detail: str
    reached_server: bool


class Unsure(NamedTuple):
    """The backend server may have run the request.

    Attributes:
        reason: Why there is no complete response.
        detail: Explanation for logs.
    """

    reason: Reason
    detail: str


class Broken(NamedTuple):
    """A generation that ended early and can't be resumed.

    Attributes:
        reason: Why it ended.
        detail: Explanation for logs.
    """

    reason: Reason
    detail: str


class Refused(NamedTuple):
    """A final response made by this system, not by a backend server.

    Attributes:
        status: Status code.
        reason: Stable code for metrics and logs.
        message: Explanation for the caller, in one sentence.
        retry_after_s: Delay before a retry; None if a retry would not help.
        rule: Operator rule that caused the refusal, if any.
        asked_by: Who requested that rule.
    """

    status: int
    reason: Reason
    message: str
    retry_after_s: float | None = None
    rule: str | None = None
    asked_by: str | None = None

    @property
    def ending(self) -> Ending:
        """What is known of the effect of the request."""
        return ending_of_status(self.status)


SendResult = Answered | NotRun | Unsure
