"""Encodes refusals as JSON error responses."""

import math

import msgspec

from savorylift.exchange.results import Refused
from savorylift.outcomes import Ending
from savorylift.wire.message import Headers

# The second header distinguishes errors of a node from those of a service.
ERROR_HEADERS: Headers = (
    ("content-type", "application/json"),
    ("x-savorylift-error", "true"),
)
REQUEST_ID_HEADER = "x-request-id"


def error_headers(request_id: str, refused: Refused) -> Headers:
    """Returns the headers of an error response, with `Retry-After` if known."""
    headers = (*ERROR_HEADERS, (REQUEST_ID_HEADER, request_id))
    if refused.retry_after_s is not None:
        headers += (("retry-after", str(math.ceil(refused.retry_after_s))),)
    return headers


def error_body(
    request_id: str, refused: Refused, ending: Ending | None = None
) -> bytes:
    """Returns the JSON error body.

    Args:
        request_id: Identifier of the request; empty if it has none.
        refused: The refusal.
        ending: Overrides the ending that follows from the refusal's status.
    """
    error: dict[str, object] = {
        "code": refused.reason.value,
        "ending": (ending or refused.ending).value,
        "message": refused.message,
        "request_id": request_id,
        "retry_after_s": refused.retry_after_s,
    }
    if refused.rule is not None:
        error["rule"] = refused.rule
        error["asked_by"] = refused.asked_by
    return msgspec.json.encode({"error": error})
