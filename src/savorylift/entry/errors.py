"""HTTP form of refusals."""

import json
import math
from collections.abc import Sequence

from savorylift.outcomes import Ending, Reason, Refusal

STATUS = {
    Reason.BAD_REQUEST: "400 Bad Request",
    Reason.BODY_TOO_LARGE: "413 Content Too Large",
    Reason.SLOW_REQUEST: "408 Request Timeout",
    Reason.NOT_FOUND: "404 Not Found",
    Reason.METHOD_NOT_ALLOWED: "405 Method Not Allowed",
    Reason.UNKNOWN_TEAM: "403 Forbidden",
    Reason.UNKNOWN_MODEL: "404 Not Found",
    Reason.UNKNOWN_SERVICE: "404 Not Found",
    Reason.MODEL_NOT_ALLOWED: "403 Forbidden",
    Reason.BAD_DEADLINE: "400 Bad Request",
    Reason.BAD_TICKET: "403 Forbidden",
    Reason.TICKET_EXPIRED: "410 Gone",
    Reason.UNAUTHORIZED: "401 Unauthorized",
    Reason.TEAM_LIMIT: "429 Too Many Requests",
    Reason.DEADLINE: "504 Gateway Timeout",
    Reason.KEY_MISSING: "400 Bad Request",
    Reason.KEY_INVALID: "400 Bad Request",
    Reason.KEY_TOO_OLD: "400 Bad Request",
    Reason.KEY_IN_USE: "409 Conflict",
    Reason.KEY_MISMATCH: "422 Unprocessable Content",
    Reason.ANSWER_LOST: "502 Bad Gateway",
    Reason.BACKEND_ERROR: "502 Bad Gateway",
    Reason.BACKEND_LOST: "502 Bad Gateway",
    Reason.GENERATION_DIVERGED: "502 Bad Gateway",
}
UNAVAILABLE = "503 Service Unavailable"
Header = tuple[str, str]
# Tells a node's own errors from those that a plain service answers with.
ERROR_HEADER: Header = ("X-Savorylift-Error", "true")


def status_line(refusal: Refusal) -> str:
    """Returns the HTTP status of a refusal, such as `404 Not Found`."""
    return STATUS.get(refusal.reason, UNAVAILABLE)


def error_body(
    refusal: Refusal, request_id: str, entries: Sequence[str] = ()
) -> bytes:
    """Returns the JSON error body.

    Args:
        refusal: What the caller is told.
        request_id: Identifier of the request.
        entries: Addresses of other nodes that may take the request.
    """
    error: dict[str, object] = {
        "code": refusal.reason.value,
        "ending": refusal.ending.value,
        "message": refusal.message,
        "request_id": request_id,
        "retry_after_s": refusal.retry_after_s,
    }
    if refusal.rule is not None:
        error["rule"] = refusal.rule
        error["asked_by"] = refusal.asked_by
    if entries:
        error["entries"] = list(entries)
    return json.dumps({"error": error}).encode()


def retry_headers(refusal: Refusal) -> list[Header]:
    """Returns `Retry-After` in whole seconds, if a retry makes sense."""
    if refusal.retry_after_s is None:
        return []
    return [("Retry-After", str(math.ceil(refusal.retry_after_s)))]


def raw_error(refusal: Refusal) -> bytes:
    """Returns a whole response for a request without an identifier.

    For answers that are written to the connection directly, which closes
    after them.
    """
    body = error_body(refusal, "")
    headers = [
        ("Content-Type", "application/json"),
        ERROR_HEADER,
        ("Content-Length", str(len(body))),
        *retry_headers(refusal),
        ("Connection", "close"),
    ]
    lines = [f"HTTP/1.1 {status_line(refusal)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def http_refusal(status: str, message: str) -> Refusal:
    """Returns the refusal for a request that `cheroot` rejected."""
    code = status[:3]
    reason = Reason.BAD_REQUEST
    if code == "408":
        reason = Reason.SLOW_REQUEST
    elif code in ("413", "414"):
        reason = Reason.BODY_TOO_LARGE
    elif code == "405":
        reason = Reason.METHOD_NOT_ALLOWED
    elif code[0] == "5":
        reason = Reason.BACKEND_ERROR if code == "500" else Reason.NODE_BUSY
    ending = Ending.UNKNOWN if code == "500" else Ending.NOT_RUN
    return Refusal(ending, reason, message or status[4:].lower())
