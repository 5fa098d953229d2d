"""Outcomes other than an answer, shared by every slice."""

import enum
from typing import NamedTuple


class Ending(enum.StrEnum):
    """What is known about a request that got no answer."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or ended without an answer.

    The values are stable codes in answers, metrics and the refusal account.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_REQUEST = "slow_request"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    BAD_DEADLINE = "bad_deadline"
    BAD_TICKET = "bad_ticket"
    TICKET_EXPIRED = "ticket_expired"
    UNAUTHORIZED = "unauthorized"
    NODE_BUSY = "node_busy"
    NODE_STARTING = "node_starting"
    NODE_DRAINING = "node_draining"
    NODE_STALE = "node_stale"
    NO_BACKEND_SERVER = "no_backend_server"
    OUT_OF_SERVICE = "out_of_service"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    TEAM_LIMIT = "team_limit"
    RETRY_BUDGET = "retry_budget"
    KEEPER_UNREACHABLE = "keeper_unreachable"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    KEY_TOO_OLD = "key_too_old"
    KEY_IN_USE = "key_in_use"
    KEY_MISMATCH = "key_mismatch"
    CLAIM_UNSURE = "claim_unsure"
    ANSWER_LOST = "answer_lost"
    BACKEND_ERROR = "backend_error"
    BACKEND_LOST = "backend_lost"
    GENERATION_DIVERGED = "generation_diverged"
    CALLER_GONE = "caller_gone"
    CALLER_TOO_SLOW = "caller_too_slow"


class Refusal(NamedTuple):
    """A request that ends without an answer.

    Attributes:
        ending: What is known about the request's effect.
        reason: Stable code for the cause.
        message: One plain sentence for the caller.
        retry_after_s: Seconds until a retry may succeed; None when a retry
            of the same request can't succeed.
        rule: Rule line that caused the refusal, if one did.
        asked_by: The who-asked comment of that line.
    """

    ending: Ending
    reason: Reason
    message: str
    retry_after_s: float | None = None
    rule: str | None = None
    asked_by: str | None = None


def not_run(
    reason: Reason, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Returns a refusal of a request that had no effect."""
    return Refusal(Ending.NOT_RUN, reason, message, retry_after_s)
