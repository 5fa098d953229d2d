"""Serves callers' connections, one request at a time on each."""

import asyncio
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful

from savorylift.exchange import metrics
from savorylift.exchange.codec import Codec
from savorylift.exchange.request import CallerRequest
from savorylift.exchange.results import Refused
from savorylift.front.lifecycle import Lifecycle
from savorylift.front.request_handler import RequestHandler
from savorylift.front.responder import Responder, age_ms
from savorylift.outcomes import Reason
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import BadRequest, CloseReason
from savorylift.wire.server_connection import ServerConnection

REASON_BY_STATUS = {
    408: Reason.SLOW_REQUEST,
    413: Reason.BODY_TOO_LARGE,
    431: Reason.BODY_TOO_LARGE,
    503: Reason.NODE_FULL,
}

_log = structlog.get_logger()


class CallerHandler:
    """Reads callers' requests and writes exactly one response to each."""

    def __init__(
        self,
        responder: Responder,
        requests: RequestHandler,
        codec: Codec,
        lifecycle: Lifecycle,
        answer_locally: Callable[[Request], Response | None],
    ) -> None:
        """Connects the parts that serve requests.

        Args:
            responder: Writes, counts and logs answers.
            requests: Serves requests that could be decoded.
            codec: Decodes requests.
            lifecycle: Counts open requests; says whether the node is draining.
            answer_locally: Answers requests that are for the node itself;
                returns None for all others.
        """
        self._responder = responder
        self._requests = requests
        self._codec = codec
        self._lifecycle = lifecycle
        self._answer_locally = answer_locally

    async def serve(self, conn: ServerConnection) -> None:
        """Serves the requests of a connection until it is closed."""
        while True:
            if self._lifecycle.is_leaving:
                conn.is_closing = True
            req = await conn.next_request()
            if isinstance(req, CloseReason):
                return
            if isinstance(req, BadRequest):
                self.refuse_unreadable(conn, req)
                break
            if self._lifecycle.is_leaving:
                conn.is_closing = True
            await self._handle(conn, req)
            # Neither a slow reader nor an idle connection must keep it.
            del req
            conn.release_body()
            await conn.flush()
            if not conn.prepare_next_request():
                break
        await conn.channel.close_gracefully()

    async def serve_relayed(self, conn: ServerConnection, req: Request) -> None:
        """Serves a request that another node hands over, and no other one."""
        conn.is_closing = True
        await self._handle(conn, req)
        await conn.flush()
        await conn.channel.close_gracefully()

    async def _handle(self, conn: ServerConnection, req: Request) -> None:
        local_response = self._answer_locally(req)
        if local_response is not None:
            conn.respond(
                local_response.status,
                local_response.headers,
                local_response.body,
            )
            return
        decoded = self._codec.decode_request(req)
        if not is_successful(decoded):
            self._responder.respond(conn, None, decoded.failure())
            return
        caller_req = decoded.unwrap()
        self._lifecycle.begin_request()
        metrics.OPEN_REQUESTS.inc()
        try:
            await self._serve_until_disconnect(conn, req, caller_req)
        finally:
            metrics.OPEN_REQUESTS.dec()
            self._lifecycle.end_request()

    async def _serve_until_disconnect(
        self, conn: ServerConnection, req: Request, caller_req: CallerRequest
    ) -> None:
        """Serves a request until its caller disconnects or the node ends."""
        serve_task = asyncio.ensure_future(
            self._requests.serve(conn, req, caller_req)
        )
        disconnect_task = asyncio.ensure_future(conn.channel.peer_closed.wait())
        try:
            with self._lifecycle.watch_end() as ended:
                await asyncio.wait(
                    (serve_task, disconnect_task, ended),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            is_caller_gone = disconnect_task.done() and not serve_task.done()
            if is_caller_gone:
                metrics.CALLERS_GONE.inc()
                _log.info(
                    "caller_gone",
                    request=caller_req.attempt_id,
                    after_ms=age_ms(caller_req),
                )
        finally:
            disconnect_task.cancel()
            if not serve_task.done():
                serve_task.cancel()
                await asyncio.wait((serve_task,))
        if not serve_task.cancelled():
            serve_task.result()
        elif is_caller_gone:
            return
        elif conn.awaits_response:
            message = "This node stops; the request may have run."
            refused = Refused(502, Reason.NODE_DRAINING, message)
            self._responder.respond(conn, caller_req, refused)
        else:
            self._responder.record_cut(conn, caller_req)

    def refuse_unreadable(
        self, conn: ServerConnection, req: BadRequest
    ) -> None:
        """Refuses a request that wasn't read whole."""
        conn.is_closing = True
        reason = REASON_BY_STATUS.get(req.status, Reason.BAD_REQUEST)
        refused = Refused(req.status, reason, req.message, req.retry_after_s)
        self._responder.respond(conn, None, refused)
