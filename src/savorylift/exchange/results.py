"""Possible results of a request, at one backend server and for the caller."""

import enum
from typing import NamedTuple

from savorylift.exchange.request import AnswerHead
from savorylift.outcomes import Ending, Reason

# Statuses after which the request may have been run.
UNKNOWN_ENDING_STATUSES = frozenset({500, 502, 504})
FIRST_ERROR_STATUS = 400
# When callers may return that no server is there for.
NO_SERVER_RETRY_AFTER_S = 0.5


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


class Obstacle(enum.StrEnum):
    """What kept a stream from going on at a backend server.

    Attributes:
        NO_PERMIT: The limit of the server left none for the stream.
        NOT_ASKED: Its process isn't known: a limit or a hold left no question.
        SILENT: Its process isn't known: it didn't answer.
        OTHER: It is another process than that of its entry.
        UNNAMED: Its process isn't known: it, or its entry, names no start.
    """

    NO_PERMIT = "no_permit"
    NOT_ASKED = "process_not_asked"
    SILENT = "process_silent"
    OTHER = "process_other"
    UNNAMED = "process_unnamed"


class Doubt(enum.StrEnum):
    """Why it isn't known which software version began a stream.

    Attributes:
        UNKNOWN: No node knows where it began, and versions differ.
        UNCERTAIN: Not known yet which process began it.
        STARTED: No node knows, and this one has just started.
        RESTARTED: No node knows, and a server has started again lately.
        NOT_ASKED: No node knows, and a server couldn't be asked.
        SILENT: No node knows, and a server didn't answer.
        OTHER: No node knows, and a server is another process than its entry's.
        READ: No node knows, and an entry of another version has been read.
        UNREAD: No node knows, and the store can't be asked for the versions.
    """

    UNKNOWN = "origin_unknown"
    UNCERTAIN = "origin_uncertain"
    STARTED = "node_started"
    RESTARTED = "server_restarted"
    NOT_ASKED = "server_not_asked"
    SILENT = "server_silent"
    OTHER = "server_other"
    READ = "version_read"
    UNREAD = "versions_unread"


class NotRun(NamedTuple):
    """The backend server certainly did not run the request.

    Attributes:
        reason: Why it did not run.
        detail: Explanation for logs.
        reached_server: Whether the server received the request and rejected
            it.
        obstacle: What kept a stream from going on there; None if it wasn't
            to go on, or for another reason.
    """

    reason: Reason
    detail: str
    reached_server: bool
    obstacle: Obstacle | None = None


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
        doubt: Why the software version of a stream isn't known, if so.
    """

    status: int
    reason: Reason
    message: str
    retry_after_s: float | None = None
    rule: str | None = None
    asked_by: str | None = None
    doubt: Doubt | None = None

    @property
    def ending(self) -> Ending:
        """What is known of the effect of the request."""
        return ending_of_status(self.status)


SendResult = Answered | NotRun | Unsure
