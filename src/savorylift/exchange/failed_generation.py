"""Final responses to generations that no engine completed."""

from savorylift.exchange.codec import EventSink
from savorylift.exchange.results import (
    NO_SERVER_RETRY_AFTER_S,
    Answered,
    Broken,
    NotRun,
    Refused,
)
from savorylift.exchange.run import Run
from savorylift.exchange.run_log import log_broken
from savorylift.outcomes import Reason


def refuse_generation(
    sink: EventSink, reason: Reason, retry_after_s: float | None
) -> Refused | None:
    """Ends a request that did not run; returns the response yet to send."""
    message = "No engine has room for the request; it did not run."
    if reason in (Reason.SERVER_LIMIT, Reason.SERVER_HOLD):
        message = "The engines take no more requests now; it did not run."
    return end_with_refusal(sink, Refused(503, reason, message, retry_after_s))


def refuse_without_engine(sink: EventSink) -> Refused | None:
    """Ends a request that did not run since all engines leave."""
    message = "All engines of the request leave; it did not run."
    return end_with_refusal(
        sink,
        Refused(
            503, Reason.NO_BACKEND_SERVER, message, NO_SERVER_RETRY_AFTER_S
        ),
    )


def fail_generation(
    run: Run, sink: EventSink, failure: Broken
) -> Refused | None:
    """Ends a request that may have run; returns the response yet to send."""
    log_broken(run, failure)
    status = 504 if failure.reason is Reason.DEADLINE else 502
    message = "The engine gave no whole answer; the request may have run."
    return end_with_refusal(sink, Refused(status, failure.reason, message))


def to_broken(result: NotRun | Answered | Broken) -> Broken:
    """Converts the result of an attempt to resume a run to a failure."""
    if isinstance(result, Broken):
        return result
    if isinstance(result, NotRun):
        return Broken(result.reason, f"could not resume: {result.detail}")
    detail = f"could not resume: status {result.head.status}"
    return Broken(Reason.BACKEND_ERROR, detail)


def end_with_refusal(sink: EventSink, refused: Refused) -> Refused | None:
    """Fails the stream if it has started, else returns the refusal."""
    if not sink.is_started:
        return refused
    sink.fail(refused)
    return None
