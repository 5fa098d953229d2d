"""Takes failure domains and backend servers out of service or back in."""

import time
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from savorylift.platform.store import RULES_TOPIC, StoreClient, StoreFault
from savorylift.platform.store_record import Record
from savorylift.rules.check import check_rules
from savorylift.rules.publication import (
    OUT_OF_SERVICE_PREFIX,
    UnconfirmedWrite,
    WriteFailure,
    read_rules,
)


class OutOfServiceOrder(NamedTuple):
    """An operator's order to take a target out of service or to bring it back.

    Attributes:
        target: Name of a failure domain or a backend server.
        is_out: True to take the target out of service, False to bring it
            back.
        author: Operator who gives the order.
        cause: Reason for the order.
    """

    target: str
    is_out: bool
    author: str
    cause: str


class AcceptedOrder(NamedTuple):
    """The order was written to the store.

    Attributes:
        offset: Offset after its record.
    """

    offset: int


class UnknownTarget(NamedTuple):
    """The rules define no target of that name.

    Attributes:
        name: Name given in the order.
        known_targets: Names of all targets, sorted.
    """

    name: str
    known_targets: tuple[str, ...]


OrderResult = AcceptedOrder | UnknownTarget | WriteFailure | UnconfirmedWrite


async def submit_order(
    store: StoreClient, order: OutOfServiceOrder
) -> OrderResult:
    """Writes an order to the store.

    The record's key names the target, so writing an order again is harmless.
    """
    read = await read_rules(store)
    if not is_successful(read):
        return WriteFailure(read.failure().detail)
    text = "\n".join(read.unwrap().lines)
    target_names = check_rules(text, "rules").map(
        lambda rules: (*rules.failure_domains, *rules.backend_servers)
    )
    known_targets = tuple(sorted(target_names.value_or(())))
    if order.is_out and order.target not in known_targets:
        return UnknownTarget(order.target, known_targets)
    body = {
        "author": order.author,
        "cause": order.cause,
        "time_s": time.time(),
    }
    value = msgspec.json.encode(body) if order.is_out else None
    record = Record(f"{OUT_OF_SERVICE_PREFIX}{order.target}", value)
    written = await store.append(RULES_TOPIC, [record])
    if is_successful(written):
        return AcceptedOrder(written.unwrap() + 1)
    error = written.failure()
    if error.fault is StoreFault.REFUSED:
        return WriteFailure(error.detail)
    return UnconfirmedWrite(error.detail)
