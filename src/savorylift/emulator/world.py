"""Engines, arrivals and losses in virtual time.

The engines are simple: prompts are read one after another, tokens take longer
the more requests run, and copies of one engine go one after another. What is
decided is decided by the product's own code.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylift.backends.registry import Known
from savorylift.backends.server import ServerEntry
from savorylift.backends.work import Load as EngineLoad
from savorylift.emulator.job import Ending, Job, Sample
from savorylift.emulator.load_file import Arrivals, Load, Loss
from savorylift.emulator.policies import Policy
from savorylift.exchange.engine_queue import HOLD, READING
from savorylift.placement.engines import EngineOptions
from savorylift.placement.fair_share import FairShare
from savorylift.placement.move_order import PlannedMove, copy_time_s, is_next
from savorylift.placement.waiting import Place
from savorylift.routing.configuration import EngineTraits

MEGABIT_BYTES = 125_000.0
SAMPLE_S = 0.5
SERVICE = "engines"


class Engine:
    """One place of an engine, which may be empty for a while.

    Attributes:
        known: The engine as policies see it.
        jobs: Its generations.
        is_there: Whether it runs.
        is_leaving: Whether it takes nothing new.
        read_until_s: When the prompts that it was given are read.
    """

    def __init__(self, number: int, domain: str, slots: int) -> None:
        """Starts empty."""
        entry = ServerEntry(
            server_id=f"engine-{number}",
            service=SERVICE,
            address=("127.0.0.1", 1 + number),
            failure_domain=domain,
            slots=slots,
            is_leaving=False,
            cold_s=0.0,
            started_ms=0,
            sequence=0,
        )
        self.known = Known(entry, 0.0)
        self.jobs: dict[int, Job] = {}
        self.is_there = True
        self.is_leaving = False
        self.read_until_s = 0.0

    @property
    def name(self) -> str:
        """Its identifier."""
        return self.known.entry.server_id

    def load(self) -> EngineLoad:
        """Returns its load as policies see it."""
        unread = (j for j in self.jobs.values() if j.begun_s is None)
        return EngineLoad(
            requests=len(self.jobs),
            tokens=sum(job.tokens for job in self.jobs.values()),
            unread=sum(job.kind.prompt_tokens for job in unread),
        )


class Played(NamedTuple):
    """What a policy made of a load.

    Attributes:
        policy: Its name.
        jobs: Every generation.
        samples: The fleet over time.
    """

    policy: str
    jobs: list[Job]
    samples: list[Sample]


class World:
    """Plays one load on one policy."""

    def __init__(self, load: Load, policy: Policy) -> None:
        """Draws everything from the load's seed."""
        self._load = load
        self._policy = policy
        self._rng = random.Random(load.seed)
        cfg = load.engines
        self._traits = EngineTraits(
            slots=cfg.slots,
            memory_tokens=cfg.memory_tokens,
            token_bytes=cfg.token_bytes,
            link_bytes_per_s=cfg.link_mbps * MEGABIT_BYTES,
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
        self._order = itertools.count()
        self._jobs: list[Job] = []
        self._waiting: dict[int, tuple[Place, Job]] = {}
        self._share = FairShare()
        self._samples: list[Sample] = []

    def play(self) -> Played:
        """Returns what became of every generation."""
        for kind in self._load.arrivals:
            self._at(kind.from_s + self._gap(kind), self._arrive, kind)
        for loss in self._load.losses:
            self._at(loss.at_s, self._lose, loss)
        self._at(0.0, self._sample)
        while self._events:
            self._now_s, _, step = heapq.heappop(self._events)
            step()
        return Played(self._policy.name, self._jobs, self._samples)

    def _at(
        self, at_s: float, step: Callable[..., None], *values: object
    ) -> None:
        entry = (at_s, next(self._order), lambda: step(*values))
        heapq.heappush(self._events, entry)

    def _gap(self, kind: Arrivals) -> float:
        return self._rng.expovariate(kind.per_s)

    def _sample(self) -> None:
        there = [engine for engine in self._engines if engine.is_there]
        room = len(there) * self._traits.memory_tokens
        held = sum(
            job.memory_tokens(self._now_s)
            for engine in there
            for job in engine.jobs.values()
        )
        fill = held / room if room else 0.0
        self._samples.append(Sample(self._now_s, fill, len(self._waiting)))
        if self._now_s < self._load.duration_s:
            self._at(self._now_s + SAMPLE_S, self._sample)

    def _arrive(self, kind: Arrivals) -> None:
        until_s = self._load.duration_s if kind.to_s is None else kind.to_s
        if self._now_s > until_s:
            return
        self._at(self._now_s + self._gap(kind), self._arrive, kind)
        output = self._rng.randint(*kind.output_tokens)
        hint = int(output * self._rng.lognormvariate(0.0, kind.hint_error))
        job = Job(len(self._jobs), kind, self._now_s, output, hint)
        self._jobs.append(job)
        weight = self._load.teams.get(kind.team, 1)
        place = Place(
            kind.priority,
            kind.team,
            job.tokens / weight,
            self._now_s,
            self._now_s + kind.objective_s,
            job.number,
        )
        self._waiting[job.number] = place, job
        self._at(
            self._now_s + HOLD * kind.objective_s, self._refuse, job.number
        )
        self._offer()

    def _refuse(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            waiting[1].ending = Ending.REFUSED

    def _offer(self) -> None:
        """Lets those who wait choose, in the order of the nodes' queue."""
        left = list(self._waiting.values())
        while left:
            entry = min(
                left, key=lambda w: w[0].order(self._now_s, self._share)
            )
            left.remove(entry)
            place, job = entry
            engine = self._choose(job)
            if engine is not None:
                del self._waiting[job.number]
                self._share.charge(place.team, place.cost)
                self._begin(job, engine)

    def _choose(self, job: Job) -> Engine | None:
        usable = self._usable()
        rate = self._load.engines.read_tokens_per_ms * 1000
        options = EngineOptions(
            self._traits,
            job.tokens,
            job.kind.prompt_tokens,
            READING * job.kind.objective_s * rate,
        )
        found = self._policy.choose(
            [engine.known for engine in usable],
            {engine.name: engine.load() for engine in usable},
            options,
        )
        return None if found is None else self._named(found)

    def _usable(self) -> list[Engine]:
        return [e for e in self._engines if e.is_there and not e.is_leaving]

    def _named(self, known: Known) -> Engine:
        return next(e for e in self._engines if e.known is known)

    def _begin(self, job: Job, engine: Engine) -> None:
        """Gives a generation to an engine, which reads its prompt in turn."""
        job.engine = self._engines.index(engine)
        engine.jobs[job.number] = job
        rate = self._load.engines.read_tokens_per_ms * 1000
        start_s = max(engine.read_until_s, self._now_s)
        start_s = max(start_s, self._free_s(engine, job))
        engine.read_until_s = start_s + job.kind.prompt_tokens / rate
        self._at(engine.read_until_s, self._first_token, job, engine)

    def _free_s(self, engine: Engine, job: Job) -> float:
        """Returns when an engine that was overfilled has room."""
        held = sum(other.tokens for other in engine.jobs.values())
        excess = held - self._traits.memory_tokens
        ends = sorted(
            (other.ends_s, other.tokens)
            for other in engine.jobs.values()
            if other is not job and other.begun_s is not None
        )
        for ends_s, tokens in ends:
            if excess <= 0:
                break
            excess -= tokens
            if excess <= 0:
                return ends_s
        return self._now_s

    def _first_token(self, job: Job, engine: Engine) -> None:
        if engine.jobs.get(job.number) is not job:
            return
        job.begun_s = self._now_s
        cfg = self._load.engines
        crowd = 1 + cfg.crowding * len(engine.jobs) / cfg.slots
        span_s = job.output * cfg.step_ms / 1000 * crowd
        job.ends_s = self._now_s + span_s
        self._at(job.ends_s, self._finish, job, job.ends_s)

    def _finish(self, job: Job, ends_s: float) -> None:
        if job.ending is not None or job.engine is None:
            return
        if ends_s != job.ends_s:
            return
        first_s = job.first_token_s or 0.0
        is_in_time = first_s <= job.kind.objective_s
        job.ending = Ending.IN_TIME if is_in_time else Ending.LATE
        del self._engines[job.engine].jobs[job.number]
        self._offer()

    def _lose(self, loss: Loss) -> None:
        usable = self._usable()
        if not usable:
            return
        engine = self._rng.choice(usable)
        engine.is_leaving = True
        gone_s = self._now_s + loss.notice_s
        if loss.notice_s and self._policy.holds:
            self._move_next(engine, gone_s)
        self._at(gone_s, self._gone, engine, loss)

    def _move_next(self, engine: Engine, gone_s: float) -> None:
        """Copies the next run off an engine, in the nodes' order."""
        moves = [
            PlannedMove(engine.name, job.memory_tokens(self._now_s), job.name)
            for job in engine.jobs.values()
            if job.begun_s is not None
        ]
        due = next((move for move in moves if is_next(move, moves)), None)
        if due is None:
            return
        job = engine.jobs[int(due.attempt_id)]
        target = self._choose(job)
        if target is None:
            return
        is_far = (
            engine.known.entry.failure_domain
            != target.known.entry.failure_domain
        )
        copied_s = self._now_s + copy_time_s(
            due.tokens, self._traits, is_far=is_far
        )
        if copied_s <= gone_s:
            self._at(copied_s, self._moved, job, engine, target, gone_s)

    def _moved(
        self, job: Job, engine: Engine, target: Engine, gone_s: float
    ) -> None:
        if engine.jobs.get(job.number) is job and target.is_there:
            del engine.jobs[job.number]
            target.jobs[job.number] = job
            job.engine = self._engines.index(target)
            job.moves += 1
        self._move_next(engine, gone_s)

    def _gone(self, engine: Engine, loss: Loss) -> None:
        for job in engine.jobs.values():
            job.ending = Ending.LOST
        engine.jobs.clear()
        engine.is_there = False
        self._at(self._now_s + loss.back_after_s, self._back, engine)

    def _back(self, engine: Engine) -> None:
        engine.is_there = True
        engine.is_leaving = False
        engine.read_until_s = self._now_s
        self._offer()


def play_all(load: Load, policies: Iterable[Policy]) -> list[Played]:
    """Plays the same load on each policy."""
    return [World(load, policy).play() for policy in policies]
