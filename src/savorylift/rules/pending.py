"""Orders that may not be on the log yet.

Orders out act at once, as restrictions. Orders back only wait here to be
appended: they take effect when the log has accepted them, since opening a
failure domain on the word of one node would open it for part of the fleet
while another operator's order out may be on its way.
"""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Success

from savorylift.log_service.log import LogEntry
from savorylift.rendezvous import rank
from savorylift.rules.inbox import OrderState
from savorylift.rules.messages import (
    OrderOut,
    PendingOrder,
    RecordKind,
    decode,
)
from savorylift.rules.view import OutOfService

MAX_PENDING = 256
BACKUP_DELAY_S = 3.0  # until other nodes append an order they were told of
BACKUP_WRITERS = 3


class _Held(NamedTuple):
    order: PendingOrder
    since_s: float


class PendingOrders:
    """Orders by record identifier, until the log is seen to have them."""

    def __init__(self, vm: str) -> None:
        """Starts empty on the node `vm`."""
        self._vm = vm
        self._held: dict[str, _Held] = {}

    def orders(self) -> tuple[PendingOrder, ...]:
        """Returns all orders, in the order they came."""
        return tuple(held.order for held in self._held.values())

    def find(self, record_id: str) -> PendingOrder | None:
        """Returns an order that is held, or None."""
        held = self._held.get(record_id)
        return held.order if held is not None else None

    def state(self, record_id: str) -> OrderState:
        """Returns the state of an order that the log is not seen to have."""
        order = self.find(record_id)
        if order is None:
            return OrderState.UNKNOWN
        is_out = order.kind == RecordKind.ORDER_OUT
        return OrderState.APPLIED if is_out else OrderState.WAITING

    def has_room(self) -> bool:
        """Returns True if another order can be held."""
        return len(self._held) < MAX_PENDING

    def add(self, order: PendingOrder) -> bool:
        """Holds an order; False if it is held already or there's no room."""
        if order.record_id in self._held or not self.has_room():
            return False
        self._held[order.record_id] = _Held(order, time.monotonic())
        return True

    def drop_settled(self, is_settled: Callable[[str], bool]) -> bool:
        """Drops orders that the log has; True if there were any."""
        settled = [name for name in self._held if is_settled(name)]
        for record_id in settled:
            del self._held[record_id]
        return bool(settled)

    def restrictions(self) -> dict[str, OutOfService]:
        """Returns what the held orders out keep new work away from."""
        found: dict[str, OutOfService] = {}
        for order in self.orders():
            out = _read_out(order)
            if out is not None:
                asked_by = f"{out.author}: {out.cause}"
                found[out.target] = OutOfService(
                    out.target, out.is_domain, asked_by, -1
                )
        return found

    def outs_of(self, target: str, *, is_domain: bool) -> tuple[str, ...]:
        """Returns the record identifiers of held orders out of `target`."""
        return tuple(
            order.record_id
            for order in self.orders()
            if (out := _read_out(order)) is not None
            and (out.target, out.is_domain) == (target, is_domain)
        )

    def due(self, members: Sequence[str]) -> Mapping[str, LogEntry]:
        """Returns what this node appends now, by record identifier.

        The node that was given an order appends it at once. A few others
        do so later, in case that node is lost; a second record with the
        same identifier changes nothing.
        """
        now_s = time.monotonic()
        return {
            record_id: LogEntry(record_id, held.order.kind, held.order.body)
            for record_id, held in self._held.items()
            if held.order.receiver == self._vm
            or (
                now_s - held.since_s >= BACKUP_DELAY_S
                and self._is_backup(record_id, members)
            )
        }

    def _is_backup(self, record_id: str, members: Sequence[str]) -> bool:
        ranked = rank(record_id, {*members, self._vm})
        return self._vm in ranked[:BACKUP_WRITERS]


def _read_out(order: PendingOrder) -> OrderOut | None:
    if order.kind != RecordKind.ORDER_OUT:
        return None
    out = decode(order.body, OrderOut)
    return out.unwrap() if isinstance(out, Success) else None
