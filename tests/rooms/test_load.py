"""Plays more load than engines hold, with and without a keeper of their room.

The load is that of a fleet of 88 nodes which each get 0.4 generations a
second of two kinds, long ones and short ones that are more urgent, while a
sixth of the 30 engines leaves. Without a keeper each node orders its own
queue, and hears of ends only with the others' periodic messages.
"""

import random
import time
from typing import NamedTuple, Protocol

import freezegun
import pytest

from savorylift.backends.load import Load
from savorylift.fleet.room_messages import RoomOutcome
from savorylift.placement.engines import EngineOptions, choose_engine
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_order import TurnOrder
from savorylift.rooms.book import PlaceKey
from savorylift.rooms.service_room import ServiceRoom
from tests.rooms.factories import TRAITS, make_engines, make_request

NODES = 88
MESSAGE_INTERVAL_S = 1.1
ENGINES = 30
LEAVING = 5
LEAVE_S, BACK_S = 5.0, 11.0
TRAITS_HERE = TRAITS._replace(slots=24, memory_tokens=27_000)
PREFILL_PER_S = 10_000.0
STEP_S = 0.02
LOAD_S = 16.0


class Kind(NamedTuple):
    """A kind of generation; times in seconds."""

    name: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    run_s: float
    per_s: float


LONG = Kind("long", 2, 3000, 744, 4.0, 9.0, 12.5)
SHORT = Kind("short", 0, 2400, 12, 1.5, 0.3, 24.2)


class Job:
    """A generation of the load."""

    def __init__(self, number: int, kind: Kind, node: int) -> None:
        """Creates one that has just arrived."""
        self.number, self.kind, self.node = number, kind, node
        self.arrived_s = time.monotonic()
        self.first_s = 0.0
        self.ends_s = 0.0
        self.engine: str | None = None
        self.is_refused = False

    @property
    def tokens(self) -> int:
        """Tokens that it reaches."""
        return self.kind.prompt_tokens + self.kind.output_tokens

    @property
    def leave_s(self) -> float:
        """Time until which it waits."""
        return self.arrived_s + 2 * self.kind.objective_s

    @property
    def latest_start_s(self) -> float:
        """Time until which it can start and still meet its objective."""
        prefill_s = self.kind.prompt_tokens / PREFILL_PER_S
        return self.arrived_s + self.kind.objective_s - prefill_s

    @property
    def is_in_aim(self) -> bool:
        """Whether its first token came in time."""
        limit_s = self.arrived_s + self.kind.objective_s
        return self.engine is not None and self.first_s <= limit_s


class Dispatcher(Protocol):
    """Decides which engines get which jobs."""

    def add(self, job: Job) -> None:
        """Adds a job."""
        ...

    def end(self, job: Job) -> None:
        """Notes that an engine has completed a job."""
        ...

    def assign(self, leaving: set[str]) -> list[tuple[Job, str]]:
        """Returns the jobs that get engines now."""
        ...


class Keeper:
    """All nodes ask one keeper."""

    def __init__(self) -> None:
        """Starts without jobs."""
        self._room = ServiceRoom(random.Random(1))
        self._engines = make_engines(*engine_ids(), traits=TRAITS_HERE)
        self._jobs: dict[PlaceKey, Job] = {}

    def add(self, job: Job) -> None:
        """Adds a job."""
        self._jobs[PlaceKey(f"n{job.node}", job.number)] = job

    def end(self, job: Job) -> None:
        """Notes that an engine has completed a job."""
        self._room.end(PlaceKey(f"n{job.node}", job.number))

    def assign(self, leaving: set[str]) -> list[tuple[Job, str]]:
        """Returns the jobs that get engines now."""
        now_s = time.monotonic()
        for key, job in self._jobs.items():
            req = make_request(job.number, job.tokens)._replace(
                priority=job.kind.priority,
                prompt_tokens=job.kind.prompt_tokens,
                max_prefill_tokens=max_prefill(job.kind),
                start_in_s=job.latest_start_s - now_s,
                leave_in_s=job.leave_s - now_s,
            )
            self._room.add(key, req)
        staying = self._engines._replace(
            servers=[
                s
                for s in self._engines.servers
                if s.entry.server_id not in leaving
            ]
        )
        found = []
        for key, reply in self._room.dispatch(staying):
            job = self._jobs.pop(key)
            job.is_refused = reply.outcome == RoomOutcome.REFUSED
            if reply.server_id is not None:
                found.append((job, reply.server_id))
        for key, job in list(self._jobs.items()):
            if now_s > job.leave_s:
                del self._jobs[key]
        return found


