"""Dispatches calls to plain services and retries them where that is allowed.

A plain service returns a complete response instead of a generation's stream.
"""

import asyncio
import time
from collections.abc import Collection

import structlog

from savorylift.backends.quarantine import QuarantinedTraits
from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.answer_outcome import find_outcome
from savorylift.exchange.crash_guard import CrashGuard, is_quarantined
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.final_answer import final_answer
from savorylift.exchange.open_call import OpenCall
from savorylift.exchange.place_queue import PlaceQueue
from savorylift.exchange.request_retries import RequestRetries, is_over_limit
from savorylift.exchange.results import (
    Answered,
    NotRun,
    Refused,
    SendResult,
)
from savorylift.exchange.send import Sender
from savorylift.exchange.server_pool import ServerPool
from savorylift.outcomes import Reason
from savorylift.rollouts.answer_log import Outcome

# Share of the objective for which a call waits for a place at brittle servers.
PLACE_WAIT_SHARE = 0.5
# Response time objective of routes that define none.
DEFAULT_OBJECTIVE_S = 1.0
# Statuses from here on are failures of the server; lower ones are passed to the
# caller.
FIRST_SERVER_ERROR_STATUS = 500

_log = structlog.get_logger()


class PlainCallDispatcher:
    """Reserves a server for each call, and retries or gives up on failures."""

    def __init__(
        self, pool: ServerPool, sender: Sender, crash_guard: CrashGuard
    ) -> None:
        """Creates a dispatcher.

        Args:
            pool: Servers to choose from.
            sender: Sends calls to servers.
            crash_guard: Observes which calls crash servers.
        """
        self._pool = pool
        self._sender = sender
        self._crash_guard = crash_guard
        crash_guard.on_quarantine.append(self._stop_quarantined)
        self._calls: set[OpenCall] = set()
        self._places = PlaceQueue()

    async def serve(self, admitted: AdmittedRequest) -> Answered | Refused:
        """Serves a call and returns the final response."""
        call = OpenCall(admitted)
        self._calls.add(call)
        try:
            async with asyncio.timeout(None) as call.time_limit:
                return await self._serve(call)
        except TimeoutError:
            assert call.refusal is not None
            return call.refusal
        finally:
            self._calls.discard(call)

    async def _serve(self, call: OpenCall) -> Answered | Refused:
        admitted = call.admitted
        tried: set[str] = set()
        retries = RequestRetries(self._pool, admitted)
        possibly_run_attempts = 0
        # That of the last attempt that may have run, if there was one.
        last_result: SendResult | None = None
        while True:
            refusal = self._crash_guard.refuse(call.traits)
            if refusal is not None:
                return call.end_quarantined(refusal)
            if not retries.take():
                return final_answer(last_result)
            server = await self._reserve(admitted, tried)
            if server is None:
                return self._end_unserved(admitted, last_result)
            if last_result is not None:
                metrics.RETRIES.labels(_retry_reason(last_result).value).inc()
            is_last = possibly_run_attempts + 1 >= admitted.route.max_attempts
            tried.add(server.entry.server_id)
            policy = self._failover_policy(admitted, tried, is_last=is_last)
            result = await self._send(server, call, policy)
            retries.record_result(result)
            if isinstance(result, NotRun):
                if not possibly_run_attempts:
                    last_result = result
                continue
            last_result = result
            possibly_run_attempts += 1
            call.has_run = True
            if isinstance(result, Answered) and not _is_server_error(result):
                return result
            if possibly_run_attempts >= admitted.route.max_attempts:
                return final_answer(last_result)
            if not admitted.is_idempotent:
                return final_answer(last_result)
            if not self._crash_guard.may_repeat(call.traits):
                return final_answer(last_result)

    async def _reserve(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> BackendServer | None:
        """Reserves a server, waiting for a place if the service is brittle."""
        objective_s = admitted.route.objective_s or DEFAULT_OBJECTIVE_S
        now_s = time.monotonic()
        until_s = now_s + PLACE_WAIT_SHARE * min(
            objective_s, admitted.deadline_s - now_s
        )
        service = admitted.service.name
        while True:
            server = self._pool.reserve_plain_server(admitted, tried)
            if server is not None or not self._pool.brittle.is_brittle(service):
                return server
            if self._pool.waits.shortest_hold_s(admitted, tried) is not None:
                return None
            wait_s = until_s - time.monotonic()
            if not await self._places.wait(service, wait_s):
                return None

    def _stop_quarantined(self, begun: Collection[QuarantinedTraits]) -> None:
        """Stops the calls that no server has answered yet."""
        for call in list(self._calls):
            if is_quarantined(call.traits, begun):
                call.stop(self._crash_guard.refuse(call.traits))

    async def _send(
        self,
        server: BackendServer,
        call: OpenCall,
        policy: FailoverPolicy,
    ) -> SendResult:
        """Sends a call to the server that was reserved for it."""
        server_id = server.entry.server_id
        admitted = call.admitted
        attempt_id = admitted.req.attempt_id
        sent_s = time.monotonic()
        call.is_at_server = True
        try:
            result = await self._sender.send(server, admitted, policy)
        except asyncio.CancelledError:
            self._crash_guard.record_call_given_up(server, call.traits, sent_s)
            self._pool.answers.finish(attempt_id, Outcome.ENDED)
            raise
        finally:
            self._pool.load_tracker.remove_request(server_id, attempt_id)
            self._places.wake(admitted.service.name)
        call.is_at_server = False
        if isinstance(result, Answered) and not _is_server_error(result):
            self._pool.record_time(
                server,
                admitted.route.name,
                server.entry.slots,
                time.monotonic() - sent_s,
            )
        self._crash_guard.record_call(server, call.traits, sent_s, result)
        self._record_result(server_id, result)
        self._pool.answers.finish(attempt_id, find_outcome(result))
        _log.info(
            "sent",
            request=attempt_id,
            server=server_id,
            ending=type(result).__name__,
            detail=_log_detail(result),
            is_close_delimited=(
                isinstance(result, Answered) and result.head.is_close_delimited
            ),
        )
        return result

    def _end_unserved(
        self, admitted: AdmittedRequest, last_result: SendResult | None
    ) -> Answered | Refused:
        """Returns the final response if no server is left to try."""
        self._pool.blocks.record_unserved(admitted)
        if last_result is None or is_over_limit(last_result):
            return_after_s = self._pool.waits.assign_return_s(admitted)
            if return_after_s is not None:
                message = "The backend servers take no more; it did not run."
                return Refused(
                    503, Reason.SERVER_LIMIT, message, return_after_s
                )
        if last_result is None or isinstance(last_result, NotRun):
            hold_s = self._pool.waits.shortest_hold_s(admitted)
            if hold_s is not None:
                message = "The backend servers want nothing; it did not run."
                return Refused(503, Reason.SERVER_HOLD, message, hold_s)
        return final_answer(last_result)

    def _failover_policy(
        self, admitted: AdmittedRequest, tried: set[str], *, is_last: bool
    ) -> FailoverPolicy:
        """Returns how long to wait for a server before trying another."""
        return FailoverPolicy.for_request(
            admitted,
            admitted.route.objective_s or DEFAULT_OBJECTIVE_S,
            lambda: (
                self._pool.retries.may_retry(admitted.service.name)
                and self._pool.choice.has_untried_server(admitted, tried)
            ),
            is_last=is_last,
        )

    def _record_result(self, server_id: str, result: SendResult) -> None:
        if is_over_limit(result):
            return
        is_failure = not isinstance(result, Answered) or _is_server_error(
            result
        )
        self._pool.load_tracker.record_result(
            server_id, is_success=not is_failure
        )


def _is_server_error(answered: Answered) -> bool:
    return answered.head.status >= FIRST_SERVER_ERROR_STATUS


def _retry_reason(result: SendResult) -> Reason:
    if isinstance(result, Answered):
        return Reason.BACKEND_ERROR
    return result.reason


def _log_detail(result: SendResult) -> str:
    if isinstance(result, Answered):
        return str(result.head.status)
    return f"{result.reason.value}: {result.detail}"


async def serve_within_deadline(
    admitted: AdmittedRequest, dispatcher: PlainCallDispatcher
) -> Answered | Refused:
    """Serves a call, or refuses it with status 504 at its deadline."""
    try:
        async with asyncio.timeout_at(admitted.deadline_s):
            return await dispatcher.serve(admitted)
    except TimeoutError:
        message = "No answer in time; it may have run."
        return Refused(504, Reason.DEADLINE, message)
