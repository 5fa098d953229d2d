"""The HTTP face for operators, on threads of its own."""

import hmac
import json
from collections.abc import Callable
from typing import Annotated, NamedTuple

import msgspec
import prometheus_client
import pykka
from returns.result import Failure, Result

from savorylift.entry.errors import error_body, status_line
from savorylift.entry.exchange import Exchange
from savorylift.identity import new_id
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.refusals.formats import Format
from savorylift.refusals.request import ReportRequest
from savorylift.rules.inbox import OrderAction, OrderReceipt, SubmitOrder
from savorylift.settings import Key
from savorylift.trail import Trail

ORDER_TIMEOUT_S = 2.0
BEARER = "Bearer "
TEXT = "text/plain; version=0.0.4; charset=utf-8"


class OperatorParts(NamedTuple):
    """What the operators' face works with.

    Attributes:
        is_ready: Returns True while the node takes new work.
        status: Returns the node's status as JSON-encodable values.
        submit_order: Takes an order, with a timeout in seconds.
        order_state: Tells what is known of an order.
        report: Prints the account of refusals, or says what is wrong.
        trail: Decisions about recent requests.
        keys: Credentials for orders; with none, no order is taken.
    """

    is_ready: Callable[[], bool]
    status: Callable[[], object]
    submit_order: Callable[[SubmitOrder, float], OrderReceipt]
    order_state: Callable[[str, float], OrderReceipt]
    report: Callable[[ReportRequest], Result[str, str]]
    trail: Trail
    keys: tuple[Key, ...]


class OperatorFace:
    """Routes operators' requests."""

    def __init__(self, parts: OperatorParts) -> None:
        """Keeps the collaborators."""
        self._parts = parts

    def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        match exchange.method, exchange.path.rstrip("/").split("/")[1:]:
            case "GET", ["healthz"]:
                exchange.send("200 OK", b"ok\n", TEXT)
            case "GET", ["readyz"]:
                self._send_ready(exchange)
            case "GET", ["metrics"]:
                text = prometheus_client.generate_latest()
                exchange.send("200 OK", text, TEXT)
            case "GET", ["v1", "status"]:
                _send_json(exchange, self._parts.status())
            case "GET", ["v1", "refusals"]:
                self._send_report(exchange)
            case "GET", ["v1", "requests", request_id]:
                found = self._parts.trail.find(request_id)
                _send_json(exchange, [item._asdict() for item in found])
            case "POST", ["v1", "orders"]:
                self._take_order(exchange)
            case "GET", ["v1", "orders", record_id]:
                self._send_order_state(exchange, record_id)
            case _:
                message = f"no such path {exchange.path}"
                _refuse(exchange, not_run(Reason.NOT_FOUND, message))

    def _send_ready(self, exchange: Exchange) -> None:
        if self._parts.is_ready():
            exchange.send("200 OK", b"ready\n", TEXT)
        else:
            exchange.send("503 Service Unavailable", b"not ready\n", TEXT)

    def _send_report(self, exchange: Exchange) -> None:
        query = exchange.query
        wanted = ReportRequest(
            query.get("from", "1h"),
            query.get("to", ""),
            query.get("team", ""),
            query.get("format", Format.JSON.value),
        )
        printed = self._parts.report(wanted)
        if isinstance(printed, Failure):
            _refuse(exchange, not_run(Reason.BAD_REQUEST, printed.failure()))
            return
        exchange.send("200 OK", printed.unwrap().encode(), TEXT)

    def _take_order(self, exchange: Exchange) -> None:
        body = exchange.read_body().value_or(b"")
        if not self._is_authorized(exchange):
            message = "orders need an operator's credential"
            _refuse(exchange, not_run(Reason.UNAUTHORIZED, message))
            return
        try:
            order = _read_order(body)
        except msgspec.MsgspecError as exc:
            message = f"bad order: {exc}"
            _refuse(exchange, not_run(Reason.BAD_REQUEST, message))
            return
        try:
            receipt = self._parts.submit_order(order, ORDER_TIMEOUT_S)
        except pykka.Timeout:
            _refuse(exchange, not_run(Reason.NODE_BUSY, "no answer in time"))
            return
        _send_json(exchange, receipt._asdict())

    def _send_order_state(self, exchange: Exchange, record_id: str) -> None:
        try:
            receipt = self._parts.order_state(record_id, ORDER_TIMEOUT_S)
        except pykka.Timeout:
            _refuse(exchange, not_run(Reason.NODE_BUSY, "no answer in time"))
            return
        _send_json(exchange, receipt._asdict())

    def _is_authorized(self, exchange: Exchange) -> bool:
        given = (exchange.header("authorization") or "").encode()
        expected = [
            f"{BEARER}{key.secret}".encode() for key in self._parts.keys
        ]
        return any(hmac.compare_digest(given, item) for item in expected)


class OrderBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of an order; fields as in `SubmitOrder`."""

    action: OrderAction
    target: str
    is_domain: bool
    author: str
    cause: str
    record_id: Annotated[str, msgspec.Meta(max_length=64)] = ""


def _read_order(body: bytes) -> SubmitOrder:
    order = msgspec.json.decode(body, type=OrderBody)
    return SubmitOrder(**msgspec.structs.asdict(order))


def _send_json(exchange: Exchange, value: object) -> None:
    body = json.dumps(value, indent=2, sort_keys=True, default=str)
    exchange.send("200 OK", body.encode() + b"\n")


def _refuse(exchange: Exchange, refusal: Refusal) -> None:
    body = error_body(refusal, new_id("req"))
    exchange.send(status_line(refusal), body)
