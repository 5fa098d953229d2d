"""In-memory link, engine and set of nodes, stepped by a paused clock."""

import random
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple

from freezegun.api import FrozenDateTimeFactory
from returns.result import Result, Success

from savorylift.identity import NodeInfo, NodeRef
from savorylift.outcomes import Refusal
from savorylift.peers.link import Answer, M, Message, PeerFault
from savorylift.peers.view import Member, RosterSource, RosterView
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import Permit, PermitRequest, PermitUse
from savorylift.permits.messages import HeldPermit
from savorylift.permits.node import PermitNode
from savorylift.permits.options import PermitOptions
from savorylift.permits.policies import SAFE, Policies
from savorylift.permits.tally import Tally
from savorylift.rules.view import (
    BackendServer,
    RuleSource,
    RulesSource,
    RulesView,
)

MAX_DELIVERIES = 5000
SOURCE = RuleSource(1, "", "test")
UNUSED = PermitUse(
    finished=True,
    completed=False,
    first_token_s=None,
    output_tokens=0,
    overloaded=False,
    incarnation=None,
)


def server(
    name: str = "runner-1",
    cold: int = 3,
    warm: int = 6,
    kv_tokens: int = 0,
    model: str | None = "m",
) -> BackendServer:
    service = None if model else "s"
    return BackendServer(
        name, "", "d", model, service, cold, warm, kv_tokens, False, SOURCE
    )


def rules_of(*servers: BackendServer, offset: int = 0) -> RulesView:
    return RulesView(
        version=offset,
        offset=offset,
        backend_servers={s.name: s for s in servers},
    )


def member(
    ref: NodeRef, offset: int, domain: str, *, leaving: bool = False
) -> Member:
    return Member(NodeInfo(ref, domain, "", "", ""), offset, leaving)


def request(number: int, *servers: str, **changes: object) -> PermitRequest:
    req = PermitRequest(
        f"p{number}",
        servers or ("runner-1",),
        f"s{number}",
        "t",
        1,
        0,
        0,
        time.monotonic() + 60.0,
    )
    return req._replace(**changes)  # type: ignore[arg-type]


class Work(NamedTuple):
    """Work that runs on the engine."""

    holder: NodeRef
    permit: Permit
    is_since_cold: bool


class FakeEngine:
    """Counts work, as the oracle outside of the code under test."""

    def __init__(self, rule: BackendServer) -> None:
        self.rule = rule
        self.generation = 1
        self.is_cold = True
        self.running: dict[str, Work] = {}
        self.violations: list[str] = []
        self.samples: deque[LoadReport] = deque(maxlen=64)

    @property
    def incarnation(self) -> str:
        return str(self.generation)

    def begin(self, holder: NodeRef, permit: Permit) -> None:
        if permit.stream_id in self.running:
            self.violations.append(f"{permit.stream_id} twice")
        self.running[permit.stream_id] = Work(holder, permit, self.is_cold)
        given = [w for w in self.running.values() if w.is_since_cold]
        if self.is_cold and len(given) > self.rule.cold_limit:
            self.violations.append(f"{len(given)} while cold")
        if len(self.running) > self.rule.warm_limit:
            self.violations.append(f"{len(self.running)} at once")

    def warm_up(self) -> None:
        self.is_cold = False
        self.running = {
            key: work._replace(is_since_cold=False)
            for key, work in self.running.items()
        }

    def cool_down(self) -> None:
        """Turns cold in place; only what starts from now on counts."""
        self.warm_up()
        self.is_cold = True

    def restart(self) -> None:
        self.generation += 1
        self.is_cold = True
        self.running = {}

    def report(self) -> LoadReport:
        now = time.monotonic()
        active = len(self.running)
        return LoadReport(now, self.incarnation, self.is_cold, False, active)

    def sample(self) -> None:
        self.samples.append(self.report())

    def late_report(self, lag_s: float) -> LoadReport:
        """Returns the oldest content that a report asked for now may have."""
        now = time.monotonic()
        recent = [s for s in self.samples if s.asked_s >= now - lag_s]
        return (recent[0] if recent else self.report())._replace(asked_s=now)


