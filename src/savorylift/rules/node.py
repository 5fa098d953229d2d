"""Decisions of one node about the rules stream; plain state of one owner."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import structlog

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterSource
from savorylift.platform.log import LogPage
from savorylift.rules.append_pacer import AppendPacer
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
    RecordKind,
    RecordsAnswer,
    RecordsAsk,
    StateAnswer,
    StateAsk,
)
from savorylift.rules.order_desk import OrderDesk, OrderLink
from savorylift.rules.peer_source import PeerQuestions, PeerSource
from savorylift.rules.proofs import TailProofs
from savorylift.rules.snapshot_schedule import SnapshotSchedule
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesSource

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
        self._parts = parts
        self._stream = stream
        self._config = config
        self._proofs = TailProofs()
        self._pacer = AppendPacer(parts.append)
        self._snapshots = SnapshotSchedule(cfg.own.vm, cfg.log_retention_s)
        self._desk = OrderDesk(
            cfg.own.vm, OrderLink(parts.live_peers, parts.tell)
        )
        self._peers = PeerSource(
            stream,
            PeerQuestions(parts.live_peers, parts.ask_records, parts.ask_state),
            cfg.peers_after_s,
        )
        self._shown_version = -1
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
        if not self._pacer.ended(ended):
            self._count(RulesEvent.APPEND_RETRY)

    def tick(self) -> None:
        """Asks and tells other nodes where the log can't be relied on."""
        self._desk.tell_one()
        self._peers.tick()

    def peer_is_ahead(self, node: NodeRef, offset: int) -> None:
        """Notes a heartbeat's offset; asks the node if the log is silent."""
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
            self._publish()
        if answer.next_offset <= after:
            self._prove_by_peer(sent_s, answer.proof_age_s, answer.next_offset)
        elif after != before:
            self._peers.ask_records(node)
        else:
            self._peers.ask_state(node)

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
            self._proofs.age_s(self._stream.next_offset),
            self._desk.pending.orders(),
        )

    def answer_state(self, question: StateAsk) -> StateAnswer:
        """Answers another node."""
        offset = self._stream.next_offset - 1
        has_news = offset > question.above_offset
        data = self._stream.state_text() if has_news else ""
        orders = self._desk.pending.orders()
        return StateAnswer(
            offset, data, self._proofs.age_s(self._stream.next_offset), orders
        )

    def take_gossip(self, gossip: OrderGossip) -> None:
        """Takes orders that another node holds, and passes new ones on."""
        new = self._desk.take(gossip)
        if new:
            self._publish()
            self._desk.pass_on(new)

    def submit(self, order: SubmitOrder) -> OrderReceipt:
        """Takes an operator's order; an order out acts at once."""
        if order.record_id and self._stream.has_applied(order.record_id):
            return self.order_state(order.record_id)
        pending = self._desk.submit(order, self._stream.next_offset - 1)
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
        self._publish()
        self._desk.tell_all(pending)
        self._append_orders()
        return self.order_state(pending.record_id)

    def order_state(self, record_id: str) -> OrderReceipt:
        """Returns what is known of an order."""
        return OrderReceipt(record_id, self._order_state(record_id))

    def _order_state(self, record_id: str) -> OrderState:
        if self._config.is_overruled(record_id):
            return OrderState.OVERRULED
        if self._stream.has_applied(record_id):
            return OrderState.ACCEPTED
        order = self._desk.pending.find(record_id)
        if order is None:
            return OrderState.UNKNOWN
        is_out = order.kind == RecordKind.ORDER_OUT
        return OrderState.APPLIED if is_out else OrderState.WAITING

    def _publish(self) -> None:
        self._desk.pending.drop_settled(self._is_settled)
        offset = self._stream.next_offset - 1
        view = self._config.view(offset)
        orders = {**self._desk.pending.restrictions(), **view.out_of_service}
        self._parts.source.replace(view._replace(out_of_service=orders))
        self._parts.on_folded()
        held = len(self._desk.pending.orders())
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
        due = self._desk.pending.due(self._members())
        for record_id, entry in due.items():
            self._pacer.start(AppendJob(record_id, (entry,)))

    def _append_snapshot(self, page: LogPage) -> None:
        is_at_tail = self._stream.next_offset == page.next_offset
        if self._stream.is_rebuilding or not is_at_tail:
            return
        if self._pacer.is_quiet(_SNAPSHOT):
            return
        if self._snapshots.is_due(self._stream, self._members()):
            self._count(RulesEvent.SNAPSHOT)
            entries = self._stream.snapshot()
            self._pacer.start(AppendJob(_SNAPSHOT, entries))

    def _members(self) -> tuple[str, ...]:
        return tuple(self._parts.roster.current().members)

    def _prove(self, sent_s: float, next_offset: int) -> None:
        self._proofs.add(sent_s, next_offset)
        self._parts.on_tail_proof(sent_s, next_offset)

    def _prove_by_peer(
        self, sent_s: float, age_s: float, next_offset: int
    ) -> None:
        # The peer sent its question `age_s` before it answered, which was
        # after `sent_s`; so the proof is at least as young as this.
        if age_s >= 0:
            self._prove(sent_s - age_s, next_offset)

    def _count(self, event: RulesEvent) -> None:
        self._parts.counters.count(event)
