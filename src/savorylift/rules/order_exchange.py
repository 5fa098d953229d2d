"""Takes operators' orders on a node and tells other nodes of them."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from savorylift.identity import NodeRef, new_id
from savorylift.rules.inbox import OrderAction, SubmitOrder
from savorylift.rules.messages import (
    OrderBack,
    OrderGossip,
    OrderOut,
    PendingOrder,
    RecordKind,
    encode,
)
from savorylift.rules.peer_ring import PeerRing
from savorylift.rules.pending import PendingOrders

GOSSIP_INTERVAL_S = 1.0
FANOUT = 3  # nodes that an order learned from another is passed on to
NEVER_S = float("-inf")


class OrderLink(NamedTuple):
    """Tells other nodes.

    Attributes:
        live_peers: Returns the nodes that can be reached now.
        tell: Sends orders to one of them.
    """

    live_peers: Callable[[], Sequence[NodeRef]]
    tell: Callable[[NodeRef, OrderGossip], object]


class OrderExchange:
    """Holds orders until the log has them.

    Attributes:
        pending: The orders held.
    """

    def __init__(self, vm: str, link: OrderLink) -> None:
        """Starts without orders on the node `vm`."""
        self.pending = PendingOrders(vm)
        self._vm = vm
        self._link = link
        self._ring = PeerRing(link.live_peers)
        self._told_s = NEVER_S

    def submit(
        self, order: SubmitOrder, known_offset: int
    ) -> PendingOrder | None:
        """Holds an operator's order; None if there is no room.

        Args:
            order: The order.
            known_offset: Newest log offset that this node has folded in.
        """
        held = self.pending.find(order.record_id)
        if held is not None:
            return held
        pending = self._make_order(order, known_offset)
        return pending if self.pending.add(pending) else None

    def take(self, gossip: OrderGossip) -> tuple[PendingOrder, ...]:
        """Holds orders of other nodes; returns those that are new."""
        return tuple(
            order for order in gossip.orders if self.pending.add(order)
        )

    def tell_all(self, order: PendingOrder) -> None:
        """Tells every reachable node of an order given to this one."""
        for node in self._link.live_peers():
            self._link.tell(node, OrderGossip((order,)))

    def pass_on(self, orders: Sequence[PendingOrder]) -> None:
        """Tells a few nodes of those orders that are still held."""
        held = set(self.pending.orders())
        news = tuple(order for order in orders if order in held)
        if not news:
            return
        count = min(FANOUT, len(self._link.live_peers()))
        for _ in range(count):
            node = self._ring.next()
            if node is not None:
                self._link.tell(node, OrderGossip(news))

    def tell_one(self) -> None:
        """Sends all held orders to the next node, at a steady interval."""
        now_s = time.monotonic()
        orders = self.pending.orders()
        if not orders or now_s - self._told_s < GOSSIP_INTERVAL_S:
            return
        self._told_s = now_s
        node = self._ring.next()
        if node is not None:
            self._link.tell(node, OrderGossip(orders))

    def _make_order(
        self, order: SubmitOrder, known_offset: int
    ) -> PendingOrder:
        fields = (order.target, order.is_domain, order.author, order.cause)
        if order.action is OrderAction.OUT:
            kind, body = RecordKind.ORDER_OUT, encode(OrderOut(*fields))
        else:
            cancels = self.pending.outs_of(
                order.target, is_domain=order.is_domain
            )
            kind = RecordKind.ORDER_BACK
            body = encode(OrderBack(*fields, known_offset, cancels))
        record_id = order.record_id or new_id("order")
        return PendingOrder(record_id, kind, body, self._vm)