class FakeNode:
    """A node with its own view of the roster; may be frozen or dead."""

    def __init__(self, cluster: "Cluster", ref: NodeRef) -> None:
        self.ref = ref
        self.roster = RosterSource()
        self.is_frozen = False
        self.is_dead = False
        self.inbox: deque[tuple[NodeRef, Message]] = deque()
        self.answers: dict[str, Result[Permit, Refusal]] = {}
        self.tally = Tally()
        self._cluster = cluster
        self.node = PermitNode(
            ref,
            cluster.rules,
            self.roster,
            cluster.cfg,
            self,
            self.tally,
            cluster.policies,
        )

    def send(self, node: NodeRef, msg: Message) -> None:
        self._cluster.post(self.ref, node, msg)

    def resolve(self, permit_id: str, answer: Result[Permit, Refusal]) -> None:
        assert permit_id not in self.answers, "answered twice"
        self.answers[permit_id] = answer

    def cancel(self, backend_server: str, permit: HeldPermit) -> None:
        engine = self._cluster.engines[backend_server]
        engine.running.pop(permit.stream_id, None)
        self.node.cancelled(backend_server, permit)

    def permit(self, permit_id: str) -> Permit | None:
        answer = self.answers.get(permit_id)
        return answer.unwrap() if isinstance(answer, Success) else None


