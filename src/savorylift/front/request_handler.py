"""Serves one caller's request: here, at another node, or not at all."""

import asyncio
import contextlib
import time
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.exchange.admission import (
    AdmittedRequest,
    admit,
    refusal_for_team,
)
from savorylift.exchange.codec import Codec
from savorylift.exchange.generation import GenerationDispatcher
from savorylift.exchange.plain_call import (
    PlainCallDispatcher,
    serve_within_deadline,
)
from savorylift.exchange.request import CallerRequest
from savorylift.exchange.results import Answered, Refused
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.team_limits import TeamLimits
from savorylift.fleet.store_view import StoreView
from savorylift.front.call_durations import CallDurations
from savorylift.front.caller_sink import CallerSink
from savorylift.front.lifecycle import Lifecycle
from savorylift.front.node_relay import NodeRelay
from savorylift.front.responder import Responder
from savorylift.outcomes import Ending, Reason
from savorylift.routing.configuration import RouteKind
from savorylift.wire.message import Request
from savorylift.wire.server_connection import ServerConnection

# Retry-After of a stream that a draining node refuses: other nodes accept it at
# once.
DRAINING_RETRY_S = 0.02
BUSY_RETRY_S = 1.0
# A call may take longer than those before it, by this factor.
DURATION_FACTOR = 1.3
# A starting node gets its configuration within this time if the store or a peer
# answers. After that the request is refused and the caller may retry.
MAX_STARTING_WAIT_S = 0.8
# Largest share of a request's remaining time that this wait may take.
STARTING_WAIT_SHARE = 0.2

# Refusals by a node that may have been cut off from the servers meanwhile.
UNREACHED_REASONS = frozenset(
    {Reason.BACKEND_LOST, Reason.NO_BACKEND_SERVER, Reason.QUEUE_FULL}
)


class RequestHandlerOptions(NamedTuple):
    """Limits for callers' requests.

    Attributes:
        default_timeout_s: Timeout of requests for which neither route nor
            caller sets a shorter one.
        most_open: Most requests served at the same time.
    """

    default_timeout_s: float
    most_open: int


