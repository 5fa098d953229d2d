"""Final answers of generations that no engine has served whole."""

from savorylift.exchange.codec import EventSink
from savorylift.exchange.ending import Answered, Broken, NotRun, Refused
from savorylift.exchange.run import Run
from savorylift.exchange.run_log import log_broken
from savorylift.outcomes import Reason


def refuse(sink: EventSink, reason: Reason, retry_s: float) -> Refused | None:
    """Ends a request that has not run; returns what is yet to be sent."""
    message = "No engine has room for the request; it did not run."
    return _tell(sink, Refused(503, reason, message, retry_s))


def give_up(run: Run, sink: EventSink, ending: Broken) -> Refused | None:
    """Ends a request that may have run; returns what is yet to be sent."""
    log_broken(run, ending)
    status = 504 if ending.reason is Reason.DEADLINE else 502
    message = "The engine gave no whole answer; the request may have run."
    return _tell(sink, Refused(status, ending.reason, message))


def as_broken(ending: NotRun | Answered | Broken) -> Broken:
    """Returns how a run that has begun ended, when it could not go on."""
    if isinstance(ending, Broken):
        return ending
    if isinstance(ending, NotRun):
        return Broken(ending.reason, f"could not go on: {ending.detail}")
    detail = f"could not go on: {ending.head.status}"
    return Broken(Reason.BACKEND_ERROR, detail)


def _tell(sink: EventSink, refused: Refused) -> Refused | None:
    if not sink.is_started:
        return refused
    sink.fail(refused)
    return None
