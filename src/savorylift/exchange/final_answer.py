"""The final response to a plain call, once no server is tried any more."""

from savorylift.exchange.results import (
    NO_SERVER_RETRY_AFTER_S,
    Answered,
    NotRun,
    Refused,
    SendResult,
    Unsure,
)
from savorylift.outcomes import Reason

# A plain service has room again within a few service times.
BUSY_RETRY_AFTER_S = 0.2


def final_answer(last_result: SendResult | None) -> Answered | Refused:
    """Returns the final response.

    Args:
        last_result: Result of the last attempt; None if there was none.
    """
    if isinstance(last_result, Answered):
        return last_result
    if isinstance(last_result, Unsure):
        status = 504 if last_result.reason is Reason.DEADLINE else 502
        message = "The backend server gave no whole answer; it may have run."
        return Refused(status, last_result.reason, message)
    if isinstance(last_result, NotRun):
        message = "No backend server took the request; it did not run."
        return Refused(503, last_result.reason, message, BUSY_RETRY_AFTER_S)
    message = "No backend server is there for the request; it did not run."
    return Refused(
        503, Reason.NO_BACKEND_SERVER, message, NO_SERVER_RETRY_AFTER_S
    )
