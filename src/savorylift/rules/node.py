"""Decisions of one node about the rules stream; plain state of one owner."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import structlog

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterSource
from savorylift.rules.append_pacer import AppendPacer
from savorylift.rules.append_plan import AppendPlan
from savorylift.rules.counters import RulesCounters, RulesEvent
from savorylift.rules.fold import ConfigFold
from savorylift.rules.inbox import (
    AppendEnded,
    AppendJob,
    OrderReceipt,
    OrderState,
    PageRead,
    SubmitOrder,
)
from savorylift.rules.messages import (
    OrderGossip,
    RecordsAnswer,
    RecordsAsk,
    StateAnswer,
    StateAsk,
)
from savorylift.rules.order_exchange import OrderExchange, OrderLink
from savorylift.rules.peer_source import PeerQuestions, PeerSource
from savorylift.rules.proofs import TailProofs
from savorylift.rules.publisher import RulesPublisher
from savorylift.rules.snapshot_schedule import SnapshotSchedule
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesSource


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
        self._parts = parts
        self._stream = stream
        self._config = config
        self._proofs = TailProofs(parts.on_tail_proof)
        self._orders = OrderExchange(
            cfg.own.vm, OrderLink(parts.live_peers, parts.tell)
        )
        self._peers = PeerSource(
            stream,
            PeerQuestions(parts.live_peers, parts.ask_records, parts.ask_state),
            cfg.peers_after_s,
        )
        self._appends = AppendPlan(
            stream,
            self._orders.pending,
            SnapshotSchedule(cfg.own.vm, cfg.log_retention_s),
            AppendPacer(parts.append),
            parts.roster,
        )
        self._publisher = RulesPublisher(
            parts.source,
            stream,
            config,
            self._orders.pending,
            parts.on_folded,
            parts.counters,
        )
        self._logger = structlog.get_logger()

    def take_page(self, read: PageRead) -> int:
        """Takes an answer of the log; returns the offset to read next."""
        was_rebuilding = self._stream.is_rebuilding
        before = self._stream.next_offset
        self._peers.log_answered()
        self._stream.take_page(read.page)
        if self._stream.is_rebuilding and not was_rebuilding:
            self._count(RulesEvent.GAP)
            self._logger.warning("rules_gap", wanted=before)
        if self._stream.next_offset != before:
            self._publisher.publish()
        if read.page.next_offset >= read.asked_offset:
            self._proofs.add(read.sent_s, read.page.next_offset)
        self._appends.append_orders()
        if self._appends.append_snapshot(read.page.next_offset):
            self._count(RulesEvent.SNAPSHOT)
        return self._stream.read_offset()

    def read_failed(self) -> int:
        """Notes that the log did not answer; returns what to read next."""
        self._count(RulesEvent.LOG_FAULT)
        return self._stream.read_offset()

    def append_ended(self, ended: AppendEnded) -> None:
        """Notes the end of an append; it stays due until read back."""
        if not self._appends.ended(ended):
            self._count(RulesEvent.APPEND_RETRY)

    def tick(self) -> None:
        """Asks and tells other nodes where the log can't be relied on."""
        self._orders.tell_one()
        self._peers.tick()

    def peer_is_ahead(self, node: NodeRef, offset: int) -> None:
        """Notes a heartbeat's offset; asks the node if the log is down."""
        self._peers.peer_is_ahead(node, offset)

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
            self._publisher.publish()
        if answer.next_offset <= after:
            self._proofs.add_from_peer(
                sent_s, answer.proof_age_s, answer.next_offset
            )
        elif after != before:
            self._peers.ask_records(node)
        else:
            self._peers.ask_state(node)

    def take_state(self, sent_s: float, answer: StateAnswer) -> None:
        """Takes another node's state if it is ahead of this one."""
        self.take_gossip(OrderGossip(answer.orders))
        if answer.data and self._stream.take_state(answer.data):
            self._count(RulesEvent.PEER_STATE)
            self._publisher.publish()
        if answer.offset < self._stream.next_offset:
            next_offset = answer.offset + 1
            self._proofs.add_from_peer(sent_s, answer.proof_age_s, next_offset)

    def peer_failed(self) -> None:
        """Notes that another node did not answer."""
        self._count(RulesEvent.PEER_FAULT)

    def answer_records(self, question: RecordsAsk) -> RecordsAnswer:
        """Answers another node."""
        return RecordsAnswer(
            self._stream.next_offset,
            self._stream.records_from(question.offset),
            self._proofs.age_s(self._stream.next_offset),
            self._orders.pending.orders(),
        )

    def answer_state(self, question: StateAsk) -> StateAnswer:
        """Answers another node."""
        offset = self._stream.next_offset - 1
        has_news = offset > question.above_offset
        data = self._stream.state_text() if has_news else ""
        orders = self._orders.pending.orders()
        return StateAnswer(
            offset, data, self._proofs.age_s(self._stream.next_offset), orders
        )

    def take_gossip(self, gossip: OrderGossip) -> None:
        """Takes orders that another node holds, and forwards new ones."""
        new = self._orders.take(gossip)
        if new:
            self._publisher.publish()
            self._orders.pass_on(new)

    def submit(self, order: SubmitOrder) -> OrderReceipt:
        """Takes an operator's order; an order out acts at once."""
        if order.record_id and self._stream.has_applied(order.record_id):
            return self.order_state(order.record_id)
        pending = self._orders.submit(order, self._stream.next_offset - 1)
        if pending is None:
            self._count(RulesEvent.ORDER_DROPPED)
            return OrderReceipt("", OrderState.REFUSED)
        self._logger.info(
            "order_taken",
            record_id=pending.record_id,
            action=order.action.value,
            target=order.target,
            author=order.author,
        )
        self._publisher.publish()
        self._orders.tell_all(pending)
        self._appends.append_orders()
        return self.order_state(pending.record_id)

    def order_state(self, record_id: str) -> OrderReceipt:
        """Returns what is known of an order."""
        if self._config.is_overruled(record_id):
            return OrderReceipt(record_id, OrderState.OVERRULED)
        if self._stream.has_applied(record_id):
            return OrderReceipt(record_id, OrderState.ACCEPTED)
        return OrderReceipt(record_id, self._orders.pending.state(record_id))

    def _count(self, event: RulesEvent) -> None:
        self._parts.counters.count(event)