class RequestHandler:
    """Admits requests, and has each served or refused."""

    def __init__(
        self,
        responder: Responder,
        store_view: StoreView,
        pool: ServerPool,
        plain_calls: PlainCallDispatcher,
        generations: GenerationDispatcher,
        codec: Codec,
        lifecycle: Lifecycle,
        relay: NodeRelay,
        options: RequestHandlerOptions,
    ) -> None:
        """Connects the parts that serve requests.

        Args:
            responder: Writes, counts and logs answers.
            store_view: The configuration in use.
            pool: Backend servers and the retry budget.
            plain_calls: Serves requests to plain services.
            generations: Serves streamed generations.
            codec: Encodes the events of streams.
            lifecycle: Open requests; says whether the node is draining.
            relay: Hands requests over to nodes that reach the servers.
            options: Limits for requests.
        """
        self._responder = responder
        self._store_view = store_view
        self._pool = pool
        self._plain_calls = plain_calls
        self._generations = generations
        self._codec = codec
        self._lifecycle = lifecycle
        self._relay = relay
        self._options = options
        self._team_limits = TeamLimits()
        self._durations = CallDurations()

    async def serve(
        self, conn: ServerConnection, req: Request, caller_req: CallerRequest
    ) -> None:
        """Serves a request and writes its answer.

        Args:
            conn: Connection of the caller, or of a node that hands it over.
            req: The request as it came.
            caller_req: The same, decoded.
        """
        await self._wait_for_configuration(caller_req)
        admission = admit(
            caller_req,
            self._store_view.configuration,
            self._options.default_timeout_s,
        )
        if not is_successful(admission):
            self._responder.respond(conn, caller_req, admission.failure())
            return
        admitted = admission.unwrap()
        if not self._is_for_other_node(conn, admitted):
            self._pool.retries.count_request(admitted.service.name)
        refused = (
            self._refuse_while_draining(admitted) or self._refuse_overload()
        )
        if refused is not None:
            self._responder.respond(conn, caller_req, refused)
            return
        with self._team_limits.track_request(admitted.team) as is_within_limit:
            if is_within_limit:
                await self._serve_admitted(conn, req, admitted)
            else:
                self._responder.respond(
                    conn, caller_req, _team_limit_refusal(admitted)
                )

    async def _serve_admitted(
        self, conn: ServerConnection, req: Request, admitted: AdmittedRequest
    ) -> None:
        answer: Answered | Refused | None = None
        if not self._is_for_other_node(conn, admitted):
            answer = await self._serve_here(conn, admitted)
            if not _is_unreached(answer) or not self._is_for_other_node(
                conn, admitted
            ):
                if answer is not None:
                    self._responder.respond(conn, admitted.req, answer)
                return
        answer = await self._relay.serve(conn, req, admitted)
        if answer is not None:
            self._responder.respond(conn, admitted.req, answer)

    async def _serve_here(
        self, conn: ServerConnection, admitted: AdmittedRequest
    ) -> Answered | Refused | None:
        """Serves a request at the servers; returns the answer yet to send."""
        if admitted.route.kind is not RouteKind.STREAM:
            with self._durations.measure(admitted.service.name):
                return await serve_within_deadline(admitted, self._plain_calls)
        caller_sink = CallerSink(conn)
        event_sink = self._codec.make_event_sink(admitted.req, caller_sink)
        answer = await self._generations.serve(admitted, event_sink)
        if answer is None:
            self._responder.record_stream(admitted, caller_sink)
        return answer

    def _is_for_other_node(
        self, conn: ServerConnection, admitted: AdmittedRequest
    ) -> bool:
        """Whether another node must serve a request that came from none."""
        if conn.added_headers:
            return False
        return self._relay.is_needed(admitted)

    async def _wait_for_configuration(self, caller_req: CallerRequest) -> None:
        """Waits briefly for the first configuration on a starting node."""
        if self._store_view.configuration is not None:
            return
        time_left_s = caller_req.time_left_s or MAX_STARTING_WAIT_S
        max_wait_s = min(MAX_STARTING_WAIT_S, STARTING_WAIT_SHARE * time_left_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_wait_s):
                await self._store_view.configuration_loaded.wait()

    def _refuse_while_draining(
        self, admitted: AdmittedRequest
    ) -> Refused | None:
        """Refuses what a draining node may not be able to finish."""
        if not self._lifecycle.is_leaving:
            return None
        is_stream = admitted.route.kind is RouteKind.STREAM
        time_left_s = admitted.deadline_s - time.monotonic()
        longest_s = self._durations.longest_s(admitted.service.name)
        if longest_s is not None:
            time_left_s = min(time_left_s, DURATION_FACTOR * longest_s)
        if not is_stream and self._lifecycle.may_begin(time_left_s):
            return None
        return Refused(
            503,
            Reason.NODE_DRAINING,
            "This node is leaving; another one takes the request.",
            DRAINING_RETRY_S,
        )

    def _refuse_overload(self) -> Refused | None:
        """Refuses requests above the limit, to bound the memory in use."""
        if self._lifecycle.open_requests <= self._options.most_open:
            return None
        message = "This node serves as many requests as it can."
        return Refused(503, Reason.NODE_BUSY, message, BUSY_RETRY_S)


def _is_unreached(answer: Answered | Refused | None) -> bool:
    """Whether a request did not run since no server took it."""
    return (
        isinstance(answer, Refused)
        and answer.ending is Ending.NOT_RUN
        and answer.reason in UNREACHED_REASONS
    )


def _team_limit_refusal(admitted: AdmittedRequest) -> Refused:
    assert admitted.team is not None
    message = f"Team {admitted.team.name} has too many open requests."
    return refusal_for_team(
        admitted.team, 429, Reason.TEAM_LIMIT, message, BUSY_RETRY_S
    )
