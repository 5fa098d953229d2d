"""Serves callers' connections: one request at a time, one final answer."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful

from savorylift.account.counts import RefusalCounts
from savorylift.exchange import counters
from savorylift.exchange.admission import Admitted, admit, refused_by_rule
from savorylift.exchange.codec import Codec
from savorylift.exchange.ending import Answered, Refused
from savorylift.exchange.generation import Generations
from savorylift.exchange.plain_call import PlainCalls, within_deadline
from savorylift.exchange.pool import Pool
from savorylift.exchange.request import CallerRequest
from savorylift.exchange.team_limits import TeamLimits
from savorylift.fleet.knowledge import Knowledge
from savorylift.front.caller_sink import CallerSink
from savorylift.front.life import Life
from savorylift.outcomes import Reason
from savorylift.routing.configuration import Kind
from savorylift.wire.message import Request, Response
from savorylift.wire.server_connection import (
    BadRequest,
    Closing,
    ServerConnection,
)

# Another node takes the request at once.
LEAVING_RETRY_S = 0.02
BUSY_RETRY_S = 1.0
# A node that starts has its configuration within this time, if the store or
# another node answers; longer waiting is left to the caller.
STARTING_HOLD_S = 0.8
STARTING_SHARE = 0.2

UNREAD = {
    408: Reason.SLOW_REQUEST,
    413: Reason.BODY_TOO_LARGE,
    431: Reason.BODY_TOO_LARGE,
}

_log = structlog.get_logger()


class DoorOptions(NamedTuple):
    """Bounds on callers' requests.

    Attributes:
        default_timeout_s: Bound on a request that names no other.
        most_open: Requests that are served at once.
    """

    default_timeout_s: float
    most_open: int


class CallerDoor:
    """Takes requests from callers and gives each its final answer."""

    def __init__(
        self,
        counts: RefusalCounts,
        knowledge: Knowledge,
        pool: Pool,
        calls: PlainCalls,
        generations: Generations,
        codec: Codec,
        life: Life,
        cfg: DoorOptions,
        answer_local: Callable[[Request], Response | None],
    ) -> None:
        """Takes the parts that serve requests."""
        self._counts = counts
        self._knowledge = knowledge
        self._pool = pool
        self._calls = calls
        self._generations = generations
        self._codec = codec
        self._life = life
        self._cfg = cfg
        self._answer_local = answer_local
        self._teams = TeamLimits()

    async def serve(self, conn: ServerConnection) -> None:
        """Serves a connection until it ends."""
        while True:
            if self._life.is_leaving:
                conn.is_closing = True
            req = await conn.next_request()
            if isinstance(req, Closing):
                return
            if isinstance(req, BadRequest):
                self._refuse_unread(conn, req)
                break
            if self._life.is_leaving:
                conn.is_closing = True
            await self._exchange(conn, req)
            await conn.channel.drain()
            if not conn.can_go_on():
                break
        await conn.channel.close_gently()

    async def _exchange(self, conn: ServerConnection, req: Request) -> None:
        local = self._answer_local(req)
        if local is not None:
            conn.respond(local.status, local.headers, local.body)
            return
        decoded = self._codec.request(req)
        if not is_successful(decoded):
            self._answer(conn, None, decoded.failure())
            return
        asked = decoded.unwrap()
        self._life.begin()
        counters.OPEN_REQUESTS.inc()
        try:
            await self._while_caller_waits(conn, asked)
        finally:
            counters.OPEN_REQUESTS.dec()
            self._life.end()

    async def _while_caller_waits(
        self, conn: ServerConnection, asked: CallerRequest
    ) -> None:
        """Serves a request, and stops at once when its caller leaves."""
        work = asyncio.ensure_future(self._serve_one(conn, asked))
        gone = asyncio.ensure_future(conn.channel.gone.wait())
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                counters.CALLERS_GONE.inc()
                _log.info(
                    "caller_gone",
                    request=asked.attempt_id,
                    after_ms=_age_ms(asked),
                )
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                await asyncio.wait((work,))
        if not work.cancelled():
            work.result()

    async def _serve_one(
        self, conn: ServerConnection, asked: CallerRequest
    ) -> None:
        await self._wait_for_configuration(asked)
        admitted = admit(
            asked, self._knowledge.configuration, self._cfg.default_timeout_s
        )
        if not is_successful(admitted):
            self._answer(conn, asked, admitted.failure())
            return
        adm = admitted.unwrap()
        self._pool.count_request(adm.service.name)
        refused = self._refuse_while_leaving(adm) or self._refuse_excess()
        if refused is not None:
            self._answer(conn, asked, refused)
            return
        with self._teams.open(adm.team) as is_within:
            if is_within:
                await self._serve_admitted(conn, adm)
            else:
                self._answer(conn, asked, _over_limit(adm))

    async def _serve_admitted(
        self, conn: ServerConnection, adm: Admitted
    ) -> None:
        asked = adm.req
        if adm.route.kind is Kind.STREAM:
            caller = CallerSink(conn)
            sink = self._codec.sink(asked, caller)
            answer = await self._generations.serve(adm, sink)
            if answer is None:
                self._log_stream(adm, caller)
                return
        else:
            answer = await within_deadline(adm, self._calls)
        self._answer(conn, asked, answer)

    async def _wait_for_configuration(self, asked: CallerRequest) -> None:
        """Holds a request for a moment on a node that has just started."""
        if self._knowledge.configuration is not None:
            return
        time_left_s = asked.time_left_s or STARTING_HOLD_S
        hold_s = min(STARTING_HOLD_S, STARTING_SHARE * time_left_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(hold_s):
                await self._knowledge.is_configured.wait()

    def _refuse_while_leaving(self, adm: Admitted) -> Refused | None:
        """Refuses a stream that would outlast this node."""
        if adm.route.kind is not Kind.STREAM or not self._life.is_leaving:
            return None
        return Refused(
            503,
            Reason.NODE_DRAINING,
            "This node is leaving; another one takes the request.",
            LEAVING_RETRY_S,
        )

    def _refuse_excess(self) -> Refused | None:
        """Refuses what this node's memory could not hold."""
        if self._life.open_requests <= self._cfg.most_open:
            return None
        message = "This node serves as many requests as it can."
        return Refused(503, Reason.NODE_BUSY, message, BUSY_RETRY_S)

    def _answer(
        self,
        conn: ServerConnection,
        asked: CallerRequest | None,
        answer: Answered | Refused,
    ) -> None:
        if isinstance(answer, Answered):
            status = answer.head.status
            conn.respond(status, answer.head.headers, answer.body)
            reason = detail = "answered"
        else:
            status = answer.status
            headers, body = self._codec.refusal(asked, answer)
            conn.respond(status, headers, body)
            reason, detail = answer.reason.value, answer.message
            self._account_for(asked, answer)
        counters.ANSWERS.labels(str(status)).inc()
        if asked is None:
            _log.info(
                "request_unreadable",
                peer=conn.channel.peer,
                status=status,
                detail=detail,
            )
            return
        age_ms = _age_ms(asked)
        counters.ANSWER_TIME.labels("whole").observe(age_ms / 1000)
        cfg = self._knowledge.configuration
        _log.info(
            "answer",
            request=asked.attempt_id,
            status=status,
            reason=reason,
            took_ms=age_ms,
            path=asked.path,
            configuration=cfg and cfg.version,
        )

    def _account_for(
        self, asked: CallerRequest | None, refused: Refused
    ) -> None:
        """Counts a request that was turned away."""
        counters.REFUSALS.labels(refused.reason.value).inc()
        cfg = self._knowledge.configuration
        keys = {} if cfg is None else cfg.teams_by_key or {}
        team = keys.get(asked.api_key or "") if asked is not None else None
        name = "" if team is None else team.name
        self._counts.add(time.time(), name, refused)

    def _log_stream(self, adm: Admitted, sink: CallerSink) -> None:
        counters.ANSWERS.labels("200").inc()
        if sink.is_aborted:
            cut = Refused(200, Reason.ANSWER_LOST, "The stream was cut.")
            self._account_for(adm.req, cut)
        _log.info(
            "stream",
            request=adm.req.attempt_id,
            route=adm.route.name,
            took_ms=_age_ms(adm.req),
            is_aborted=sink.is_aborted,
        )

    def _refuse_unread(self, conn: ServerConnection, req: BadRequest) -> None:
        conn.is_closing = True
        reason = UNREAD.get(req.status, Reason.BAD_REQUEST)
        refused = Refused(req.status, reason, req.message)
        self._answer(conn, None, refused)


def _over_limit(adm: Admitted) -> Refused:
    assert adm.team is not None
    message = f"Team {adm.team.name} has too many open requests."
    return refused_by_rule(
        adm.team, 429, Reason.TEAM_LIMIT, message, BUSY_RETRY_S
    )


def _age_ms(asked: CallerRequest) -> int:
    return round((time.monotonic() - asked.arrived_s) * 1000)
