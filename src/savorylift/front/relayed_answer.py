"""The answer of a node to a request that was handed over to it."""

from typing import NamedTuple

import structlog

from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.results import Refused
from savorylift.front.relay_headers import (
    RELAY_HEADER,
    RELAY_REFUSED,
    passed_headers,
)
from savorylift.outcomes import Reason
from savorylift.wire.client_call import ClientCall
from savorylift.wire.message import Response
from savorylift.wire.server_connection import ServerConnection

_log = structlog.get_logger()


class Passed(NamedTuple):
    """An answer that was passed on to the caller, whole or not.

    Attributes:
        status: Its status code.
    """

    status: int


class NotTaken(NamedTuple):
    """Another node did not serve the request, so that a third one may.

    Attributes:
        detail: Why, for logs.
        refusal: Its response, if it sent one.
    """

    detail: str
    refusal: Response | None = None


class Lost(NamedTuple):
    """There was no whole answer; the request may have run.

    Attributes:
        reason: Why, for the caller.
        detail: Why, for logs.
    """

    reason: Reason
    detail: str


async def pass_on(
    call: ClientCall, conn: ServerConnection
) -> Passed | NotTaken:
    """Passes a node's answer on as it comes.

    Raises:
        BrokenAnswerError: It is incomplete, or there is none.
    """
    head = await call.read_head()
    relayed = head.header(RELAY_HEADER)
    if relayed is None:
        # A build that serves no other nodes' requests.
        return NotTaken("the node knows no such requests")
    has_length = head.header("content-length") is not None
    if relayed == RELAY_REFUSED[0][1]:
        return NotTaken("the node refused", await call.read_rest(head))
    if has_length:
        pass_whole(conn, await call.read_rest(head))
        return Passed(head.status)
    conn.start_response(
        head.status,
        passed_headers(head.headers),
        is_close_delimited=head.is_close_delimited,
    )
    while (chunk := await call.read_body_chunk()) is not None:
        conn.send_body(chunk)
        await conn.drain()
    conn.end_response()
    return Passed(head.status)


def pass_whole(conn: ServerConnection, response: Response) -> None:
    """Passes on an answer that was read whole."""
    headers = passed_headers(response.headers)
    conn.respond(response.status, headers, response.body)


def lost_refusal(lost: Lost) -> Refused:
    """Returns the refusal of a request that may have run elsewhere."""
    status = 504 if lost.reason is Reason.DEADLINE else 502
    message = "Another node gave no whole answer; the request may have run."
    return Refused(status, lost.reason, message)


def log_outcome(
    admitted: AdmittedRequest, ip: str, outcome: Passed | NotTaken | Lost
) -> None:
    """Logs and counts what came of handing a request over to a node."""
    ending = type(outcome).__name__
    metrics.RELAYED.labels(ending.lower()).inc()
    _log.info(
        "relayed",
        request=admitted.req.attempt_id,
        service=admitted.service.name,
        node=ip,
        ending=ending,
        detail=(
            str(outcome.status)
            if isinstance(outcome, Passed)
            else outcome.detail
        ),
    )