class LoneNodes:
    """Each node orders its own jobs, and hears of ends late."""

    def __init__(self) -> None:
        """Starts without jobs."""
        self._rng = random.Random(1)
        self._engines = make_engines(*engine_ids(), traits=TRAITS_HERE)
        self._orders = [TurnOrder() for _ in range(NODES)]
        self._jobs: dict[int, dict[Ticket, Job]] = {n: {} for n in range(NODES)}
        self._loads: dict[str, Load] = {}
        self._unheard: list[tuple[float, Job]] = []
        self._prefilling: list[Job] = []

    def add(self, job: Job) -> None:
        """Adds a job."""
        ticket = Ticket(
            job.kind.priority,
            "",
            job.tokens,
            job.tokens,
            job.arrived_s,
            job.latest_start_s,
            job.leave_s,
            job.number,
        )
        self._jobs[job.node][ticket] = job

    def end(self, job: Job) -> None:
        """Notes that the others hear of an end with the next message."""
        delay_s = self._rng.uniform(0, MESSAGE_INTERVAL_S)
        self._unheard.append((time.monotonic() + delay_s, job))

    def assign(self, leaving: set[str]) -> list[tuple[Job, str]]:
        """Returns the jobs that get engines now."""
        now_s = time.monotonic()
        for item in [i for i in self._unheard if i[0] <= now_s]:
            self._unheard.remove(item)
            self._add(item[1].engine or "", -item[1].tokens)
        for job in [j for j in self._prefilling if j.first_s <= now_s]:
            self._prefilling.remove(job)
            self._add(job.engine or "", 0, -job.kind.prompt_tokens)
        servers = [
            s for s in self._engines.servers if s.entry.server_id not in leaving
        ]
        found = []
        for node in self._rng.sample(range(NODES), NODES):
            jobs = self._jobs[node]
            for ticket in self._orders[node].sort(list(jobs), now_s):
                job = jobs[ticket]
                options = EngineOptions(
                    TRAITS_HERE,
                    job.tokens,
                    job.kind.prompt_tokens,
                    max_prefill(job.kind),
                )
                server = choose_engine(servers, self._loads, options, self._rng)
                if server is not None:
                    self._orders[node].record_turn(ticket)
                    self._prefilling.append(job)
                    prompt_tokens = job.kind.prompt_tokens
                    server_id = server.entry.server_id
                    self._add(server_id, job.tokens, prompt_tokens)
                    found.append((job, server.entry.server_id))
                    del jobs[ticket]
                elif now_s > job.leave_s:
                    del jobs[ticket]
        return found

    def _add(
        self, server_id: str, tokens: int, prefill_tokens: int = 0
    ) -> None:
        load = self._loads.get(server_id, Load())
        change = (tokens > 0) - (tokens < 0)
        self._loads[server_id] = load._replace(
            requests=load.requests + change,
            tokens=load.tokens + tokens,
            prefill_tokens=load.prefill_tokens + prefill_tokens,
        )


def engine_ids() -> list[str]:
    return [f"e{number}" for number in range(ENGINES)]


def max_prefill(kind: Kind) -> float:
    return 0.6 * kind.objective_s * PREFILL_PER_S


def play(dispatcher: Dispatcher, times: float, seed: int) -> list[Job]:
    """Returns the jobs of a load that is `times` the usual one."""
    rng = random.Random(seed)
    jobs: list[Job] = []
    running: list[Job] = []
    prefilled_s: dict[str, float] = {}
    with freezegun.freeze_time("2026-01-01") as clock:
        begun_s = time.monotonic()
        while (at_s := time.monotonic() - begun_s) < LOAD_S + 10:
            for kind in (LONG, SHORT):
                is_due = rng.random() < kind.per_s * times * STEP_S
                if is_due and at_s < LOAD_S:
                    job = Job(len(jobs), kind, rng.randrange(NODES))
                    jobs.append(job)
                    dispatcher.add(job)
            now_s = time.monotonic()
            for job in [j for j in running if j.ends_s <= now_s]:
                running.remove(job)
                dispatcher.end(job)
            is_away = LEAVE_S <= at_s < BACK_S
            leaving = set(engine_ids()[:LEAVING]) if is_away else set()
            for job, engine in dispatcher.assign(leaving):
                begin_s = max(prefilled_s.get(engine, 0.0), now_s)
                job.engine = engine
                job.first_s = begin_s + job.kind.prompt_tokens / PREFILL_PER_S
                job.ends_s = job.first_s + job.kind.run_s
                prefilled_s[engine] = job.first_s
                running.append(job)
            clock.tick(STEP_S)
    return jobs


def share_in_aim(jobs: list[Job], kind: Kind) -> float:
    """Returns which share of a kind got its first token in time."""
    of_kind = [job for job in jobs if job.kind is kind]
    return sum(job.is_in_aim for job in of_kind) / len(of_kind)


@pytest.mark.parametrize("seed", [1, 2])
def test_short_room_serves_more_in_time_and_the_urgent_first(seed: int) -> None:
    """What is missing is taken from those that are less urgent."""
    kept = play(Keeper(), 1.7, seed)
    lone = play(LoneNodes(), 1.7, seed)
    assert share_in_aim(kept, SHORT) >= share_in_aim(lone, SHORT)
    assert share_in_aim(kept, SHORT) > 0.95
    assert sum(j.is_in_aim for j in kept) >= sum(j.is_in_aim for j in lone)


def test_light_load_is_all_in_time() -> None:
    jobs = play(Keeper(), 0.5, 1)
    assert share_in_aim(jobs, LONG) == share_in_aim(jobs, SHORT) == 1.0


def test_what_can_not_be_in_time_is_refused_before_its_time_is_over() -> None:
    jobs = play(Keeper(), 2.5, 1)
    refused = [job for job in jobs if job.is_refused]
    assert refused
    assert {job.kind.priority for job in refused} == {LONG.priority}
    for job in jobs:
        assert job.engine is not None or job.is_refused or job.kind is LONG
