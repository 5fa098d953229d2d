"""Logging and metrics of generations."""

import asyncio
import time

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.results import (
    Answered,
    Broken,
    Doubt,
    NotRun,
    Refused,
    Unsure,
)
from savorylift.exchange.run import ResumeTarget, Run
from savorylift.exchange.send import Started

_log = structlog.get_logger()


def log_sent(
    run: Run, server: BackendServer, started: Started | NotRun | Unsure
) -> None:
    """Logs the result of sending a run to an engine."""
    if isinstance(started, Started):
        detail = str(started.head.status)
    else:
        detail = f"{started.reason.value}: {started.detail}"
    _log.info(
        "sent",
        request=run.attempt_id,
        server=server.entry.server_id,
        software_version=server.entry.software_version,
        resumes=run.admitted.req.resumes,
        ending=type(started).__name__,
        detail=detail,
        is_close_delimited=(
            isinstance(started, Started) and started.head.is_close_delimited
        ),
        resumed_after=run.resume_after,
        is_known_run=run.admitted.req.has_run_at(server.entry.server_id),
        tokens=run.expected_tokens,
    )


def record_first_event_time(run: Run) -> None:
    """Records the time to first event in the metrics."""
    waited_s = time.monotonic() - run.admitted.req.arrived_s
    metrics.ANSWER_TIME.labels("stream").observe(waited_s)


def log_complete(run: Run) -> None:
    """Logs a stream that was relayed completely."""
    metrics.EVENT_GAP.observe(run.longest_gap_s)
    arrived_s = run.admitted.req.arrived_s
    first_event_delay_s = (run.first_event_s or time.monotonic()) - arrived_s
    _log.info(
        "stream_complete",
        request=run.attempt_id,
        server=run.server and run.server.entry.server_id,
        route=run.admitted.route.name,
        first_event_ms=round(first_event_delay_s * 1000),
        longest_gap_ms=round(run.longest_gap_s * 1000),
        gap_event=run.gap_event,
        last_event=run.last_event,
        moved=run.moves,
    )


def log_take_up(run: Run, result: Answered | Refused | None) -> None:
    """Logs what became of a stream that its caller took up."""
    if not run.is_take_up:
        return
    doubt = result.doubt if isinstance(result, Refused) else None
    outcome = _take_up_outcome(run, result, doubt)
    metrics.STREAM_TAKE_UPS.labels(outcome).inc()
    _log.info(
        "stream_take_up_ended",
        request=run.attempt_id,
        resumes=run.admitted.req.resumes,
        outcome=outcome,
        refusal=result.reason.value if isinstance(result, Refused) else None,
        obstacle=run.obstacle and run.obstacle.value,
        doubt=doubt and doubt.value,
        events=run.engine_events,
    )


def _take_up_outcome(
    run: Run, result: Answered | Refused | None, doubt: Doubt | None
) -> str:
    if run.first_event_s is not None:
        return "gone_on"
    if doubt is not None:
        return doubt.value
    if run.obstacle is not None:
        return run.obstacle.value
    if isinstance(result, Refused):
        return result.reason.value
    return "answered" if isinstance(result, Answered) else "broken"


def log_broken(run: Run, failure: Broken) -> None:
    """Logs a run that ended without a complete response."""
    metrics.BROKEN_STREAMS.labels(failure.reason.value).inc()
    _log.warning(
        "stream_broken",
        request=run.attempt_id,
        server=run.server and run.server.entry.server_id,
        reason=failure.reason.value,
        detail=failure.detail,
        last_event=run.last_event,
    )


def log_move_failure(move_task: "asyncio.Task[ResumeTarget | None]") -> None:
    """Logs an unexpected exception in a task that moved a run."""
    if move_task.cancelled():
        return
    exc = move_task.exception()
    if exc is not None:
        _log.error("task_failed", task="move", exc_info=exc)
