"""Plays load of teams and callers that swings, and what each of them gets.

Ten engines hold some sixty generations of nine seconds, seven a second, and
more than that is asked for. The same keeper plays what is naive: without teams
the first that comes is served first; with nodes in place of teams, shares hold
by node.
"""

import collections
import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import freezegun
import pytest

from savorylift.fleet.room_messages import RoomOutcome, RoomRequest
from savorylift.rooms.book import PlaceKey
from savorylift.rooms.service_room import ServiceRoom
from tests.rooms.factories import (
    TRAITS,
    make_engines,
    make_load,
    make_request,
)

ENGINES = make_engines(
    *(f"e{number}" for number in range(10)),
    traits=TRAITS._replace(slots=24, memory_tokens=27_000),
)
TOKENS = 3744
RUN_S = 9.0
OBJECTIVE_S = 4.0
STEP_S = 0.05
BUSY_PER_S = 9.0
QUIET_PER_S = 1.0
SWING_S = 12.0
MOST_NODES = 80
STEPS_PER_MESSAGE = 20


class Source(NamedTuple):
    """Who sends generations, and how many a second at a time in seconds."""

    team: str
    per_s: Callable[[float], float]
    nodes: int = 40
    weight: float = 1
    caller: str = ""


class Job:
    """A generation of the load."""

    def __init__(
        self, source: Source, arrived_s: float, rng: random.Random
    ) -> None:
        """Creates one that has just arrived."""
        self.source, self.arrived_s = source, arrived_s
        self.node = rng.randrange(source.nodes)
        # Runs that are all alike would end in waves.
        self.run_s = RUN_S * rng.uniform(0.5, 1.5)
        self.started_s: float | None = None
        self.engine = ""

    @property
    def is_in_aim(self) -> bool:
        """Whether it started in time."""
        if self.started_s is None:
            return False
        return self.started_s - self.arrived_s <= OBJECTIVE_S

    def is_running(self, at_s: float) -> bool:
        """Whether it holds room at a time."""
        begun_s = self.started_s
        return begun_s is not None and begun_s <= at_s < begun_s + self.run_s


def by_team(req: RoomRequest, _job: Job) -> RoomRequest:
    return req


def first_come(req: RoomRequest, _job: Job) -> RoomRequest:
    return req._replace(team="", caller="", weight=1)


def by_node(req: RoomRequest, job: Job) -> RoomRequest:
    return req._replace(team=f"{job.source.team}{job.node}", caller="")


def without_callers(req: RoomRequest, _job: Job) -> RoomRequest:
    return req._replace(caller="")


def play(
    sources: list[Source],
    label: Callable[[RoomRequest, Job], RoomRequest] = by_team,
    *,
    length_s: float = 4 * SWING_S,
    by_held_room: bool = True,
    killed_s: float = math.inf,
    seed: int = 1,
) -> list[Job]:
    """Returns the jobs of a load; a new keeper takes over at `killed_s`."""
    rng = random.Random(seed)
    jobs: list[Job] = []
    waiting: dict[PlaceKey, Job] = {}
    running: dict[PlaceKey, Job] = {}
    with freezegun.freeze_time("2026-01-01") as clock:
        room = ServiceRoom(
            random.Random(seed), shares_by_held_room=by_held_room
        )
        begun_s = time.monotonic()
        while (at_s := time.monotonic() - begun_s) < length_s:
            if at_s >= killed_s:
                room, killed_s = ServiceRoom(random.Random(seed)), math.inf
            if int(at_s / STEP_S) % STEPS_PER_MESSAGE == 0:
                tell_loads(room, running)
            for source in sources:
                if rng.random() < source.per_s(at_s) * STEP_S:
                    job = Job(source, at_s, rng)
                    waiting[PlaceKey(f"n{job.node}", len(jobs))] = job
                    jobs.append(job)
            for key, job in list(running.items()):
                if not job.is_running(at_s):
                    room.end(key)
                    del running[key]
            for key, job in list(waiting.items()):
                left_s = job.arrived_s + OBJECTIVE_S - at_s
                req = make_request(key.number, TOKENS)._replace(
                    team=job.source.team,
                    caller=job.source.caller,
                    weight=job.source.weight,
                    start_in_s=left_s,
                    leave_in_s=left_s + OBJECTIVE_S,
                )
                room.add(key, label(req, job))
            for key, reply in room.dispatch(ENGINES):
                job = waiting.pop(key)
                if reply.outcome == RoomOutcome.GRANTED:
                    job.started_s, job.engine = at_s, reply.server_id or ""
                    running[key] = job
            late_s = at_s - 2 * OBJECTIVE_S
            for key in [k for k, j in waiting.items() if j.arrived_s < late_s]:
                del waiting[key]
            clock.tick(STEP_S)
    return jobs