class Cluster:
    """Nodes, the messages between them, and the roster's history."""

    def __init__(
        self,
        *servers: BackendServer,
        nodes: int = 3,
        domains: int = 3,
        cfg: PermitOptions | None = None,
        policies: Policies = SAFE,
    ) -> None:
        self.policies = policies
        self.cfg = cfg or PermitOptions(load_lag_s=0.0, cancel_after_s=1.0)
        self.rules = RulesSource(rules_of(*servers))
        self.engines = {rule.name: FakeEngine(rule) for rule in servers}
        self.nodes: dict[NodeRef, FakeNode] = {}
        self.roster = RosterView()
        self.pool: list[tuple[NodeRef, NodeRef, Message]] = []
        self.cut: set[tuple[str, str]] = set()
        self.domains = domains
        for number in range(nodes):
            self.join(f"vm-{number}")

    def join(self, vm: str) -> FakeNode:
        offset = self.roster.offset + 1
        ref = NodeRef(vm, f"{offset:04}")
        domain = f"d{int(vm.split('-')[1]) % self.domains}"
        old = self.roster.members.get(vm)
        ended = self.roster.ended | ({old.info.ref} if old else set())
        if old is not None:
            self.nodes[old.info.ref].is_dead = True
        members = {**self.roster.members, vm: member(ref, offset, domain)}
        self.roster = RosterView(offset, members, frozenset(ended))
        self.nodes[ref] = FakeNode(self, ref)
        return self.nodes[ref]

    def gone(self, ref: NodeRef) -> None:
        """Ends a node: its VM is dead, and the roster says so."""
        self.nodes[ref].is_dead = True
        members = dict(self.roster.members)
        del members[ref.vm]
        offset = self.roster.offset + 1
        ended = self.roster.ended | {ref}
        self.roster = RosterView(offset, members, ended)

    def leave(self, ref: NodeRef) -> None:
        """Marks a node as leaving."""
        old = self.roster.members[ref.vm]
        members = {**self.roster.members, ref.vm: old._replace(leaving=True)}
        offset = self.roster.offset + 1
        self.roster = RosterView(offset, members, self.roster.ended)

    def live(self) -> list[FakeNode]:
        nodes = self.nodes.values()
        return [n for n in nodes if not (n.is_dead or n.is_frozen)]

    def sync(self, node: FakeNode) -> None:
        """Shows the newest roster to one node."""
        if not node.is_dead and not node.is_frozen:
            node.roster.replace(self.roster)

    def post(self, sender: NodeRef, to: NodeRef, msg: Message) -> None:
        if (sender.vm, to.vm) not in self.cut:
            self.pool.append((sender, to, msg))

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Hands over one message; `keep` leaves a duplicate on its way."""
        sender, to, msg = self.pool[position]
        node = self.nodes[to]
        if node.is_frozen:
            return
        if not keep:
            self.pool.pop(position)
        if not node.is_dead:
            node.node.receive(sender, msg)

    def deliver_all(self, rng: random.Random | None = None) -> None:
        """Hands over every message, in random order if `rng` is given."""
        left = MAX_DELIVERIES
        while ready := [
            number
            for number, (_, to, _) in enumerate(self.pool)
            if not self.nodes[to].is_frozen
        ]:
            left -= 1
            assert left > 0, f"messages without end: {self.pool[:4]}"
            self.deliver(rng.choice(ready) if rng else ready[0])

    def tick(self) -> None:
        for node in self.live():
            node.node.tick()

    def report_loads(self) -> None:
        for node in self.live():
            for name, engine in self.engines.items():
                node.node.load(name, engine.report())

    def settle(
        self, clock: FrozenDateTimeFactory, seconds: float = 2.0
    ) -> None:
        """Lets time pass with every message delivered."""
        for _ in range(int(seconds / 0.25)):
            for node in self.live():
                self.sync(node)
            clock.tick(0.25)
            self.tick()
            self.deliver_all()
            self.report_loads()
            self.deliver_all()

    def begin(self, node: FakeNode, permit_id: str) -> Permit:
        """Dispatches work under a granted permit."""
        permit = node.permit(permit_id)
        assert permit is not None, "not granted"
        self.engines[permit.backend_server].begin(node.ref, permit)
        return permit

    def first_token(self, node: FakeNode, permit: Permit) -> None:
        engine = self.engines[permit.backend_server]
        node.node.holder.holdings.started(
            permit, engine.incarnation, 0.1, is_cold=engine.is_cold
        )

    def finish(self, node: FakeNode, permit: Permit) -> None:
        """Completes work and returns its permit."""
        engine = self.engines[permit.backend_server]
        was_running = engine.running.pop(permit.stream_id, None) is not None
        use = UNUSED._replace(
            completed=was_running, incarnation=engine.incarnation
        )
        node.node.holder.holdings.release(permit, use)


class DirectLink:
    """A `PeerLink` that hands messages over at once, between live gates."""

    def __init__(
        self, ref: NodeRef, links: "dict[NodeRef, DirectLink]"
    ) -> None:
        self._ref = ref
        self._links = links
        self._handlers: dict[type, Any] = {}
        links[ref] = self

    def tell(self, node: NodeRef, msg: Message) -> bool:
        link = self._links.get(node)
        handler = link._handlers.get(type(msg)) if link else None
        if handler is None:
            return False
        handler(self._ref, msg)
        return True

    def ask(
        self,
        node: NodeRef,
        msg: Message,
        answer_type: type[Answer],
        timeout_s: float,
    ) -> "Future[Result[Answer, PeerFault]]":
        raise AssertionError("permits only tell")

    def on_tell(
        self, msg_type: type[M], handler: Callable[[NodeRef, M], None]
    ) -> None:
        self._handlers[msg_type] = handler

    def on_ask(
        self,
        msg_type: type[M],
        handler: "Callable[[NodeRef, M, Future[Message]], None]",
    ) -> None:
        raise AssertionError("permits only tell")


class FakeCanceller:
    """Counts cancelled streams; always sure that they are over."""

    def __init__(self) -> None:
        self.cancelled: list[str] = []

    def cancel(self, backend_server: str, stream_id: str) -> Result[None, str]:
        self.cancelled.append(stream_id)
        return Success(None)
