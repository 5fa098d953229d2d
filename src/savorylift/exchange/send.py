"""Sends a request to one backend server."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog

from savorylift.backends.registry import Known
from savorylift.exchange.admission import Admitted
from savorylift.exchange.codec import Codec, Outgoing, Withdrawal
from savorylift.exchange.ending import Answered, NotRun, SendEnding, Unsure
from savorylift.exchange.request import (
    AnswerHead,
    Continuation,
    Forwarding,
)
from savorylift.outcomes import Reason
from savorylift.wire.channel import connect
from savorylift.wire.client_call import BrokenAnswerError, ClientCall, fetch
from savorylift.wire.message import ResponseHead

# Many round trips: a server that is there accepts within a few milliseconds.
CONNECT_S = 0.2
# How often another server is looked for once patience has ended.
LOOK_AGAIN_S = 0.1
WITHDRAW_S = 1.0
# Share of the objective after which a silent server is given up, where the
# request may be repeated: a second one can still answer in time.
PATIENCE = 0.6

_log = structlog.get_logger()


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

    @classmethod
    def of(
        cls,
        adm: Admitted,
        objective_s: float,
        has_alternative: Callable[[], bool],
        *,
        is_last: bool,
    ) -> "Patience":
        """Returns the patience with one server.

        Args:
            adm: The request.
            objective_s: Time within which an answer is due.
            has_alternative: As the attribute.
            is_last: Whether no other server may run the request.
        """
        until_s = adm.deadline_s
        if not is_last and adm.is_idempotent:
            until_s = time.monotonic() + PATIENCE * objective_s
        return cls(
            min(until_s, adm.deadline_s), adm.deadline_s, has_alternative
        )

    @property
    def may_give_up(self) -> bool:
        """Whether another server may be tried before the deadline."""
        return self.until_s < self.deadline_s


class Started(NamedTuple):
    """A request whose answer has begun.

    Attributes:
        call: The call; its body is still to be read.
        head: The answer's head.
        run_id: The server's name for the run.
        withdrawal: What ends the run, if closing the connection does not.
    """

    call: ClientCall
    head: AnswerHead
    run_id: str
    withdrawal: Withdrawal | None


class Sender:
    """Makes calls to backend servers."""

    def __init__(
        self, codec: Codec, is_usable: Callable[[Known], bool]
    ) -> None:
        """Asks `is_usable` again when a connection is there."""
        self._codec = codec
        self._is_usable = is_usable
        self._withdrawals: set[asyncio.Task[None]] = set()

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
        out = self._codec.outgoing(adm.req, _how(server, adm, resumption))
        result: Started | NotRun | Unsure | None = None
        try:
            result = await self._exchange(call, adm, out, patience)
        finally:
            if not isinstance(result, Started):
                call.close()
                self.withdraw(server, out.withdrawal)
        return result

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

    def withdraw(self, server: Known, withdrawal: Withdrawal | None) -> None:
        """Ends a run that goes on without its connection, if need be."""
        if withdrawal is None:
            return
        task = asyncio.get_running_loop().create_task(
            _withdraw(server, withdrawal)
        )
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    async def _exchange(
        self,
        call: ClientCall,
        adm: Admitted,
        out: Outgoing,
        patience: Patience,
    ) -> Started | Unsure:
        call.send(out.method, out.target, out.headers, out.body)
        try:
            raw = await _read_head(call, patience)
        except TimeoutError:
            return Unsure(Reason.DEADLINE, "no answer in time")
        except BrokenAnswerError as exc:
            return Unsure(Reason.ANSWER_LOST, str(exc))
        head = self._codec.answer_head(raw, adm.req)
        fault = _find_fault(head)
        if fault is not None:
            return Unsure(Reason.ANSWER_LOST, fault)
        return Started(call, head, out.run_id, out.withdrawal)


def _how(server: Known, adm: Admitted, resumption: Resumption) -> Forwarding:
    is_generation = adm.req.generation is not None
    return Forwarding(
        server_id=server.entry.server_id,
        time_left_s=adm.deadline_s - time.monotonic(),
        team=None if adm.team is None else adm.team.name,
        priority=adm.priority if is_generation else None,
        resume_after=resumption.after,
        continuation=resumption.continuation,
        model_version=adm.service.model_version,
    )


async def _withdraw(server: Known, withdrawal: Withdrawal) -> None:
    try:
        await fetch(
            server.entry.address,
            withdrawal.method,
            withdrawal.target,
            timeout_s=WITHDRAW_S,
            connect_s=CONNECT_S,
        )
    except (OSError, BrokenAnswerError) as exc:
        _log.info(
            "not_withdrawn",
            server=server.entry.server_id,
            target=withdrawal.target,
            detail=f"{type(exc).__name__}: {exc}",
        )


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
