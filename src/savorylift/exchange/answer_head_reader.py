"""Reads the heads of the answers of backend servers."""

import asyncio
import time
from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange.codec import Codec
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.request import AnswerHead, CallerRequest
from savorylift.exchange.results import Unsure
from savorylift.limits.limit_gate import LimitGate
from savorylift.outcomes import Reason
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.message import ResponseHead

# Interval at which to look for another server after `failover_at_s`.
ALTERNATIVE_POLL_S = 0.1
# A server in trouble may send answers to other requests before the one asked
# for.
MAX_STRAY_ANSWERS = 4
STRAY_BODY_TIMEOUT_S = 0.2

_log = structlog.get_logger()


class AnswerHeadReader:
    """Reads the head of the answer to a request, and no other one."""

    def __init__(
        self,
        codec: Codec,
        limit_gate: LimitGate,
        on_head: Callable[[BackendServer, AnswerHead], None],
    ) -> None:
        """Creates a reader.

        Args:
            codec: Decodes heads.
            limit_gate: Told of the limits that heads name.
            on_head: Called with each head and its server.
        """
        self._codec = codec
        self._limit_gate = limit_gate
        self._on_head = on_head

    async def read(
        self,
        server: BackendServer,
        call: ClientCall,
        req: CallerRequest,
        failover_policy: FailoverPolicy,
    ) -> AnswerHead | Unsure:
        """Waits for the head; returns why if none came that can be used."""
        try:
            head = await self._read_own_head(server, call, req, failover_policy)
        except TimeoutError:
            return Unsure(Reason.DEADLINE, "no response in time")
        except BrokenAnswerError as exc:
            return Unsure(Reason.ANSWER_LOST, str(exc))
        error = _find_head_error(head)
        if error is not None:
            return Unsure(Reason.ANSWER_LOST, error)
        return head

    async def _read_own_head(
        self,
        server: BackendServer,
        call: ClientCall,
        req: CallerRequest,
        failover_policy: FailoverPolicy,
    ) -> AnswerHead:
        """Waits for the head of the response to the request that was sent.

        Raises:
            TimeoutError: It did not arrive before failover or the deadline.
            BrokenAnswerError: The connection failed, or there were too many
                responses to other requests or invalid ones.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            raw_head = await _read_head(call, failover_policy)
            head = self._codec.decode_answer_head(raw_head, req)
            self._limit_gate.record_head(server, req.attempt_id, head)
            self._on_head(server, head)
            if head.matches_request:
                return head
            _log.info(
                "stray_answer",
                request=req.attempt_id,
                server=server.entry.server_id,
                status=head.status,
                is_not_run=head.is_not_run,
            )
            await _skip_response(call)
        raise BrokenAnswerError("too many responses to other requests")


async def _read_head(
    call: ClientCall, failover_policy: FailoverPolicy
) -> ResponseHead:
    """Waits for the head of a response.

    Raises:
        TimeoutError: No head arrived before failover or the deadline.
        BrokenAnswerError: The connection failed or the response is invalid.
    """
    wait_until_s = min(
        failover_policy.failover_at_s, failover_policy.deadline_s
    )
    while True:
        try:
            async with InputTimeout(wait_until_s - time.monotonic()):
                return await call.read_head()
        except TimeoutError:
            now_s = time.monotonic()
            if (
                now_s >= failover_policy.deadline_s
                or failover_policy.has_alternative()
            ):
                raise
            wait_until_s = min(
                now_s + ALTERNATIVE_POLL_S, failover_policy.deadline_s
            )


async def _skip_response(call: ClientCall) -> None:
    """Skips the body of a response to another request.

    Raises:
        BrokenAnswerError: It is invalid, or doesn't end soon.
    """
    try:
        async with asyncio.timeout(STRAY_BODY_TIMEOUT_S):
            await call.skip_response()
    except TimeoutError as exc:
        detail = "a response to another request does not end"
        raise BrokenAnswerError(detail) from exc


def _find_head_error(head: AnswerHead) -> str | None:
    """Returns why a response can't be forwarded, or None if it can."""
    if head.is_not_run:
        return None
    if head.promises_not_run:
        return "a status that promises more than its server declares"
    if head.is_success and not head.is_signed:
        return "a successful response without the server's signature"
    if any(name == "content-encoding" for name, _ in head.headers):
        return "a content encoding that was not requested"
    return None
