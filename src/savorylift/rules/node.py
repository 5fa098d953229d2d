"""Decisions of one node about the rules stream; plain state of one owner."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import structlog
from returns.result import Success

from savorylift.identity import NodeRef, new_id
from savorylift.peers.view import RosterSource
from savorylift.platform.log import LogPage
from savorylift.rules.counters import RulesCounters, RulesEvent
from savorylift.rules.fold import ConfigFold
from savorylift.rules.inbox import (
    AppendEnded,
    AppendJob,
    OrderAction,
    OrderReceipt,
    OrderState,
    PageRead,
    SubmitOrder,
)
from savorylift.rules.messages import (
    OrderBack,
    OrderGossip,
    OrderOut,
    PendingOrder,
    RecordKind,
    RecordsAnswer,
    RecordsAsk,
    StateAnswer,
    StateAsk,
    encode,
)
from savorylift.rules.pending import PendingOrders
from savorylift.rules.snapshot import SnapshotTurn
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesSource

NEVER_S = float("-inf")
APPEND_TIMEOUT_S = 10.0  # an append that has not ended by then is repeated
READ_BACK_S = 5.0  # an append that succeeded is read back by then
APPEND_RETRY_S = 0.5
PEER_INTERVAL_S = 0.4
GOSSIP_INTERVAL_S = 1.0

_SNAPSHOT = "snapshot"


class NodeConfig(NamedTuple):
    """Options of the rules stream on one node.

    Attributes:
        own: This node.
        log_retention_s: How long the log keeps records.
        peers_after_s: Time without the log until other nodes are asked.
    """

    own: NodeRef
    log_retention_s: float = 24 * 3600.0
    peers_after_s: float = 0.75


class NodeParts(NamedTuple):
    """What the decisions act upon.

    Attributes:
        source: Where the rules in force are published.
        roster: Members of the roster, for choosing writers.
        live_peers: Returns the nodes that can be reached now.
        ask_records: Sends a question; the answer comes back as a message.
        ask_state: As `ask_records`.
        tell: Sends orders to another node.
        append: Starts an append; its end comes back as a message.
        on_tail_proof: Is told when a question was sent that proved the tail,
            and the tail's offset.
        on_folded: Is called after each change of the folds.
        counters: Metrics.
    """

    source: RulesSource
    roster: RosterSource
    live_peers: Callable[[], Sequence[NodeRef]]
    ask_records: Callable[[NodeRef, RecordsAsk], None]
    ask_state: Callable[[NodeRef, StateAsk], None]
    tell: Callable[[NodeRef, OrderGossip], object]
    append: Callable[[AppendJob], None]
    on_tail_proof: Callable[[float, int], None]
    on_folded: Callable[[], None]
    counters: RulesCounters


class RulesNode:
    """Follows the log and other nodes, and writes what falls to this node."""

    def __init__(
        self,
        cfg: NodeConfig,
        parts: NodeParts,
        stream: RulesStream,
        config: ConfigFold,
    ) -> None:
        """Takes a new `stream`, of which `config` is one fold."""
        self._cfg = cfg
        self._parts = parts
        self._stream = stream
        self._config = config
        self._pending = PendingOrders(cfg.own.vm)
        self._proof_sent_s = NEVER_S
        self._proof_offset = 0
        self._log_answered_s = NEVER_S
        self._peer_asked_s = NEVER_S
        self._gossiped_s = NEVER_S
        self._next_peer = 0
        self._quiet_until_s: dict[str, float] = {}
        self._unusable_since_s: float | None = None
        self._shown_version = -1
        self._logger = structlog.get_logger()

    def take_page(self, read: PageRead) -> int:
        """Takes an answer of the log; returns the offset to read next."""
        was_rebuilding = self._stream.is_rebuilding
        before = self._stream.next_offset
        self._log_answered_s = time.monotonic()
        self._stream.take_page(read.page)
        if self._stream.is_rebuilding and not was_rebuilding:
            self._count(RulesEvent.GAP)
            self._logger.warning("rules_gap", wanted=before)
        if self._stream.next_offset != before:
            self._publish()
        if read.page.next_offset >= read.asked_offset:
            self._prove(read.sent_s, read.page.next_offset)
        self._append_orders()
        self._append_snapshot(read.page)
        return self._stream.read_offset()

    def read_failed(self) -> int:
        """Notes that the log did not answer; returns what to read next."""
        self._count(RulesEvent.LOG_FAULT)
        return self._stream.read_offset()

    def append_ended(self, ended: AppendEnded) -> None:
        """Notes the end of an append; it stays due until read back."""
        is_done = isinstance(ended.result, Success)
        pause_s = READ_BACK_S if is_done else APPEND_RETRY_S
        self._quiet_until_s[ended.purpose] = time.monotonic() + pause_s
        if not is_done:
            self._count(RulesEvent.APPEND_RETRY)

    def tick(self) -> None:
        """Asks and tells other nodes where the log can't be relied on."""
        now_s = time.monotonic()
        if now_s - self._gossiped_s >= GOSSIP_INTERVAL_S:
            self._gossiped_s = now_s
            self._gossip_to_one()
        if now_s - self._peer_asked_s < PEER_INTERVAL_S:
            return
        if self._stream.is_rebuilding:
            self._ask_one_for_state()
        elif not self._has_log():
            self._ask_one_for_records()

    def peer_is_ahead(self, node: NodeRef, offset: int) -> None:
        """Notes a heartbeat's offset; asks the node if the log is silent."""
        if offset >= self._stream.next_offset and not self._has_log():
            self._ask_records(node)

    def take_records(
        self, node: NodeRef, sent_s: float, answer: RecordsAnswer
    ) -> None:
        """Takes another node's records, and asks for more if it has them."""
        self.take_gossip(OrderGossip(answer.orders))
        before = self._stream.next_offset
        self._stream.take_records(answer.records)
        after = self._stream.next_offset
        if after != before:
            self._count(RulesEvent.PEER_RECORDS)
            self._publish()
        if answer.next_offset <= after:
            self._prove_by_peer(sent_s, answer.proof_age_s, answer.next_offset)
        elif after != before:
            self._ask_records(node)
        else:
            self._ask_state(node)

    def take_state(self, sent_s: float, answer: StateAnswer) -> None:
        """Takes another node's state if it is ahead of this one."""
        self.take_gossip(OrderGossip(answer.orders))
        if answer.data and self._stream.take_state(answer.data):
            self._count(RulesEvent.PEER_STATE)
            self._publish()
        if answer.offset < self._stream.next_offset:
            next_offset = answer.offset + 1
            self._prove_by_peer(sent_s, answer.proof_age_s, next_offset)

    def peer_failed(self) -> None:
        """Notes that another node did not answer."""
        self._count(RulesEvent.PEER_FAULT)

    def answer_records(self, question: RecordsAsk) -> RecordsAnswer:
        """Answers another node."""
        return RecordsAnswer(
            self._stream.next_offset,
            self._stream.records_from(question.offset),
            self._proof_age_s(),
            self._pending.orders(),
        )

    def answer_state(self, question: StateAsk) -> StateAnswer:
        """Answers another node."""
        offset = self._stream.next_offset - 1
        has_news = offset > question.above_offset
        data = self._stream.state_text() if has_news else ""
        orders = self._pending.orders()
        return StateAnswer(offset, data, self._proof_age_s(), orders)

    def take_gossip(self, gossip: OrderGossip) -> None:
        """Takes orders that another node holds, and passes new ones on."""
        new = [order for order in gossip.orders if self._pending.add(order)]
        if not new:
            return
        self._publish()
        still_held = {order.record_id for order in self._pending.orders()}
        news = tuple(order for order in new if order.record_id in still_held)
        if news:
            self._gossip_to_all(OrderGossip(news))

    def submit(self, order: SubmitOrder) -> OrderReceipt:
        """Takes an operator's order; an order out acts at once."""
        if not self._pending.has_room():
            self._count(RulesEvent.ORDER_DROPPED)
            return OrderReceipt("", OrderState.REFUSED)
        pending = self._make_order(order)
        self._pending.add(pending)
        self._logger.info(
            "order_taken",
            record_id=pending.record_id,
            action=order.action.value,
            target=order.target,
            author=order.author,
        )
        self._publish()
        self._gossip_to_all(OrderGossip((pending,)))
        self._append_orders()
        return self.order_state(pending.record_id)

    def order_state(self, record_id: str) -> OrderReceipt:
        """Returns what is known of an order."""
        if self._stream.has_applied(record_id):
            return OrderReceipt(record_id, OrderState.ACCEPTED)
        for order in self._pending.orders():
            if order.record_id == record_id:
                is_out = order.kind == RecordKind.ORDER_OUT
                state = OrderState.APPLIED if is_out else OrderState.WAITING
                return OrderReceipt(record_id, state)
        return OrderReceipt(record_id, OrderState.UNKNOWN)

    def _make_order(self, order: SubmitOrder) -> PendingOrder:
        fields = (order.target, order.is_domain, order.author, order.cause)
        if order.action is OrderAction.OUT:
            kind, body = RecordKind.ORDER_OUT, encode(OrderOut(*fields))
        else:
            cancels = self._pending.outs_of(
                order.target, is_domain=order.is_domain
            )
            kind = RecordKind.ORDER_BACK
            body = encode(OrderBack(*fields, cancels))
        return PendingOrder(new_id("order"), kind, body, self._cfg.own.vm)

    def _publish(self) -> None:
        self._pending.drop_settled(self._is_settled)
        offset = self._stream.next_offset - 1
        view = self._config.view(offset)
        orders = {**self._pending.restrictions(), **view.out_of_service}
        self._parts.source.replace(view._replace(out_of_service=orders))
        self._parts.on_folded()
        held = len(self._pending.orders())
        self._parts.counters.show(offset, view.version, held)
        if view.version != self._shown_version:
            self._show_version(view.version)

    def _show_version(self, version: int) -> None:
        self._shown_version = version
        unread = self._config.unread_lines()
        self._parts.counters.show_unread(len(unread))
        self._logger.info("rules_in_force", version=version)
        if unread:
            self._logger.warning("rules_unread_lines", lines=unread[:20])

    def _is_settled(self, record_id: str) -> bool:
        return self._stream.has_applied(record_id) or self._config.is_cancelled(
            record_id
        )

    def _append_orders(self) -> None:
        members = tuple(self._parts.roster.current().members)
        for record_id, entry in self._pending.due(members).items():
            self._append_once(AppendJob(record_id, (entry,)))

    def _append_snapshot(self, page: LogPage) -> None:
        is_at_tail = self._stream.next_offset == page.next_offset
        if self._stream.is_rebuilding or not is_at_tail:
            return
        if not self._is_quiet(_SNAPSHOT) and self._snapshot_turn().is_due():
            self._count(RulesEvent.SNAPSHOT)
            self._append_once(AppendJob(_SNAPSHOT, self._stream.snapshot()))

    def _snapshot_turn(self) -> SnapshotTurn:
        turn = SnapshotTurn(
            mark=self._stream.mark,
            first_offset=self._stream.first_offset,
            oldest_ms=self._stream.oldest_ms,
            now_ms=int(time.time() * 1000),
            retention_s=self._cfg.log_retention_s,
            unusable_s=0.0,
            vm=self._cfg.own.vm,
            members=tuple(self._parts.roster.current().members),
        )
        if not turn.is_lost():
            self._unusable_since_s = None
            return turn
        now_s = time.monotonic()
        if self._unusable_since_s is None:
            self._unusable_since_s = now_s
        return turn._replace(unusable_s=now_s - self._unusable_since_s)

    def _append_once(self, job: AppendJob) -> None:
        if self._is_quiet(job.purpose):
            return
        now_s = time.monotonic()
        self._quiet_until_s = {
            purpose: until_s
            for purpose, until_s in self._quiet_until_s.items()
            if until_s > now_s
        }
        self._quiet_until_s[job.purpose] = now_s + APPEND_TIMEOUT_S
        self._parts.append(job)

    def _is_quiet(self, purpose: str) -> bool:
        return time.monotonic() < self._quiet_until_s.get(purpose, NEVER_S)

    def _prove(self, sent_s: float, next_offset: int) -> None:
        if sent_s > self._proof_sent_s:
            self._proof_sent_s = sent_s
            self._proof_offset = next_offset
        self._parts.on_tail_proof(sent_s, next_offset)

    def _prove_by_peer(
        self, sent_s: float, age_s: float, next_offset: int
    ) -> None:
        # The peer sent its question `age_s` before it answered, which was
        # after `sent_s`; so the proof is at least as young as this.
        if age_s >= 0:
            self._prove(sent_s - age_s, next_offset)

    def _proof_age_s(self) -> float:
        if self._proof_offset > self._stream.next_offset:
            return -1.0
        age_s = time.monotonic() - self._proof_sent_s
        return age_s if age_s != float("inf") else -1.0

    def _has_log(self) -> bool:
        age_s = time.monotonic() - self._log_answered_s
        return age_s < self._cfg.peers_after_s

    def _pick_peer(self) -> NodeRef | None:
        peers = self._parts.live_peers()
        if not peers:
            return None
        self._next_peer += 1
        return peers[self._next_peer % len(peers)]

    def _ask_one_for_records(self) -> None:
        node = self._pick_peer()
        if node is not None:
            self._ask_records(node)

    def _ask_one_for_state(self) -> None:
        node = self._pick_peer()
        if node is not None:
            self._ask_state(node)

    def _ask_records(self, node: NodeRef) -> None:
        self._peer_asked_s = time.monotonic()
        question = RecordsAsk(self._stream.next_offset)
        self._parts.ask_records(node, question)

    def _ask_state(self, node: NodeRef) -> None:
        self._peer_asked_s = time.monotonic()
        question = StateAsk(self._stream.next_offset - 1)
        self._parts.ask_state(node, question)

    def _gossip_to_one(self) -> None:
        orders = self._pending.orders()
        node = self._pick_peer() if orders else None
        if node is not None:
            self._parts.tell(node, OrderGossip(orders))

    def _gossip_to_all(self, gossip: OrderGossip) -> None:
        for node in self._parts.live_peers():
            self._parts.tell(node, gossip)

    def _count(self, event: RulesEvent) -> None:
        self._parts.counters.count(event)
