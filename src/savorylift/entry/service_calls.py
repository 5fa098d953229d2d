"""Calls to plain services over HTTP."""

from returns.result import Failure, Result, Success

from savorylift.calls.caller import CallService
from savorylift.calls.request import CallAnswer, CallRequest
from savorylift.entry.errors import Header
from savorylift.entry.exchange import Exchange
from savorylift.entry.request_head import REQUEST_ID_HEADER, RequestHead
from savorylift.outcomes import Refusal
from savorylift.rules.view import RulesSource
from savorylift.trail import Trail

SERVICES_PREFIX = "/v1/services/"
KEY_HEADER = "idempotency-key"
CONTENT_TYPE = "content-type"
UNKNOWN_TYPE = "application/octet-stream"


class ServiceCalls:
    """Serves `ANY /v1/services/{service}/{path}`."""

    def __init__(
        self, calls: CallService, rules: RulesSource, trail: Trail
    ) -> None:
        """Carries calls through `calls` and notes them in `trail`."""
        self._calls = calls
        self._rules = rules
        self._trail = trail

    def serve(
        self, exchange: Exchange, head: RequestHead
    ) -> Result[None, Refusal]:
        """Answers one call; returns what was not sent yet."""
        body = exchange.read_body()
        if isinstance(body, Failure):
            return body
        answer = self._calls.call(_request(exchange, head, body.unwrap()))
        if isinstance(answer, Failure):
            return answer
        got = answer.unwrap()
        self._trail.note(
            head.request_id,
            "answered",
            self._rules.current().offset,
            got.backend_server,
        )
        _send(exchange, head, got)
        return Success(None)


def _request(exchange: Exchange, head: RequestHead, body: bytes) -> CallRequest:
    # As the caller wrote it, since escapes are for the service to read.
    rest = exchange.target.removeprefix(SERVICES_PREFIX)
    service, _, path = rest.partition("/")
    return CallRequest(
        request_id=head.request_id,
        team=head.team.name,
        service=service,
        method=exchange.method,
        path=f"/{path}",
        headers=exchange.end_to_end_headers(),
        body=body,
        key=exchange.header(KEY_HEADER),
        deadline_s=head.deadline_s,
        priority=head.priority,
    )


def _send(exchange: Exchange, head: RequestHead, got: CallAnswer) -> None:
    kind = UNKNOWN_TYPE
    kept: list[Header] = [(REQUEST_ID_HEADER, head.request_id)]
    for name, value in got.headers:
        if name.lower() == CONTENT_TYPE:
            kind = value
        elif name.lower() != REQUEST_ID_HEADER:
            kept.append((name, value))
    exchange.send(f"{got.status} Status", got.body, kind, kept)
