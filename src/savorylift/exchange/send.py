"""Sends requests to a backend server."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.answer_head_reader import AnswerHeadReader
from savorylift.exchange.codec import CancelRequest, Codec, OutgoingRequest
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.request import (
    AnswerHead,
    ForwardingOptions,
)
from savorylift.exchange.results import Answered, NotRun, SendResult, Unsure
from savorylift.exchange.run_canceller import RunCanceller
from savorylift.exchange.server_opener import ResumePoint, ServerOpener
from savorylift.exchange.server_reach import ServerReach
from savorylift.limits.limit_gate import LimitGate
from savorylift.outcomes import Reason
from savorylift.processes.server_check import ProcessEnd, ServerCheck
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.message import ResponseHead

# Why an answer that ended with nothing but a close doesn't count as whole.
END_FAILURES = {
    ProcessEnd.ENDED: Unsure(
        Reason.ANSWER_LOST, "the server closed the connection and is gone"
    ),
    ProcessEnd.LEFT: Unsure(
        Reason.OUT_OF_SERVICE, "the server closed the connection and has left"
    ),
    ProcessEnd.UNKNOWN: Unsure(
        Reason.ANSWER_LOST, "the server closed the connection and may be gone"
    ),
}


class Started(NamedTuple):
    """A request whose response has started.

    Attributes:
        call: The call, whose response body has yet to be read.
        head: Head of the response.
        run_id: ID of the run at the server.
        cancel_request: Request that cancels the run; None if closing the
            connection cancels it.
    """

    call: ClientCall
    head: AnswerHead
    run_id: str
    cancel_request: CancelRequest | None


class Sender:
    """Sends requests to backend servers and reads their responses."""

    def __init__(
        self,
        codec: Codec,
        limit_gate: LimitGate,
        server_check: ServerCheck,
        opener: ServerOpener,
        reach: ServerReach,
        on_head: Callable[[BackendServer, AnswerHead], None],
    ) -> None:
        """Creates a sender.

        Args:
            codec: Encodes requests and decodes response heads.
            limit_gate: Holds the limits that servers name.
            server_check: Finds out whether a server that has closed a
                connection is gone.
            opener: Opens the connections on which requests may be sent.
            reach: Told which connections to servers bring answers.
            on_head: Called with each head of an answer and its server.
        """
        self._codec = codec
        self._server_check = server_check
        self._opener = opener
        self._reach = reach
        self._head_reader = AnswerHeadReader(codec, limit_gate, on_head)
        self._canceller = RunCanceller()

    async def start(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        resume_point: ResumePoint,
        failover_policy: FailoverPolicy,
    ) -> Started | NotRun | Unsure:
        """Sends a request and waits for the head of the response.

        Args:
            server: Server to send to.
            admitted: The request.
            resume_point: Where to resume the stream.
            failover_policy: How long to wait for the head.
        """
        opened = await self._opener.open(
            server, admitted, resume_point, failover_policy
        )
        if isinstance(opened, NotRun):
            return opened
        channel, failover_policy = opened
        self._server_check.add_channel(server, channel)
        call = ClientCall(channel)
        outgoing = self._codec.encode_request(
            admitted.req, _forwarding_options(server, admitted, resume_point)
        )
        result: Started | NotRun | Unsure | None = None
        try:
            result = await self._send_and_read_head(
                server, call, admitted, outgoing, failover_policy
            )
        finally:
            if not isinstance(result, Started):
                call.close()
                self.cancel_run(server, outgoing.cancel_request)
        return result

    async def send(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        failover_policy: FailoverPolicy,
    ) -> SendResult:
        """Sends a request and waits for the complete response."""
        started = await self.start(
            server, admitted, ResumePoint(), failover_policy
        )
        if not isinstance(started, Started):
            return started
        return await self.finish(
            server,
            admitted.req.attempt_id,
            started,
            failover_policy.deadline_s,
        )

    async def finish(
        self,
        server: BackendServer,
        request: str,
        started: Started,
        deadline_s: float,
    ) -> SendResult:
        """Reads the body of a response that is not a stream."""
        head = started.head
        if head.is_not_run:
            started.call.close()
            detail = f"rejected with status {head.status}"
            return NotRun(Reason.NODE_BUSY, detail, reached_server=True)
        try:
            async with asyncio.timeout_at(deadline_s):
                raw_head = ResponseHead(head.status, head.headers)
                answer = await started.call.read_rest(raw_head)
        except TimeoutError:
            return Unsure(
                Reason.DEADLINE, "the response was not complete in time"
            )
        except BrokenAnswerError as exc:
            return Unsure(Reason.ANSWER_LOST, str(exc))
        finally:
            started.call.close()
        if head.is_close_delimited:
            channel = started.call.channel
            end = await self._server_check.find_end(server, channel, request)
            self._server_check.end_unframed(channel)
            if end is not ProcessEnd.LIVES:
                return END_FAILURES[end]
        return Answered(head, answer.body)

    def cancel_run(
        self, server: BackendServer, cancel_request: CancelRequest | None
    ) -> None:
        """Cancels a run that would continue without its connection."""
        self._canceller.cancel(server, cancel_request)

    async def _send_and_read_head(
        self,
        server: BackendServer,
        call: ClientCall,
        admitted: AdmittedRequest,
        outgoing: OutgoingRequest,
        failover_policy: FailoverPolicy,
    ) -> Started | NotRun | Unsure:
        try:
            call.send(
                outgoing.method,
                outgoing.target,
                outgoing.headers,
                outgoing.body,
            )
        except BrokenAnswerError as exc:
            return NotRun(Reason.BAD_REQUEST, str(exc), reached_server=False)
        wait = self._reach.begin_wait(server, admitted.req.attempt_id)
        try:
            head = await self._head_reader.read(
                server, call, admitted.req, failover_policy
            )
        finally:
            has_answer = call.channel.has_received
            self._reach.end_wait(wait, has_answer=has_answer)
        if isinstance(head, Unsure):
            return head
        if head.is_close_delimited:
            self._server_check.begin_unframed(server, call.channel)
        return Started(call, head, outgoing.run_id, outgoing.cancel_request)


def _forwarding_options(
    server: BackendServer, admitted: AdmittedRequest, resume_point: ResumePoint
) -> ForwardingOptions:
    is_generation = admitted.req.generation is not None
    return ForwardingOptions(
        server_id=server.entry.server_id,
        time_left_s=admitted.deadline_s - time.monotonic(),
        team=None if admitted.team is None else admitted.team.name,
        priority=admitted.priority if is_generation else None,
        resume_after=resume_point.after,
        kv_copy=resume_point.kv_copy,
        model_version=admitted.service.model_version,
    )
