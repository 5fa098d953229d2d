"""Translates the operators' orders of roll-outs, and the status they read."""

from collections.abc import Mapping

import msgspec
import structlog
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.json_input import decode_json
from savorylift.platform.store_record import MAX_KEY_BYTES, Record
from savorylift.rollouts.order import RolloutOrder, make_order_id

ROLLOUT_PREFIX = "rollout/"
STATE_BY_PHASE = {
    RolloutPhase.WATCH: "running",
    RolloutPhase.SHIFT: "running",
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}

_log = structlog.get_logger()


class _Order(msgspec.Struct, rename="camel"):
    service: str
    to: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    to: str


def decode_orders(records: Mapping[str, bytes]) -> list[RolloutOrder]:
    """Returns the orders among the operators' records; bad ones are logged."""
    orders = []
    for key, value in records.items():
        if not key.startswith(ROLLOUT_PREFIX):
            continue
        decoded = decode_order(key, value)
        if is_successful(decoded):
            orders.append(decoded.unwrap())
        else:
            detail = decoded.failure()
            _log.warning("rollout_unreadable", key=key, detail=detail)
    return orders


def decode_order(key: str, value: bytes) -> Result[RolloutOrder, str]:
    """Decodes an order; returns an error message if it is invalid."""
    decoded = decode_json(value, _Order)
    if not is_successful(decoded):
        return Failure(decoded.failure())
    order = decoded.unwrap()
    if key != ROLLOUT_PREFIX + order.service:
        return Failure(f"the key is for another service than {order.service!r}")
    if not order.to or not 0 < order.duration_s < float("inf"):
        return Failure("expected a version and a positive duration")
    order_id = make_order_id(value)
    return Success(
        RolloutOrder(order_id, order.service, order.to, order.duration_s)
    )


def encode_status(stage: Stage) -> Record | None:
    """Returns the record of a status; None if its key would be too long."""
    key = ROLLOUT_PREFIX + stage.service
    if len(key.encode()) > MAX_KEY_BYTES:
        return None
    status = _Status(STATE_BY_PHASE[stage.phase], stage.version)
    return Record(key, msgspec.json.encode(status))
