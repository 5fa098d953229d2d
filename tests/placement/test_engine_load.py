"""Plays a load of generations on engines and checks what callers get.

The load: generations arrive faster than the engines' memory holds for some
seconds, with outputs that are unknown ahead. An engine that runs out of
memory preempts its newest run, which reads its prompt again.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from savorylift.backends.work import Load
from savorylift.exchange.request import Generation
from savorylift.placement.engines import (
    EngineOptions,
    choose_engine,
    expected_tokens,
)
from tests.exchange.fakes import ENGINE, known

TICK_S = 0.1
TOKENS_PER_TICK = 12
LENGTH_S = 60.0
# The longest generation takes some 17 s, once more if it is preempted.
REST_S = 40.0
OBJECTIVE_S = 2.0
SERVERS = [known(name) for name in "abcd"]


class Arrival(NamedTuple):
    """A generation of the load."""

    at_s: float
    prompt: int
    output: int
    hint: int


class Playing:
    """A generation on an engine."""

    def __init__(self, arrival: Arrival, now_s: float) -> None:
        """Starts with its prompt in memory."""
        self.arrival = arrival
        self.started_s = now_s
        self.made = 0
        self.preempted = 0

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.arrival.prompt + self.made


Choose = Callable[[Arrival, dict[str, list[Playing]]], str | None]


class Result(NamedTuple):
    """What callers got."""

    in_time: int
    preempted: int
    asked: int


def load(seed: int, per_s: float) -> list[Arrival]:
    rng = random.Random(seed)
    arrivals, now_s = [], 0.0
    while now_s < LENGTH_S:
        now_s += rng.expovariate(per_s)
        output = min(int(rng.lognormvariate(5.8, 0.8)), 2000)
        hint = max(int(output * rng.lognormvariate(0, 0.5)), 1)
        arrivals.append(Arrival(now_s, rng.randint(800, 3000), output, hint))
    return arrivals


def play(arrivals: list[Arrival], choose: Choose) -> Result:
    engines: dict[str, list[Playing]] = {
        server.entry.server_id: [] for server in SERVERS
    }
    waiting: list[Arrival] = []
    coming = list(arrivals)
    in_time = preempted = 0
    now_s = 0.0
    while now_s < LENGTH_S + REST_S:
        now_s += TICK_S
        while coming and coming[0].at_s <= now_s:
            waiting.append(coming.pop(0))
        waiting = [a for a in waiting if now_s - a.at_s < OBJECTIVE_S]
        for arrival in list(waiting):
            name = choose(arrival, engines)
            if name is not None:
                waiting.remove(arrival)
                engines[name].append(Playing(arrival, now_s))
        for name, runs in engines.items():
            preempted += preempt(runs)
            for run in runs:
                run.made += TOKENS_PER_TICK
            done = [r for r in runs if r.made >= r.arrival.output]
            in_time += sum(r.preempted == 0 for r in done)
            engines[name] = [r for r in runs if r.made < r.arrival.output]
    return Result(in_time, preempted, len(arrivals))


def preempt(runs: list[Playing]) -> int:
    """Takes the newest runs out until the others fit; they come back late."""
    count = 0
    for run in reversed(runs):
        if sum(r.tokens for r in runs) <= ENGINE.memory_tokens:
            break
        if run is runs[0]:
            break
        if run.preempted == 0:
            count += 1
        run.preempted += 1
        run.made = -TOKENS_PER_TICK * 10
    return count


def by_memory(
    arrival: Arrival, engines: dict[str, list[Playing]]
) -> str | None:
    tokens = expected_tokens(Generation(arrival.prompt, 2000, arrival.hint))
    loads = {
        name: Load(
            len(runs),
            sum(max(r.arrival.prompt + r.arrival.hint, r.tokens) for r in runs),
        )
        for name, runs in engines.items()
    }
    chosen = choose_engine(
        SERVERS, loads, EngineOptions(ENGINE, tokens), random.Random(1)
    )
    return chosen and chosen.entry.server_id


def least_requests(
    _arrival: Arrival, engines: dict[str, list[Playing]]
) -> str | None:
    return min(engines, key=lambda name: len(engines[name]))


@pytest.mark.parametrize("seed", range(5))
def test_more_whole_answers_than_by_count_under_pressure(seed: int) -> None:
    arrivals = load(seed, per_s=4.0)
    ours, naive = play(arrivals, by_memory), play(arrivals, least_requests)
    assert ours.in_time > naive.in_time
    assert ours.preempted < naive.preempted / 4


@pytest.mark.parametrize("seed", range(5))
def test_serves_all_that_fits(seed: int) -> None:
    arrivals = load(seed, per_s=1.0)
    ours = play(arrivals, by_memory)
    assert ours.in_time >= 0.99 * ours.asked
