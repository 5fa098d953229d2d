"""Hands requests over to other nodes while this one reaches no server.

The other node serves such a request like any other: it admits it anew, with the
time that is left. It hands it on to nobody.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import structlog

from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.results import Refused
from savorylift.exchange.server_reach import ServerReach
from savorylift.fleet.membership import Membership
from savorylift.outcomes import Reason
from savorylift.wire.channel import connect
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.message import (
    Headers,
    Request,
    Response,
    end_to_end_headers,
)
from savorylift.wire.request_input import BadRequest
from savorylift.wire.server_connection import ServerConnection

# Marks requests between nodes, and the responses of nodes that understand it.
RELAY_HEADER = "savorylift-relay"
RELAYED: Headers = ((RELAY_HEADER, "1"),)
# The response is a refusal of that node, and the request did not run.
RELAY_REFUSED: Headers = ((RELAY_HEADER, "refused"),)
MAX_NODES = 3
CONNECT_TIMEOUT_S = 0.25
# The other node answers at the deadline; its answer has yet to arrive.
DEADLINE_SLACK_S = 0.2
UNREACHED_RETRY_S = 1.0
# For how long the nodes that reach a service are not looked up again.
CACHE_S = 0.1

_log = structlog.get_logger()


class TimeLeftEncoder(Protocol):
    """Encodes how long a caller still waits, as a header."""

    def encode_time_left(self, time_left_s: float) -> tuple[str, str]:
        """Returns the header."""
        ...


class _Passed(NamedTuple):
    """An answer that was passed on to the caller, whole or not."""

    status: int


class _NotTaken(NamedTuple):
    """Another node did not serve the request, so that a third one may.

    Attributes:
        detail: Why, for logs.
        refusal: Its response, if it sent one.
    """

    detail: str
    refusal: Response | None = None


class _Lost(NamedTuple):
    """There was no whole answer; the request may have run."""

    reason: Reason
    detail: str


class NodeRelay:
    """Chooses the nodes to hand requests over to, and passes answers on."""

    def __init__(
        self,
        peer_port: int,
        membership: Membership,
        reach: ServerReach,
        time_left: TimeLeftEncoder,
        rng: random.Random,
    ) -> None:
        """Creates a relay without requests.

        Args:
            peer_port: Port for requests between nodes, the same on all.
            membership: The other nodes.
            reach: Which services this node doesn't reach.
            time_left: Encodes the time that is left for a request.
            rng: Spreads the requests over the nodes.
        """
        self._peer_port = peer_port
        self._membership = membership
        self._reach = reach
        self._time_left = time_left
        self._rng = rng
        # Requests under way, by the address of the node that serves them.
        self._open: dict[str, int] = {}
        # Nodes by service and regions, until a monotonic time.
        self._cached: dict[tuple[str, frozenset[str] | None], list[str]] = {}
        self._cached_until_s = 0.0

    def is_needed(self, admitted: AdmittedRequest) -> bool:
        """Whether another node must serve a request, and one can."""
        if not self._reach.is_cut_off(admitted.service.name):
            return False
        return bool(self._candidates(admitted))

    async def serve(
        self, conn: ServerConnection, req: Request, admitted: AdmittedRequest
    ) -> Refused | None:
        """Hands a request over and passes the answer on to its caller.

        Returns:
            The refusal if no node serves it; None if the caller has an answer.
        """
        tried: set[str] = set()
        lost: _Lost | None = None
        refusal: Response | None = None
        may_repeat = admitted.is_idempotent and admitted.route.max_attempts > 1
        for _ in range(MAX_NODES):
            ip = self._choose(admitted, tried)
            if ip is None:
                break
            tried.add(ip)
            outcome = await self._serve_at(ip, conn, req, admitted)
            _log_outcome(admitted, ip, outcome)
            if isinstance(outcome, _Passed):
                return None
            if isinstance(outcome, _NotTaken):
                refusal = outcome.refusal or refusal
                continue
            lost = outcome
            if not conn.awaits_response:
                # Without its end, the caller can tell that it is incomplete.
                conn.is_closing = True
                conn.channel.close()
                return None
            if not may_repeat or lost.reason is Reason.DEADLINE:
                break
            may_repeat = False
        if lost is not None:
            return _lost_refusal(lost)
        if refusal is not None:
            _pass_whole(conn, refusal)
            return None
        message = "This node reaches no backend server; it did not run."
        reason = Reason.NO_BACKEND_SERVER
        return Refused(503, reason, message, UNREACHED_RETRY_S)

    def _candidates(self, admitted: AdmittedRequest) -> list[str]:
        """Returns the nodes that reach the service, as of a moment ago."""
        key = admitted.service.name, admitted.regions
        now_s = time.monotonic()
        if now_s >= self._cached_until_s:
            self._cached_until_s = now_s + CACHE_S
            self._cached.clear()
        if key not in self._cached:
            self._cached[key] = self._membership.find_reaching(*key, now_s)
        return self._cached[key]

    def _choose(self, admitted: AdmittedRequest, tried: set[str]) -> str | None:
        """Returns the less busy of two nodes drawn at random."""
        found = self._candidates(admitted)
        candidates = [ip for ip in found if ip not in tried]
        if not candidates:
            return None
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda ip: self._open.get(ip, 0))

    async def _serve_at(
        self,
        ip: str,
        conn: ServerConnection,
        req: Request,
        admitted: AdmittedRequest,
    ) -> _Passed | _NotTaken | _Lost:
        try:
            channel = await connect(ip, self._peer_port, CONNECT_TIMEOUT_S)
        except OSError as exc:
            return _NotTaken(f"{type(exc).__name__}: {exc}")
        call = ClientCall(channel)
        self._open[ip] = self._open.get(ip, 0) + 1
        try:
            until_s = admitted.deadline_s + DEADLINE_SLACK_S
            async with asyncio.timeout_at(until_s):
                call.send(
                    req.method,
                    req.target,
                    self._headers(req, admitted),
                    req.body,
                )
                return await _pass_on(call, conn)
        except TimeoutError:
            return _Lost(Reason.DEADLINE, "no whole answer in time")
        except BrokenAnswerError as exc:
            return _Lost(Reason.ANSWER_LOST, str(exc))
        finally:
            call.close()
            self._open[ip] -= 1
            if not self._open[ip]:
                del self._open[ip]

    def _headers(self, req: Request, admitted: AdmittedRequest) -> Headers:
        time_left_s = admitted.deadline_s - time.monotonic()
        name, value = self._time_left.encode_time_left(time_left_s)
        kept = tuple(
            item for item in end_to_end_headers(req.headers) if item[0] != name
        )
        return (*kept, (name, value), *RELAYED)


async def _pass_on(
    call: ClientCall, conn: ServerConnection
) -> _Passed | _NotTaken:
    """Passes a node's answer on as it comes.

    Raises:
        BrokenAnswerError: It is incomplete, or there is none.
    """
    head = await call.read_head()
    relayed = head.header(RELAY_HEADER)
    if relayed is None:
        # A build that serves no other nodes' requests.
        return _NotTaken("the node knows no such requests")
    has_length = head.header("content-length") is not None
    if relayed == RELAY_REFUSED[0][1]:
        return _NotTaken("the node refused", await call.read_rest(head))
    if has_length:
        _pass_whole(conn, await call.read_rest(head))
        return _Passed(head.status)
    conn.start_response(
        head.status,
        _passed_headers(head.headers),
        is_close_delimited=head.is_close_delimited,
    )
    while (chunk := await call.read_body_chunk()) is not None:
        conn.send_body(chunk)
        await conn.channel.drain()
    conn.end_response()
    return _Passed(head.status)


def peer_connection_handler(
    handle_request: Callable[[Request], Awaitable[Response]],
    serve_relayed: Callable[[ServerConnection, Request], Awaitable[None]],
    refuse_unreadable: Callable[[ServerConnection, BadRequest], None],
) -> Callable[[ServerConnection], Awaitable[None]]:
    """Returns a handler of connections from other nodes.

    Args:
        handle_request: Answers what concerns only the nodes.
        serve_relayed: Serves a caller's request that a node hands over.
        refuse_unreadable: Refuses a request that wasn't read whole.
    """

    async def serve(conn: ServerConnection) -> None:
        req = await conn.next_request()
        if isinstance(req, BadRequest) and req.retry_after_s is not None:
            # Without an answer, it would count as run.
            conn.add_headers(RELAYED)
            refuse_unreadable(conn, req)
            await conn.channel.close_gracefully()
            return
        if not isinstance(req, Request):
            return
        if req.header_values(RELAY_HEADER):
            conn.add_headers(RELAYED)
            await serve_relayed(conn, without_mark(req))
            return
        conn.is_closing = True
        response = await handle_request(req)
        conn.respond(response.status, response.headers, response.body)
        await conn.flush()
        await conn.channel.close_gracefully()

    return serve


def without_mark(req: Request) -> Request:
    """Returns a request as its caller sent it to the first node."""
    headers = tuple(item for item in req.headers if item[0] != RELAY_HEADER)
    return req._replace(headers=headers)


def _pass_whole(conn: ServerConnection, response: Response) -> None:
    headers = _passed_headers(response.headers)
    conn.respond(response.status, headers, response.body)


def _passed_headers(headers: Headers) -> Headers:
    return tuple(
        item for item in end_to_end_headers(headers) if item[0] != RELAY_HEADER
    )


def _lost_refusal(lost: _Lost) -> Refused:
    status = 504 if lost.reason is Reason.DEADLINE else 502
    message = "Another node gave no whole answer; the request may have run."
    return Refused(status, lost.reason, message)


def _log_outcome(
    admitted: AdmittedRequest, ip: str, outcome: _Passed | _NotTaken | _Lost
) -> None:
    metrics.RELAYED.labels(type(outcome).__name__.strip("_").lower()).inc()
    _log.info(
        "relayed",
        request=admitted.req.attempt_id,
        service=admitted.service.name,
        node=ip,
        ending=type(outcome).__name__.strip("_"),
        detail=(
            str(outcome.status)
            if isinstance(outcome, _Passed)
            else outcome.detail
        ),
    )
