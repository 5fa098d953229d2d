"""Outcomes of requests without a complete response, for all packages."""

import enum


class Ending(enum.StrEnum):
    """What is known of the effect of a request without a complete response.

    Attributes:
        NOT_RUN: No backend server ran it, so it had no effect.
        FAILED: It was run: its response began but broke off.
        UNKNOWN: It may have been run.
    """

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or got no complete response.

    The values are stable codes in responses, metrics and refusal reports.
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
    NODE_BUSY = "node_busy"
    NODE_FULL = "node_full"
    NODE_STARTING = "node_starting"
    NODE_DRAINING = "node_draining"
    NO_BACKEND_SERVER = "no_backend_server"
    OUT_OF_SERVICE = "out_of_service"
    QUEUE_FULL = "queue_full"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    TEAM_LIMIT = "team_limit"
    SERVER_LIMIT = "server_limit"
    SERVER_HOLD = "server_hold"
    STREAM_UNKNOWN = "stream_unknown"
    VERSION_GONE = "version_gone"
    ANSWER_LOST = "answer_lost"
    BACKEND_ERROR = "backend_error"
    BACKEND_LOST = "backend_lost"