def tell_loads(room: ServiceRoom, running: dict[PlaceKey, Job]) -> None:
    """Tells a keeper what nodes have at engines, but not for whom."""
    loads: dict[str, collections.Counter[str]] = {
        f"n{node}": collections.Counter() for node in range(MOST_NODES)
    }
    for key, job in running.items():
        loads[key.ip][job.engine] += 1
    for ip, of_node in loads.items():
        room.hear(ip, [make_load(e, n, n * TOKENS) for e, n in of_node.items()])


def share_in_aim(jobs: list[Job]) -> float:
    return sum(job.is_in_aim for job in jobs) / len(jobs)


def share_held(jobs: list[Job], team: str, at_s: float) -> float:
    running = [job for job in jobs if job.is_running(at_s)]
    return sum(job.source.team == team for job in running) / len(running)


def is_north_busy(at_s: float) -> bool:
    return int(at_s / SWING_S) % 2 == 0


NORTH = Source("north", lambda s: BUSY_PER_S if is_north_busy(s) else 1.0)
SOUTH = Source("south", lambda s: 1.0 if is_north_busy(s) else BUSY_PER_S)


def is_quiet(job: Job) -> bool:
    """Whether its team asks for little, and has served what it left over."""
    since_s = job.arrived_s % SWING_S
    if (job.source is NORTH) is is_north_busy(job.arrived_s):
        return False
    return job.arrived_s < SWING_S or since_s >= OBJECTIVE_S


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_team_that_asks_for_little_is_served_while_the_other_is_busy(
    seed: int,
) -> None:
    jobs = play([NORTH, SOUTH], seed=seed)
    naive = play([NORTH, SOUTH], first_come, seed=seed)
    quiet_share = share_in_aim([job for job in jobs if is_quiet(job)])
    assert quiet_share >= 0.95
    assert quiet_share > share_in_aim([job for job in naive if is_quiet(job)])
    # What one leaves idle the other uses.
    started = sum(job.started_s is not None for job in jobs)
    assert started >= 0.98 * sum(job.started_s is not None for job in naive)


def test_team_that_returns_has_its_share_as_runs_of_others_end() -> None:
    """Half of the places become free in half of the time of a run."""
    sources = [
        Source("always", lambda _: BUSY_PER_S),
        Source("returns", lambda s: 0.0 if s < 2 * SWING_S else BUSY_PER_S),
    ]
    jobs = play(sources)
    assert share_held(jobs, "always", 2 * SWING_S - 1.0) == 1.0
    soon_s = 2 * SWING_S + 0.5 * RUN_S + 1.5
    assert share_held(jobs, "returns", soon_s) >= 0.45
    assert share_held(jobs, "returns", 4 * SWING_S - 1.0) <= 0.55
    by_turns = play(sources, by_held_room=False)
    held = share_held(jobs, "returns", soon_s)
    assert held > share_held(by_turns, "returns", soon_s)


@pytest.mark.parametrize(("weight", "share"), [(1, 0.5), (3, 0.75)])
def test_shares_by_weight_hold_over_the_fleet(
    weight: float, share: float
) -> None:
    """However many nodes a team's callers come to."""
    sources = [
        Source("few", lambda _: BUSY_PER_S, nodes=2, weight=weight),
        Source("many", lambda _: BUSY_PER_S, nodes=MOST_NODES),
    ]
    at_s = 4 * SWING_S - 1.0
    held = share_held(play(sources), "few", at_s)
    assert abs(held - share) < 0.08
    naive = share_held(play(sources, by_node), "few", at_s)
    assert naive < held


def test_shares_hold_again_after_the_keeper_was_killed() -> None:
    """Its successor doesn't know for whom the runs are that it finds."""
    sources = [
        Source("heavy", lambda _: BUSY_PER_S, weight=3),
        Source("light", lambda _: BUSY_PER_S),
    ]
    jobs = play(sources, killed_s=2 * SWING_S)
    at_s = 2 * SWING_S + 1.5 * RUN_S
    assert abs(share_held(jobs, "heavy", at_s) - 0.75) < 0.08


def test_hot_caller_does_not_crowd_out_its_team_mates() -> None:
    sources = [Source("t", lambda _: BUSY_PER_S, caller="hot")]
    sources += [
        Source("t", lambda _: 0.5, caller=f"calm{number}")
        for number in range(4)
    ]
    shares = {}
    for label in (by_team, without_callers):
        jobs = play(sources, label)
        calm = [job for job in jobs if job.source.caller != "hot"]
        shares[label] = share_in_aim(calm)
    assert shares[by_team] >= 0.95
    assert shares[by_team] > shares[without_callers]
