"""Nodes without threads: messages and appends happen at once or are lost."""

from collections.abc import Callable, Mapping

import prometheus_client
from returns.result import Success

from savorylift.identity import NodeRef
from savorylift.log_service.fold import Fold
from savorylift.log_service.log import RULES_STREAM
from savorylift.peers.view import RosterSource
from savorylift.rules.counters import RulesCounters
from savorylift.rules.fold import CONFIG_FOLD, ConfigFold
from savorylift.rules.inbox import AppendEnded, AppendJob, PageRead
from savorylift.rules.messages import OrderGossip, RecordsAsk, StateAsk
from savorylift.rules.node import NodeConfig, NodeParts, RulesNode
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesSource, RulesView
from tests.log_service.fakes import FakeLog

MakeStream = Callable[[Mapping[str, Fold]], RulesStream]


class FakeNode:
    """A `RulesNode` with its surroundings.

    Attributes:
        is_cut: True while no message passes between it and other nodes.
        can_read: False while its reads of the log fail.
        proofs: What `on_tail_proof` was told.
    """

    def __init__(self, fleet: "Fleet", vm: str) -> None:
        self.ref = NodeRef(vm, f"{vm}-{fleet.next_incarnation()}")
        self.is_cut = False
        self.can_read = True
        self.proofs: list[tuple[float, int]] = []
        self.jobs: list[AppendJob] = []
        self.source = RulesSource()
        self.config = fleet.make_fold()
        self.stream = fleet.make_stream({CONFIG_FOLD: self.config})
        self.read_offset = 0
        self._fleet = fleet
        self.node = RulesNode(
            NodeConfig(self.ref, fleet.retention_s),
            self._parts(),
            self.stream,
            self.config,
        )

    def view(self) -> RulesView:
        return self.source.current()

    def poll(self, sent_s: float = 0.0) -> None:
        """Reads one page of the log and appends what falls due."""
        result = self._fleet.log.read(RULES_STREAM, self.read_offset)
        if self.can_read and isinstance(result, Success):
            page = PageRead(self.read_offset, sent_s, result.unwrap())
            self.read_offset = self.node.take_page(page)
            self.write()
        else:
            self.read_offset = self.node.read_failed()

    def write(self) -> None:
        """Tries the appends that are queued."""
        jobs, self.jobs = self.jobs, []
        for job in jobs:
            result = self._fleet.log.append(RULES_STREAM, job.entries)
            self.node.append_ended(AppendEnded(job.purpose, result))

    def _parts(self) -> NodeParts:
        return NodeParts(
            source=self.source,
            roster=RosterSource(),
            live_peers=lambda: self._fleet.reachable_from(self),
            ask_records=self._ask_records,
            ask_state=self._ask_state,
            tell=self._tell,
            append=self.jobs_append,
            on_tail_proof=lambda *proof: self.proofs.append(proof),
            on_folded=lambda: None,
            counters=RulesCounters(prometheus_client.CollectorRegistry()),
        )

    def jobs_append(self, job: AppendJob) -> None:
        self.jobs.append(job)

    def _ask_records(self, node: NodeRef, question: RecordsAsk) -> None:
        other = self._fleet.find(node)
        if other is None or other.is_cut or self.is_cut:
            self.node.peer_failed()
            return
        answer = other.node.answer_records(question)
        self.node.take_records(node, 0.0, answer)

    def _ask_state(self, node: NodeRef, question: StateAsk) -> None:
        other = self._fleet.find(node)
        if other is None or other.is_cut or self.is_cut:
            self.node.peer_failed()
            return
        self.node.take_state(0.0, other.node.answer_state(question))

    def _tell(self, node: NodeRef, gossip: OrderGossip) -> None:
        other = self._fleet.find(node)
        self._fleet.tells += 1
        if other is not None and not other.is_cut and not self.is_cut:
            other.node.take_gossip(gossip)


class Fleet:
    """Nodes around one log."""

    def __init__(
        self,
        make_fold: Callable[[], ConfigFold] = ConfigFold,
        make_stream: MakeStream = RulesStream,
        retention_s: float = 24 * 3600.0,
    ) -> None:
        self.log = FakeLog()
        self.make_fold = make_fold
        self.make_stream = make_stream
        self.retention_s = retention_s
        self.nodes: dict[str, FakeNode] = {}
        self.tells = 0
        self._incarnations = 0

    def start(self, vm: str) -> FakeNode:
        """Starts a node, or a new incarnation of one."""
        self.nodes[vm] = FakeNode(self, vm)
        return self.nodes[vm]

    def poll_all(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            for node in self.nodes.values():
                node.poll()

    def next_incarnation(self) -> int:
        self._incarnations += 1
        return self._incarnations

    def find(self, ref: NodeRef) -> FakeNode | None:
        node = self.nodes.get(ref.vm)
        return node if node is not None and node.ref == ref else None

    def reachable_from(self, asker: FakeNode) -> tuple[NodeRef, ...]:
        if asker.is_cut:
            return ()
        return tuple(
            node.ref
            for node in self.nodes.values()
            if node is not asker and not node.is_cut
        )
