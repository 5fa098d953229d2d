"""Wires the rules actor, its threads and its messages on the link."""

import contextlib
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from typing import NamedTuple

import pykka
from prometheus_client import CollectorRegistry

from savorylift.identity import NodeRef
from savorylift.log_service.fold import Fold
from savorylift.log_service.log import Log
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.ticker import Ticker
from savorylift.peers.view import RosterSource
from savorylift.rules import inbox
from savorylift.rules.actor import RulesActor
from savorylift.rules.counters import RulesCounters
from savorylift.rules.fold import CONFIG_FOLD, ConfigFold
from savorylift.rules.messages import (
    OrderGossip,
    RecordsAnswer,
    RecordsAsk,
    StateAnswer,
    StateAsk,
)
from savorylift.rules.node import NodeConfig, NodeParts, RulesNode
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesSource
from savorylift.rules.workers import LogReader, LogWriter

TICK_S = 0.2


class RulesOptions(NamedTuple):
    """Options of the slice.

    Attributes:
        node: Options of the decisions.
        log_wait_s: How long a read of the log waits for a record.
        ask_timeout_s: Bound on another node's answer.
    """

    node: NodeConfig
    log_wait_s: float = 0.5
    ask_timeout_s: float = 1.0


class RulesParts(NamedTuple):
    """What the slice works with.

    Attributes:
        log: The platform's log.
        link: Link to the other nodes, not yet started.
        source: Where the rules in force are published.
        roster: Members of the roster.
        folds: Other folds of the stream, by their name in snapshots.
        live_peers: Returns the nodes that can be reached now; any thread.
        on_tail_proof: Is told when a question was sent that proved the
            log's tail, and the tail's offset.
        on_folded: Is called after each change of the folds.
        registry: Where metrics are registered.
    """

    log: Log
    link: PeerLink
    source: RulesSource
    roster: RosterSource
    folds: Mapping[str, Fold]
    live_peers: Callable[[], Sequence[NodeRef]]
    on_tail_proof: Callable[[float, int], None]
    on_folded: Callable[[], None]
    registry: CollectorRegistry


class RulesService:
    """Keeps the rules in force on this node."""

    def __init__(self, cfg: RulesOptions, parts: RulesParts) -> None:
        """Starts the actor and registers handlers; reads nothing yet."""
        self._cfg = cfg
        self._link = parts.link
        self._writer = LogWriter(parts.log, self._post)
        self._reader = LogReader(parts.log, cfg.log_wait_s, self._take_read)
        self._ticker = Ticker(TICK_S, self._tick, "rules-ticker")
        self._actor = RulesActor.start(self._make_node(parts))
        parts.link.on_ask(RecordsAsk, self._take_records_ask)
        parts.link.on_ask(StateAsk, self._take_state_ask)
        parts.link.on_tell(OrderGossip, self._take_gossip)

    def start(self) -> None:
        """Starts to follow the log and the other nodes; after the link."""
        self._reader.start()
        self._writer.start()
        self._ticker.start()

    def stop(self, timeout_s: float = 2.0) -> bool:
        """Ends all threads; False if one did not end in time."""
        deadline_s = time.monotonic() + timeout_s
        is_stopped = self._ticker.stop(timeout_s)
        for worker in (self._reader, self._writer):
            left_s = max(0.0, deadline_s - time.monotonic())
            is_stopped &= worker.stop(left_s)
        self._actor.stop(block=False)
        return is_stopped

    def submit(
        self, order: inbox.SubmitOrder, timeout_s: float
    ) -> inbox.OrderReceipt:
        """Takes an operator's order; any thread.

        Raises:
            pykka.Timeout: The actor did not answer in time.
        """
        answer = self._actor.ask(order, timeout=timeout_s)
        assert isinstance(answer, inbox.OrderReceipt)
        return answer

    def order_state(
        self, record_id: str, timeout_s: float
    ) -> inbox.OrderReceipt:
        """Returns what is known of an order; any thread.

        Raises:
            pykka.Timeout: The actor did not answer in time.
        """
        question = inbox.OrderQuestion(record_id)
        answer = self._actor.ask(question, timeout=timeout_s)
        assert isinstance(answer, inbox.OrderReceipt)
        return answer

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        """Is told of another node's newer offset; any thread."""
        self._post(inbox.PeerIsAhead(node, offset))

    def _make_node(self, parts: RulesParts) -> RulesNode:
        config = ConfigFold()
        stream = RulesStream({CONFIG_FOLD: config, **parts.folds})
        node_parts = NodeParts(
            source=parts.source,
            roster=parts.roster,
            live_peers=parts.live_peers,
            ask_records=self._ask_records,
            ask_state=self._ask_state,
            tell=parts.link.tell,
            append=self._writer.put,
            on_tail_proof=parts.on_tail_proof,
            on_folded=parts.on_folded,
            counters=RulesCounters(parts.registry),
        )
        return RulesNode(self._cfg.node, node_parts, stream, config)

    def _take_read(self, read: inbox.PageRead | inbox.ReadFailed) -> int | None:
        try:
            answer = self._actor.ask(read)
        except pykka.ActorDeadError:
            return None
        assert isinstance(answer, int)
        return answer

    def _tick(self) -> None:
        self._post(inbox.Tick())

    def _post(self, message: object) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _ask_records(self, node: NodeRef, question: RecordsAsk) -> None:
        sent_s = time.monotonic()
        fut = self._link.ask(
            node, question, RecordsAnswer, self._cfg.ask_timeout_s
        )
        fut.add_done_callback(
            lambda fut: self._post(
                inbox.RecordsCame(node, sent_s, fut.result())
            )
        )

    def _ask_state(self, node: NodeRef, question: StateAsk) -> None:
        sent_s = time.monotonic()
        fut = self._link.ask(
            node, question, StateAnswer, self._cfg.ask_timeout_s
        )
        fut.add_done_callback(
            lambda fut: self._post(inbox.StateCame(node, sent_s, fut.result()))
        )

    def _take_records_ask(
        self, _: NodeRef, question: RecordsAsk, fut: "Future[Message]"
    ) -> None:
        self._post(inbox.RecordsWanted(question, fut))

    def _take_state_ask(
        self, _: NodeRef, question: StateAsk, fut: "Future[Message]"
    ) -> None:
        self._post(inbox.StateWanted(question, fut))

    def _take_gossip(self, _: NodeRef, gossip: OrderGossip) -> None:
        self._post(inbox.GossipCame(gossip))
