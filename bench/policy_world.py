"""Nodes and keepers in virtual time before the engines of one deployment.

Holders and keepers are the package's own; messages between them take no
time. Each request goes to one of `NODES` nodes, whose policy learns from its
own requests alone.
"""

import heapq
import itertools
import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, runtime_checkable
from unittest import mock

from returns.result import Result, Success

from bench import policy_load
from bench.policy_engine import Engine, Stream
from bench.policy_load import Arrival, Deployment
from bench.policy_rivals import AllKnowing, LeastOutstanding, RoundRobin
from savorylift.identity import NodeInfo, NodeRef
from savorylift.outcomes import Refusal
from savorylift.peers.view import Member, RosterSource, RosterView
from savorylift.permits import messages as m
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import Permit, PermitRequest, PermitUse
from savorylift.permits.holder import Holder
from savorylift.permits.keeper import Keeper
from savorylift.permits.options import PermitOptions
from savorylift.permits.share import OwnedLot
from savorylift.permits.tally import Tally
from savorylift.rules.view import Model, RulesSource, Team
from savorylift.streams.memory_placement import MemoryPlacement
from savorylift.streams.placement import GenerationRequest, Placement
from savorylift.streams.prefixes import CacheEvent, prefix_hash

NODES = 6
ADJUST_S = 1.0
TICK_S = 0.25
REPORT_S = 0.5  # between load reports, and their age
CACHE_LAG_S = 1.0
CACHE_GAP_SHARE = 0.1
OPTIONS = PermitOptions(refresh_s=1e6, query_after_s=1e6)
KEEPER = NodeRef("keeper", "1")
MODEL = Model(policy_load.MODEL, "v1", policy_load.SOURCE)


class Scenario(NamedTuple):
    """One run; `domain_out` is `none`, `change` or `always`."""

    deployment: str
    policy: str
    load: float
    domain_out: str = "none"


class Outcome(NamedTuple):
    """What became of one counted request; times in seconds."""

    at_s: float
    first_token_s: float
    end_s: float  # infinite unless whole within its deadline
    length: int
    stalled_s: float

    @property
    def is_good(self) -> bool:
        """True if it was whole within its deadline."""
        return self.end_s < float("inf")


class Measured(NamedTuple):
    """What one run gave."""

    outcomes: list[Outcome]
    gaps: dict[str, Counter[float]]
    preemptions: int
    cold_overruns: int


@runtime_checkable
class KnowsLatestStart(Protocol):
    """A policy that can tell when a start is too late."""

    def latest_start_s(self, req: GenerationRequest) -> float:
        """Returns the virtual time."""


class _Work:
    """One request on its way."""

    def __init__(
        self, req: GenerationRequest, node: "_Node", arrival: Arrival
    ) -> None:
        self.req = req
        self.node = node
        self.arrival = arrival
        prefix = prefix_hash(MODEL.name, req.prompt)
        self.stream = Stream(arrival.prompt, arrival.length, prefix)
        self.permit: Permit | None = None
        self.tokens = 0
        self.first_token_s = float("inf")
        self.end_s = float("inf")


class _Node:
    """One node: its holder of permits and its policy."""

    def __init__(self, world: "World", number: int) -> None:
        self.ref = NodeRef(f"entry-{number}", "1")
        self.placement = world.make_policy()
        self.holder = Holder(
            self.ref, world.roster, lambda _: [KEEPER], OPTIONS,
            _Sender(world, self.ref), world, Tally(),
        )  # fmt: skip


class _Sender:
    def __init__(self, world: "World", ref: NodeRef) -> None:
        self._world = world
        self._ref = ref

    def send(self, node: NodeRef, msg: Any) -> None:  # noqa: ANN401
        self._world.mail.append((self._ref, node, msg))


