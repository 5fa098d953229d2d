"""Orders that take a failure domain or a backend server out of service."""

import time
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from savorylift.platform.store import RULES, Fault, Record, StoreClient
from savorylift.rules.check import check_rules
from savorylift.rules.publication import (
    OUT_PREFIX,
    NotWritten,
    Unknown,
    read_rules,
)


class Order(NamedTuple):
    """What an operator orders.

    Attributes:
        target: Name of a failure domain or a backend server.
        is_out: Whether it goes out of service, or back.
        author: Who orders it.
        cause: Why.
    """

    target: str
    is_out: bool
    author: str
    cause: str


class OrderAccepted(NamedTuple):
    """The order is in the store; the offset after it."""

    offset: int


class UnknownTarget(NamedTuple):
    """The rules name no such target.

    Attributes:
        name: What was asked for.
        known: What there is.
    """

    name: str
    known: tuple[str, ...]


OrderOutcome = OrderAccepted | UnknownTarget | NotWritten | Unknown


async def give_order(store: StoreClient, order: Order) -> OrderOutcome:
    """Appends an order; doing so twice changes nothing."""
    read = await read_rules(store)
    if not is_successful(read):
        return NotWritten(read.failure().detail)
    text = "\n".join(read.unwrap().lines)
    known = check_rules(text, "rules").map(
        lambda view: (*view.failure_domains, *view.backend_servers)
    )
    names = tuple(sorted(known.value_or(())))
    if order.is_out and order.target not in names:
        return UnknownTarget(order.target, names)
    body = {
        "author": order.author,
        "cause": order.cause,
        "time_s": time.time(),
    }
    value = msgspec.json.encode(body) if order.is_out else None
    record = Record(f"{OUT_PREFIX}{order.target}", value)
    written = await store.append(RULES, [record])
    if is_successful(written):
        return OrderAccepted(written.unwrap() + 1)
    error = written.failure()
    if error.fault is Fault.REFUSED:
        return NotWritten(error.detail)
    return Unknown(error.detail)
