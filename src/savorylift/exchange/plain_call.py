"""Serves calls to plain services: whole answers, repeated where allowed."""

import asyncio

import structlog

from savorylift.exchange import counters
from savorylift.exchange.admission import Admitted
from savorylift.exchange.ending import (
    Answered,
    NotRun,
    Refused,
    SendEnding,
    Unsure,
)
from savorylift.exchange.pool import Pool
from savorylift.exchange.send import Patience, Sender
from savorylift.outcomes import Reason

# Room at a plain service appears within a few service times.
BUSY_RETRY_S = 0.2
GONE_RETRY_S = 0.5
DEFAULT_OBJECTIVE_S = 1.0
# Faults of a server; other statuses are answers to the caller.
FIRST_SERVER_FAULT = 500

_log = structlog.get_logger()


class PlainCalls:
    """Finds a server for each call and decides what its endings mean."""

    def __init__(self, pool: Pool, sender: Sender) -> None:
        """Takes what it chooses and sends with."""
        self._pool = pool
        self._sender = sender

    async def serve(self, adm: Admitted) -> Answered | Refused:
        """Returns the final answer."""
        tried: set[str] = set()
        has_arrived = False
        may_have_run = 0
        last: SendEnding | None = None
        while True:
            if has_arrived and not self._pool.take_repeat(adm.service.name):
                counters.RETRIES_DENIED.labels(adm.service.name).inc()
                return _final(last)
            server = self._pool.pick_plain(adm, tried)
            if server is None:
                return _final(last)
            if last is not None:
                counters.RETRIES.labels(_reason(last).value).inc()
            is_last = may_have_run + 1 >= adm.route.max_servers
            server_id = server.entry.server_id
            tried.add(server_id)
            patience = self._patience(adm, tried, is_last=is_last)
            try:
                last = await self._sender.send(server, adm, patience)
            finally:
                self._pool.work.end(server_id, adm.req.attempt_id)
            self._judge(server_id, last)
            _log.info(
                "sent",
                request=adm.req.attempt_id,
                server=server_id,
                ending=type(last).__name__,
                detail=_detail(last),
            )
            if isinstance(last, NotRun):
                has_arrived = has_arrived or last.has_arrived
                continue
            has_arrived = True
            may_have_run += 1
            if isinstance(last, Answered) and not _is_server_fault(last):
                return last
            if may_have_run >= adm.route.max_servers:
                return _final(last)
            if not adm.is_idempotent:
                return _final(last)

    def _patience(
        self, adm: Admitted, tried: set[str], *, is_last: bool
    ) -> Patience:
        """Returns how long one server may keep a call."""
        return Patience.of(
            adm,
            adm.route.objective_s or DEFAULT_OBJECTIVE_S,
            lambda: self._pool.has_server(adm, tried),
            is_last=is_last,
        )

    def _judge(self, server_id: str, ending: SendEnding) -> None:
        is_fault = not isinstance(ending, Answered) or _is_server_fault(ending)
        self._pool.work.judge(server_id, is_success=not is_fault)


def _is_server_fault(ending: Answered) -> bool:
    return ending.head.status >= FIRST_SERVER_FAULT


def _reason(ending: SendEnding) -> Reason:
    if isinstance(ending, Answered):
        return Reason.BACKEND_ERROR
    return ending.reason


def _detail(ending: SendEnding) -> str:
    if isinstance(ending, Answered):
        return str(ending.head.status)
    return f"{ending.reason.value}: {ending.detail}"


def _final(last: SendEnding | None) -> Answered | Refused:
    """Returns the answer that the last ending leaves."""
    if isinstance(last, Answered):
        return last
    if isinstance(last, Unsure):
        status = 504 if last.reason is Reason.DEADLINE else 502
        message = "The backend server gave no whole answer; it may have run."
        return Refused(status, last.reason, message)
    if isinstance(last, NotRun):
        message = "No backend server took the request; it did not run."
        return Refused(503, last.reason, message, BUSY_RETRY_S)
    message = "No backend server is there for the request; it did not run."
    return Refused(503, Reason.NO_BACKEND_SERVER, message, GONE_RETRY_S)


async def within_deadline(
    adm: Admitted, calls: PlainCalls
) -> Answered | Refused:
    """Serves a call; at its deadline, ends it as unknown."""
    try:
        async with asyncio.timeout_at(adm.deadline_s):
            return await calls.serve(adm)
    except TimeoutError:
        message = "No answer in time; it may have run."
        return Refused(504, Reason.DEADLINE, message)