class World:
    """One run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Builds engines, keepers and nodes; `run` runs them."""
        self.scenario = scenario
        self.seed = seed
        self.deployment: Deployment = policy_load.DEPLOYMENTS[
            scenario.deployment
        ]
        self.now_s = 0.0
        self.mail: deque[tuple[NodeRef, NodeRef, Any]] = deque()
        self.rules = RulesSource(policy_load.rules_of(self.deployment))
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._works: dict[str, _Work] = {}
        self._by_stream: dict[Stream, _Work] = {}
        self._gaps: dict[str, Counter[float]] = {}
        self._reported: Counter[str] = Counter()
        self._cache_read: Counter[str] = Counter()
        self._shut: set[str] = set()
        self._build()

    def run(self) -> Measured:
        """Runs all requests to their ends."""
        with mock.patch("time.monotonic", self._read_clock):
            self._schedule_all()
            while self._events and self.now_s < policy_load.RUN_S + 60:
                self._step()
        return self._measured()

    def make_policy(self) -> Placement:
        """Returns a new policy of the scenario's kind."""
        match self.scenario.policy:
            case "memory":
                return MemoryPlacement(self.rules)
            case "least-outstanding":
                return LeastOutstanding(self.engines)
            case "all-knowing":
                return AllKnowing(lambda key: self._works[key].arrival.length)
            case _:
                return RoundRobin()

    def resolve(self, permit_id: str, answer: Result[Permit, Refusal]) -> None:
        """Dispatches a request whose permit was granted."""
        work = self._works[permit_id]
        if not isinstance(answer, Success):
            return
        permit = answer.unwrap()
        if permit.backend_server in self._shut:
            self._release(work, permit, completed=False)
            return
        work.permit = permit
        note = getattr(work.node.placement, "note_dispatched", None)
        if note is not None:
            note(work.req, permit.backend_server)
        self.engines[permit.backend_server].submit(work.stream)
        self._at(self.now_s + ADJUST_S, lambda: self._adjust(work))

    def first_token(self, stream: Stream) -> None:
        """Tells the keeper of the first token."""
        work = self._by_stream[stream]
        assert work.permit is not None, "runs without a permit"
        engine = self.engines[work.permit.backend_server]
        work.first_token_s = self.now_s - work.arrival.at_s
        work.node.holder.holdings.started(
            work.permit, str(engine.incarnation), 0.0, is_cold=engine.is_cold
        )

    def completed(self, stream: Stream) -> None:
        """Returns the permit of a completed generation."""
        work = self._by_stream[stream]
        assert work.permit is not None, "runs without a permit"
        work.end_s = self.now_s
        work.node.placement.note_finished(work.req, work.arrival.length)
        self._release(work, work.permit, completed=True)

    def _read_clock(self) -> float:
        return self.now_s

    def _build(self) -> None:
        servers = self.rules.current().backend_servers
        refs = [NodeRef(f"entry-{i}", "1") for i in range(NODES)]
        self.roster = RosterSource(
            RosterView(
                0,
                {
                    ref.vm: Member(NodeInfo(ref, "", "", "", ""), 0, False)
                    for ref in [*refs, KEEPER]
                },
            )
        )
        self.engines: dict[str, Engine] = {}
        self.keepers: dict[str, Keeper] = {}
        for name, server in servers.items():
            engine = Engine(
                name, server.kv_tokens, server.warm_limit, server.cold_limit,
                lambda: self.now_s,
            )  # fmt: skip
            engine.follower = self
            self.engines[name] = engine
            keeper = Keeper(server, OPTIONS, _Sender(self, KEEPER), Tally())
            for number in range(keeper.share.lot_count):
                keeper.take_lot(OwnedLot(m.Lot(name, number), 0, 0), None)
            self.keepers[name] = keeper
        self.nodes = [_Node(self, i) for i in range(NODES)]
        self._holders = {node.ref: node.holder for node in self.nodes}

    def _schedule_all(self) -> None:
        if self.scenario.domain_out == "always":
            self._shut = self._first_domain()
        elif self.scenario.domain_out == "change":
            self._at(
                policy_load.OUT_S,
                lambda: self._shut.update(self._first_domain()),
            )
            self._at(policy_load.RESTART_S, self._cool_shut)
            self._at(policy_load.BACK_S, self._shut.clear)
        for number, arrival in enumerate(
            policy_load.arrivals(self.deployment, self.scenario.load, self.seed)
        ):
            self._at_arrival(f"{number}", arrival)
        self._at(0.0, self._tick)
        self._at(0.0, self._report)

    def _at_arrival(self, key: str, arrival: Arrival) -> None:
        self._at(arrival.at_s, lambda: self._arrive(key, arrival))

    def _first_domain(self) -> set[str]:
        servers = self.rules.current().backend_servers.values()
        return {s.name for s in servers if s.failure_domain == "domain-0"}

    def _cool_shut(self) -> None:
        for name in sorted(self._shut):
            self.engines[name].turn_cold()

    def _step(self) -> None:
        engine = min(self.engines.values(), key=Engine.next_event_s)
        engine_s = engine.next_event_s()
        if engine_s <= self._events[0][0]:
            self.now_s = max(self.now_s, engine_s)
            engine.run()
        else:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        self._deliver()

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), act))

    def _arrive(self, key: str, arrival: Arrival) -> None:
        team = Team(
            f"team-{arrival.team}", 1, frozenset("*"), 0, policy_load.SOURCE
        )
        head = [f"{team.name}-{arrival.template}"] * 16
        prompt = " ".join(head + ["w"] * (arrival.prompt - 16))
        deadline_s = self.now_s + arrival.timeout_s
        req = GenerationRequest(
            key, team, MODEL, prompt, policy_load.MAX_TOKENS, 1, 0, deadline_s
        )
        node = self.nodes[zlib.crc32(key.encode()) % NODES]
        work = self._works[key] = _Work(req, node, arrival)
        self._by_stream[work.stream] = work
        self._ask(work)
        self._at(deadline_s, lambda: self._give_up(work))

    def _ask(self, work: _Work) -> None:
        placement, req = work.node.placement, work.req
        servers = [
            server
            for server in self.rules.current().backend_servers.values()
            if server.name not in self._shut
        ]
        hints = work.node.holder.hints
        start_s = req.deadline_s
        if isinstance(placement, KnowsLatestStart):
            start_s = placement.latest_start_s(req)
        work.tokens = placement.reserve(req, 0)
        work.node.holder.acquire(
            PermitRequest(
                req.request_id, placement.order(req, servers, hints),
                req.request_id, req.team.name, 1, 0, work.tokens, start_s,
            )
        )  # fmt: skip

    def _adjust(self, work: _Work) -> None:
        if work.permit is None or work.stream.is_over:
            return
        engine = self.engines[work.permit.backend_server]
        engine.run()
        produced = engine.produced(work.stream)
        tokens = work.node.placement.reserve(work.req, produced)
        if tokens != work.tokens:
            work.tokens = tokens
            work.node.holder.holdings.adjust(work.permit, tokens)
        self._at(self.now_s + ADJUST_S, lambda: self._adjust(work))

    def _give_up(self, work: _Work) -> None:
        if work.permit is None:
            work.node.holder.give_up(work.req.request_id)
        elif not work.stream.is_over:
            self.engines[work.permit.backend_server].cancel(work.stream)
            if not work.end_s < float("inf"):
                self._release(work, work.permit, completed=False)

    def _release(self, work: _Work, permit: Permit, *, completed: bool) -> None:
        incarnation = str(self.engines[permit.backend_server].incarnation)
        use = PermitUse(
            True, completed, None, work.arrival.length, False, incarnation
        )
        work.node.holder.holdings.release(permit, use)

    def _tick(self) -> None:
        for node in self.nodes:
            node.holder.tick()
        for keeper in self.keepers.values():
            keeper.tick()
        self._at(self.now_s + TICK_S, self._tick)

    def _report(self) -> None:
        """Passes on load reports and cache events of every engine."""
        phase = self._phase()
        for name, engine in self.engines.items():
            engine.run()
            self._gaps.setdefault(phase, Counter()).update(engine.gaps)
            engine.gaps.clear()
            report = LoadReport(
                self.now_s - REPORT_S, str(engine.incarnation),
                engine.is_cold, False, engine.active,
            )  # fmt: skip
            self.keepers[name].load(report)
            new = engine.preemptions - self._reported[name]
            self._reported[name] = engine.preemptions
            events = self._fresh_events(engine)
            for node in self.nodes:
                if isinstance(node.placement, MemoryPlacement):
                    node.placement.note_preemptions(name, new)
                    node.placement.note_cache_events(name, events)
        self._at(self.now_s + REPORT_S, self._report)

    def _fresh_events(self, engine: Engine) -> list[CacheEvent]:
        found = []
        known = engine.cache_events
        at = self._cache_read[engine.name]
        while at < len(known) and known[at][0] <= self.now_s - CACHE_LAG_S:
            if self._rng.random() >= CACHE_GAP_SHARE:
                found.append(CacheEvent(at, known[at][2], known[at][1]))
            at += 1
        self._cache_read[engine.name] = at
        return found

    def _phase(self) -> str:
        if self.now_s < policy_load.WARM_UP_S:
            return "warm-up"
        if self.now_s < policy_load.OUT_S:
            return "before"
        return "out" if self.now_s < policy_load.BACK_S else "back"

    def _deliver(self) -> None:
        while self.mail:
            sender, to, msg = self.mail.popleft()
            if isinstance(msg, m.PermitGrant | m.PermitDenied | m.PermitQueued):
                self._tell_holder(self._holders[to], sender, msg)
            else:
                self._tell_keeper(sender, msg)

    def _tell_holder(
        self,
        holder: Holder,
        sender: NodeRef,
        msg: m.PermitGrant | m.PermitDenied | m.PermitQueued,
    ) -> None:
        if isinstance(msg, m.PermitGrant):
            holder.granted(sender, msg)
        elif isinstance(msg, m.PermitDenied):
            holder.denied(sender, msg)
        else:
            holder.queued(sender, msg)

    def _tell_keeper(self, sender: NodeRef, msg: Any) -> None:  # noqa: ANN401
        keeper = self.keepers[msg.backend_server]
        if isinstance(msg, m.PermitAsk):
            keeper.ask(msg)
        elif isinstance(msg, m.PermitStarted):
            keeper.start(msg, sender)
        elif isinstance(msg, m.PermitAdjust):
            keeper.adjust(msg.permit_id, sender, msg.tokens)
        elif isinstance(msg, m.PermitReturn):
            keeper.end(msg)
        else:
            keeper.forget(msg.permit_id, sender, msg.kept_lot)

    def _measured(self) -> Measured:
        outcomes = [
            Outcome(
                work.arrival.at_s, work.first_token_s, work.end_s,
                work.arrival.length, work.stream.stalled_s,
            )
            for work in self._works.values()
            if work.arrival.at_s >= policy_load.WARM_UP_S
        ]  # fmt: skip
        engines = self.engines.values()
        self._gaps.pop("warm-up", None)
        return Measured(
            outcomes,
            self._gaps,
            sum(engine.preemptions for engine in engines),
            sum(engine.cold_overruns for engine in engines),
        )
