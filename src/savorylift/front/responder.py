"""Writes answers to callers, and counts and logs them."""

import time

import structlog

from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.codec import Codec
from savorylift.exchange.request import CallerRequest
from savorylift.exchange.results import Answered, Refused
from savorylift.fleet.store_view import StoreView
from savorylift.front.caller_sink import CallerSink
from savorylift.front.relay_headers import RELAY_REFUSED
from savorylift.outcomes import Ending, Reason
from savorylift.refusals.counts import RefusalCounts
from savorylift.wire.server_connection import ServerConnection

# Refusals that another node might not give.
NODE_REASONS = frozenset(
    {
        Reason.BACKEND_LOST,
        Reason.NO_BACKEND_SERVER,
        Reason.NODE_BUSY,
        Reason.NODE_FULL,
        Reason.NODE_STARTING,
        Reason.NODE_DRAINING,
    }
)

_log = structlog.get_logger()


class Responder:
    """Writes one complete response to each request that needs one."""

    def __init__(
        self,
        refusal_counts: RefusalCounts,
        store_view: StoreView,
        codec: Codec,
    ) -> None:
        """Creates a responder.

        Args:
            refusal_counts: Counts refused requests, to be saved in the store.
            store_view: The configuration in use.
            codec: Encodes refusals.
        """
        self._refusal_counts = refusal_counts
        self._store_view = store_view
        self._codec = codec

    def respond(
        self,
        conn: ServerConnection,
        caller_req: CallerRequest | None,
        answer: Answered | Refused,
    ) -> None:
        """Writes a complete response, or a refusal of this node.

        Args:
            conn: The caller's connection.
            caller_req: The request; None if it can't be read.
            answer: The answer.
        """
        if isinstance(answer, Answered):
            _write_answer(conn, answer)
            status = answer.head.status
            reason = detail = "answered"
        else:
            self._refuse(conn, caller_req, answer)
            status = answer.status
            reason, detail = answer.reason.value, answer.message
        metrics.ANSWERS.labels(str(status)).inc()
        if caller_req is None:
            _log.info(
                "request_unreadable",
                peer=conn.channel.peer,
                status=status,
                detail=detail,
            )
            return
        took_ms = age_ms(caller_req)
        metrics.ANSWER_TIME.labels("whole").observe(took_ms / 1000)
        cfg = self._store_view.configuration
        _log.info(
            "answer",
            request=caller_req.attempt_id,
            status=status,
            reason=reason,
            took_ms=took_ms,
            path=caller_req.path,
            configuration=cfg and cfg.version,
        )

    def _refuse(
        self,
        conn: ServerConnection,
        caller_req: CallerRequest | None,
        refused: Refused,
    ) -> None:
        """Writes a refusal of this node, and counts it."""
        if conn.added_headers and _is_up_to_node(refused):
            conn.add_headers(RELAY_REFUSED)
        headers, body = self._codec.encode_refusal(caller_req, refused)
        conn.respond(refused.status, headers, body)
        self._count_refusal(caller_req, refused)

    def _count_refusal(
        self, caller_req: CallerRequest | None, refused: Refused
    ) -> None:
        """Counts a refusal in the metrics and for the refusal report."""
        metrics.REFUSALS.labels(refused.reason.value).inc()
        cfg = self._store_view.configuration
        teams_by_key = {} if cfg is None else cfg.teams_by_key or {}
        team = (
            teams_by_key.get(caller_req.api_key or "")
            if caller_req is not None
            else None
        )
        name = "" if team is None else team.name
        self._refusal_counts.add(time.time(), name, refused)

    def record_stream(
        self, admitted: AdmittedRequest, sink: CallerSink
    ) -> None:
        """Counts and logs a stream that has ended, whole or not."""
        metrics.ANSWERS.labels("200").inc()
        if sink.is_aborted:
            aborted = Refused(200, Reason.ANSWER_LOST, "The stream was cut.")
            self._count_refusal(admitted.req, aborted)
        _log.info(
            "stream",
            request=admitted.req.attempt_id,
            route=admitted.route.name,
            took_ms=age_ms(admitted.req),
            is_aborted=sink.is_aborted,
        )

    def record_cut(
        self, conn: ServerConnection, caller_req: CallerRequest
    ) -> None:
        """Counts and logs a response that the end of this node cuts off."""
        looks_whole = conn.ends_on_close
        metrics.RESPONSES_CUT.labels(str(looks_whole).lower()).inc()
        _log.warning(
            "response_cut",
            request=caller_req.attempt_id,
            took_ms=age_ms(caller_req),
            looks_whole=looks_whole,
        )


def _write_answer(conn: ServerConnection, answered: Answered) -> None:
    """Writes the answer of a backend server."""
    head = answered.head
    respond = conn.respond
    if head.is_close_delimited:
        respond = conn.respond_unframed
    respond(head.status, head.headers, answered.body)


def _is_up_to_node(refused: Refused) -> bool:
    """Whether another node may take a request that did not run."""
    return refused.ending is Ending.NOT_RUN and refused.reason in NODE_REASONS


def age_ms(caller_req: CallerRequest) -> int:
    """Returns the time since a request arrived, in milliseconds."""
    return round((time.monotonic() - caller_req.arrived_s) * 1000)
