"""Discrete-event simulation of engines, arrivals and losses of engines.

The engines are simplified: they prefill prompts one after another, tokens
take longer the more requests run, and copies off one engine go one after
another. Placement decisions are made by the code that nodes run.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.emulator.engine import Engine
from savorylift.emulator.job import FleetSample, Job, Outcome
from savorylift.emulator.load_file import Arrivals, Loss, Workload
from savorylift.emulator.policies import Policy
from savorylift.exchange.wish import PREFILL_SHARE, QUEUE_WAIT_FACTOR
from savorylift.moves.move_order import copy_time_s, is_next
from savorylift.placement.engines import EngineOptions
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_order import TurnOrder
from savorylift.routing.configuration import EngineTraits

BYTES_PER_MEGABIT = 125_000.0
SAMPLE_INTERVAL_S = 0.5


class SimulationResult(NamedTuple):
    """The result of simulating one policy.

    Attributes:
        policy: Name of the policy.
        jobs: All generations in the order of arrival.
        samples: States of the fleet over time.
    """

    policy: str
    jobs: list[Job]
    samples: list[FleetSample]


class Simulation:
    """Simulates one workload under one policy."""

    def __init__(self, workload: Workload, policy: Policy) -> None:
        """Creates the engines; its own draws use the workload's seed."""
        self._workload = workload
        self._policy = policy
        self._rng = random.Random(workload.seed)
        cfg = workload.engines
        self._traits = EngineTraits(
            slots=cfg.slots,
            memory_tokens=cfg.memory_tokens,
            token_bytes=cfg.token_bytes,
            link_bytes_per_s=cfg.link_mbps * BYTES_PER_MEGABIT,
            can_move=True,
            tokens_per_event=1,
        )
        domains = itertools.cycle(cfg.failure_domains)
        self._engines = [
            Engine(number, next(domains), cfg.slots)
            for number in range(cfg.count)
        ]
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._jobs: list[Job] = []
        self._waiting: dict[int, tuple[Ticket, Job]] = {}
        self._order = TurnOrder()
        self._samples: list[FleetSample] = []

    def run(self) -> SimulationResult:
        """Runs the simulation until no event is left."""
        for kind in self._workload.arrivals:
            self._schedule(
                kind.from_s + self._draw_interarrival_s(kind),
                self._on_arrival,
                kind,
            )
        for loss in self._workload.losses:
            self._schedule(loss.at_s, self._on_loss_notice, loss)
        self._schedule(0.0, self._on_sample_due)
        while self._events:
            self._now_s, _, callback = heapq.heappop(self._events)
            callback()
        return SimulationResult(self._policy.name, self._jobs, self._samples)

    def _schedule(
        self, at_s: float, callback: Callable[..., None], *args: object
    ) -> None:
        event = (at_s, next(self._event_numbers), lambda: callback(*args))
        heapq.heappush(self._events, event)

    def _draw_interarrival_s(self, kind: Arrivals) -> float:
        return self._rng.expovariate(kind.per_s)

    def _on_sample_due(self) -> None:
        running = [engine for engine in self._engines if engine.is_running]
        capacity = len(running) * self._traits.memory_tokens
        used = sum(
            job.memory_tokens(self._now_s)
            for engine in running
            for job in engine.jobs.values()
        )
        fill = used / capacity if capacity else 0.0
        self._samples.append(FleetSample(self._now_s, fill, len(self._waiting)))
        if self._now_s < self._workload.duration_s:
            self._schedule(self._now_s + SAMPLE_INTERVAL_S, self._on_sample_due)

    def _on_arrival(self, kind: Arrivals) -> None:
        arrivals_end_s = (
            self._workload.duration_s if kind.to_s is None else kind.to_s
        )
        if self._now_s > arrivals_end_s:
            return
        self._schedule(
            self._now_s + self._draw_interarrival_s(kind),
            self._on_arrival,
            kind,
        )
        output_tokens = self._rng.randint(*kind.output_tokens)
        hint = int(
            output_tokens * self._rng.lognormvariate(0.0, kind.hint_error)
        )
        job = Job(len(self._jobs), kind, self._now_s, output_tokens, hint)
        self._jobs.append(job)
        weight = self._workload.teams.get(kind.team, 1)
        leave_s = self._now_s + QUEUE_WAIT_FACTOR * kind.objective_s
        ticket = Ticket(
            kind.priority,
            kind.team,
            job.tokens / weight,
            job.tokens,
            self._now_s,
            self._now_s + kind.objective_s,
            leave_s,
            job.number,
        )
        self._waiting[job.number] = ticket, job
        self._schedule(leave_s, self._on_wait_timeout, job.number)
        self._dispatch()

    def _on_wait_timeout(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            waiting[1].outcome = Outcome.REFUSED

    def _dispatch(self) -> None:
        """Assigns engines to waiting generations in the nodes' queue order."""
        tickets = [ticket for ticket, _ in self._waiting.values()]
        for ticket in self._order.sort(tickets, self._now_s):
            _, job = self._waiting[ticket.number]
            engine = self._choose_engine(job)
            if engine is not None:
                del self._waiting[job.number]
                self._order.record_turn(ticket)
                self._start_job(job, engine)

    def _choose_engine(self, job: Job) -> Engine | None:
        engines = self._available_engines()
        prefill_per_s = self._workload.engines.read_tokens_per_ms * 1000
        options = EngineOptions(
            self._traits,
            job.tokens,
            job.kind.prompt_tokens,
            PREFILL_SHARE * job.kind.objective_s * prefill_per_s,
        )
        server = self._policy.choose(
            [engine.server for engine in engines],
            {engine.server_id: engine.load() for engine in engines},
            options,
        )
        return None if server is None else self._engine_of(server)

    def _available_engines(self) -> list[Engine]:
        return [e for e in self._engines if e.is_running and not e.is_leaving]

    def _engine_of(self, server: BackendServer) -> Engine:
        return next(e for e in self._engines if e.server is server)

    def _start_job(self, job: Job, engine: Engine) -> None:
        """Assigns a generation to an engine, which prefills prompts in turn."""
        job.engine = self._engines.index(engine)
        engine.jobs[job.number] = job
        prefill_per_s = self._workload.engines.read_tokens_per_ms * 1000
        start_s = max(engine.prefill_until_s, self._now_s)
        start_s = max(
            start_s,
            engine.room_at_s(job, self._traits.memory_tokens, self._now_s),
        )
        engine.prefill_until_s = (
            start_s + job.kind.prompt_tokens / prefill_per_s
        )
        self._schedule(
            engine.prefill_until_s, self._on_first_token, job, engine
        )

    def _on_first_token(self, job: Job, engine: Engine) -> None:
        if engine.jobs.get(job.number) is not job:
            return
        job.first_token_at_s = self._now_s
        cfg = self._workload.engines
        slowdown = 1 + cfg.crowding * len(engine.jobs) / cfg.slots
        span_s = job.output_tokens * cfg.step_ms / 1000 * slowdown
        job.ends_s = self._now_s + span_s
        self._schedule(job.ends_s, self._on_last_token, job, job.ends_s)

    def _on_last_token(self, job: Job, ends_s: float) -> None:
        if job.outcome is not None or job.engine is None:
            return
        if ends_s != job.ends_s:
            return
        ttft_s = job.time_to_first_token_s or 0.0
        is_in_time = ttft_s <= job.kind.objective_s
        job.outcome = Outcome.IN_TIME if is_in_time else Outcome.LATE
        del self._engines[job.engine].jobs[job.number]
        self._dispatch()

    def _on_loss_notice(self, loss: Loss) -> None:
        engines = self._available_engines()
        if not engines:
            return
        engine = self._rng.choice(engines)
        engine.is_leaving = True
        lost_s = self._now_s + loss.notice_s
        if loss.notice_s and self._policy.uses_queue:
            self._start_next_move(engine, lost_s)
        self._schedule(lost_s, self._on_engine_lost, engine, loss)

    def _start_next_move(self, engine: Engine, lost_s: float) -> None:
        """Starts the next copy off an engine, in the order that nodes use."""
        moves = engine.planned_moves(self._now_s)
        next_move = next((move for move in moves if is_next(move, moves)), None)
        if next_move is None:
            return
        job = engine.jobs[int(next_move.attempt_id)]
        destination = self._choose_engine(job)
        if destination is None:
            return
        is_cross_domain = (
            engine.server.entry.failure_domain
            != destination.server.entry.failure_domain
        )
        copied_s = self._now_s + copy_time_s(
            next_move.tokens, self._traits, is_cross_domain=is_cross_domain
        )
        if copied_s <= lost_s:
            self._schedule(
                copied_s,
                self._on_copy_complete,
                job,
                engine,
                destination,
                lost_s,
            )

    def _on_copy_complete(
        self, job: Job, engine: Engine, destination: Engine, lost_s: float
    ) -> None:
        if engine.jobs.get(job.number) is job and destination.is_running:
            del engine.jobs[job.number]
            destination.jobs[job.number] = job
            job.engine = self._engines.index(destination)
            job.moves += 1
        self._start_next_move(engine, lost_s)

    def _on_engine_lost(self, engine: Engine, loss: Loss) -> None:
        for job in engine.jobs.values():
            job.outcome = Outcome.LOST
        engine.jobs.clear()
        engine.is_running = False
        self._schedule(
            self._now_s + loss.back_after_s, self._on_engine_replaced, engine
        )

    def _on_engine_replaced(self, engine: Engine) -> None:
        engine.is_running = True
        engine.is_leaving = False
        engine.prefill_until_s = self._now_s
        self._dispatch()


def simulate_all(
    workload: Workload, policies: Iterable[Policy]
) -> list[SimulationResult]:
    """Simulates the same workload under each policy."""
    return [Simulation(workload, policy).run() for policy in policies]
