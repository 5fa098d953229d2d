"""Sends a request to one backend server."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from savorylift.backends.registry import Known
from savorylift.exchange.admission import Admitted
from savorylift.exchange.ending import Answered, NotRun, SendEnding, Unsure
from savorylift.exchange.request import (
    AnswerHead,
    CallerRequest,
    Continuation,
    Forwarding,
)
from savorylift.outcomes import Reason
from savorylift.wire.channel import connect
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.message import Headers, ResponseHead

# Many round trips: a server that is there accepts within a few milliseconds.
CONNECT_S = 0.2
# How often another server is looked for once patience has ended.
LOOK_AGAIN_S = 0.1


class Codec(Protocol):
    """How requests and answers look to callers and backend servers."""

    def forwarded(self, req: CallerRequest, how: Forwarding) -> Headers:
        """Returns the headers for a backend server."""
        ...

    def answer_head(self, head: ResponseHead, attempt_id: str) -> AnswerHead:
        """Returns what the head of an answer says."""
        ...

    def refusal(
        self, message: str, retry_after_s: float | None
    ) -> tuple[Headers, bytes]:
        """Returns headers and body of the system's own answer."""
        ...


class Resumption(NamedTuple):
    """Where a stream goes on.

    Attributes:
        after: Last event that the caller has, as sent; None for all.
        continuation: Memory that the run goes on from.
    """

    after: str | None = None
    continuation: Continuation | None = None


class Patience(NamedTuple):
    """How long the head of an answer is waited for.

    Attributes:
        until_s: Steady time at which another server is considered.
        deadline_s: Steady time after which no answer is of use.
        has_alternative: Whether another server could take over now; without
            one, waiting goes on.
    """

    until_s: float
    deadline_s: float
    has_alternative: Callable[[], bool]


class Started(NamedTuple):
    """A request whose answer has begun.

    Attributes:
        call: The call; its body is still to be read.
        head: The answer's head.
    """

    call: ClientCall
    head: AnswerHead


class Sender:
    """Makes calls to backend servers."""

    def __init__(
        self, codec: Codec, is_usable: Callable[[Known], bool]
    ) -> None:
        """Asks `is_usable` again when a connection is there."""
        self._codec = codec
        self._is_usable = is_usable

    async def start(
        self,
        server: Known,
        adm: Admitted,
        resumption: Resumption,
        patience: Patience,
    ) -> Started | NotRun | Unsure:
        """Sends a request and returns the answer's head.

        Args:
            server: Where to.
            adm: The request.
            resumption: Where a stream goes on.
            patience: How long the head is waited for.
        """
        host, port = server.entry.address
        limit_s = min(CONNECT_S, patience.until_s - time.monotonic())
        try:
            channel = await connect(host, port, max(limit_s, 0.0))
        except OSError as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return NotRun(Reason.BACKEND_LOST, detail, has_arrived=False)
        if resumption.continuation is None and not self._is_usable(server):
            channel.abort()
            detail = "it began to leave"
            return NotRun(Reason.OUT_OF_SERVICE, detail, has_arrived=False)
        call = ClientCall(channel)
        try:
            return await self._exchange(call, server, adm, resumption, patience)
        except BaseException:
            call.close()
            raise

    async def send(
        self, server: Known, adm: Admitted, patience: Patience
    ) -> SendEnding:
        """Sends a request and returns how that ended."""
        started = await self.start(server, adm, Resumption(), patience)
        if not isinstance(started, Started):
            return started
        return await self.finish(started, patience.deadline_s)

    async def finish(self, started: Started, until_s: float) -> SendEnding:
        """Reads the rest of an answer that isn't a stream."""
        head = started.head
        if head.is_not_run:
            started.call.close()
            detail = f"rejected with {head.status}"
            return NotRun(Reason.NODE_BUSY, detail, has_arrived=True)
        try:
            async with asyncio.timeout_at(until_s):
                raw = ResponseHead(head.status, head.headers)
                answer = await started.call.read_rest(raw)
        except TimeoutError:
            return Unsure(Reason.DEADLINE, "the answer did not end in time")
        except BrokenAnswerError as exc:
            return Unsure(Reason.ANSWER_LOST, str(exc))
        finally:
            started.call.close()
        return Answered(head, answer.body)

    async def _exchange(
        self,
        call: ClientCall,
        server: Known,
        adm: Admitted,
        resumption: Resumption,
        patience: Patience,
    ) -> Started | Unsure:
        req = adm.req
        how = Forwarding(
            server_id=server.entry.server_id,
            time_left_s=adm.deadline_s - time.monotonic(),
            team=None if adm.team is None else adm.team.name,
            priority=adm.priority if req.generation is not None else None,
            resume_after=resumption.after,
            continuation=resumption.continuation,
        )
        headers = self._codec.forwarded(req, how)
        call.send(req.method, req.target, headers, req.body)
        try:
            raw = await _read_head(call, patience)
        except TimeoutError:
            call.close()
            return Unsure(Reason.DEADLINE, "no answer in time")
        except BrokenAnswerError as exc:
            call.close()
            return Unsure(Reason.ANSWER_LOST, str(exc))
        head = self._codec.answer_head(raw, req.attempt_id)
        fault = _find_fault(head)
        if fault is not None:
            call.close()
            return Unsure(Reason.ANSWER_LOST, fault)
        return Started(call, head)


async def _read_head(call: ClientCall, patience: Patience) -> ResponseHead:
    """Returns the head of an answer.

    Raises:
        TimeoutError: There is none in time.
        BrokenAnswerError: There will be none.
    """
    until_s = min(patience.until_s, patience.deadline_s)
    while True:
        try:
            async with asyncio.timeout_at(until_s):
                return await call.read_head()
        except TimeoutError:
            now_s = time.monotonic()
            if now_s >= patience.deadline_s or patience.has_alternative():
                raise
            until_s = min(now_s + LOOK_AGAIN_S, patience.deadline_s)


def _find_fault(head: AnswerHead) -> str | None:
    """Says why an answer can't be passed on, or None if it can."""
    if head.is_not_run:
        return None
    if not head.is_ours:
        return "the answer belongs to another request"
    if head.is_success and not head.is_signed:
        return "a success without the server's mark"
    if any(name == "content-encoding" for name, _ in head.headers):
        return "an encoding that was not asked for"
    return None
