"""Log lines and figures of generations."""

import asyncio
import time

import structlog

from savorylift.backends.registry import Known
from savorylift.exchange import counters
from savorylift.exchange.ending import Broken, NotRun, Unsure
from savorylift.exchange.run import NextPart, Run
from savorylift.exchange.send import Started

_log = structlog.get_logger()


def log_sent(
    run: Run, server: Known, started: Started | NotRun | Unsure
) -> None:
    """Logs how sending a run to an engine went."""
    if isinstance(started, Started):
        detail = str(started.head.status)
    else:
        detail = f"{started.reason.value}: {started.detail}"
    _log.info(
        "sent",
        request=run.attempt_id,
        server=server.entry.server_id,
        ending=type(started).__name__,
        detail=detail,
        resumed_after=run.resume_after,
        tokens=run.tokens,
    )


def log_first_event(run: Run) -> None:
    """Takes the time until the caller's first event."""
    waited_s = time.monotonic() - run.adm.req.arrived_s
    counters.ANSWER_TIME.labels("stream").observe(waited_s)


def log_complete(run: Run) -> None:
    """Logs a stream that was passed on whole."""
    counters.EVENT_GAP.observe(run.longest_gap_s)
    asked_s = run.adm.req.arrived_s
    first_s = (run.first_event_s or time.monotonic()) - asked_s
    _log.info(
        "stream_complete",
        request=run.attempt_id,
        server=run.server and run.server.entry.server_id,
        route=run.adm.route.name,
        first_event_ms=round(first_s * 1000),
        longest_gap_ms=round(run.longest_gap_s * 1000),
        gap_event=run.gap_event,
        last_event=run.last_event,
        moved=run.moves,
    )


def log_broken(run: Run, ending: Broken) -> None:
    """Logs a run that got no whole answer."""
    counters.BROKEN_STREAMS.labels(ending.reason.value).inc()
    _log.warning(
        "stream_broken",
        request=run.attempt_id,
        server=run.server and run.server.entry.server_id,
        reason=ending.reason.value,
        detail=ending.detail,
        last_event=run.last_event,
    )


def log_move_failure(move: "asyncio.Task[NextPart | None]") -> None:
    """Logs a fault of our own in moving a run."""
    if move.cancelled():
        return
    exc = move.exception()
    if exc is not None:
        _log.error("task_failed", task="move", exc_info=exc)
