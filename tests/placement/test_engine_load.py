"""Simulates generations on engines whose memory is short.

Generations arrive faster than the engines' memory can hold them, and their
output lengths aren't known in advance. An engine that runs out of memory
preempts its newest run, which then has to prefill its prompt again.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from savorylift.backends.load import Load
from savorylift.exchange.request import Generation
from savorylift.placement.engines import (
    EngineOptions,
    choose_engine,
    expected_tokens,
)
from tests.exchange.factories import ENGINE, make_server

TICK_S = 0.1
TOKENS_PER_TICK = 12
ARRIVAL_PERIOD_S = 60.0
# The longest generation takes about 17 s, and as long again if preempted.
COMPLETION_PERIOD_S = 40.0
OBJECTIVE_S = 2.0
SERVERS = [make_server(name) for name in "abcd"]


class Arrival(NamedTuple):
    """A generation to simulate, with its time of arrival."""

    at_s: float
    prompt_tokens: int
    output_tokens: int
    hint: int


class SimulatedRun:
    """A generation that runs on an engine."""

    def __init__(self, arrival: Arrival, now_s: float) -> None:
        """Starts with the prompt in memory."""
        self.arrival = arrival
        self.started_s = now_s
        self.generated = 0
        self.preemptions = 0

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.arrival.prompt_tokens + self.generated


EngineChooser = Callable[[Arrival, dict[str, list[SimulatedRun]]], str | None]


class Result(NamedTuple):
    """Result of a simulation, as numbers of generations.

    Attributes:
        undisturbed: Generations that completed without preemption.
        preempted: Generations that were preempted.
        arrived: All generations that arrived.
    """

    undisturbed: int
    preempted: int
    arrived: int


def draw_arrivals(seed: int, per_s: float) -> list[Arrival]:
    rng = random.Random(seed)
    arrivals, now_s = [], 0.0
    while now_s < ARRIVAL_PERIOD_S:
        now_s += rng.expovariate(per_s)
        output = min(int(rng.lognormvariate(5.8, 0.8)), 2000)
        hint = max(int(output * rng.lognormvariate(0, 0.5)), 1)
        arrivals.append(Arrival(now_s, rng.randint(800, 3000), output, hint))
    return arrivals


def simulate(arrivals: list[Arrival], choose: EngineChooser) -> Result:
    """Simulates engines; drops arrivals that wait longer than the objective."""
    engines: dict[str, list[SimulatedRun]] = {
        server.entry.server_id: [] for server in SERVERS
    }
    waiting: list[Arrival] = []
    upcoming = list(arrivals)
    undisturbed = preempted = 0
    now_s = 0.0
    while now_s < ARRIVAL_PERIOD_S + COMPLETION_PERIOD_S:
        now_s += TICK_S
        while upcoming and upcoming[0].at_s <= now_s:
            waiting.append(upcoming.pop(0))
        waiting = [a for a in waiting if now_s - a.at_s < OBJECTIVE_S]
        for arrival in list(waiting):
            name = choose(arrival, engines)
            if name is not None:
                waiting.remove(arrival)
                engines[name].append(SimulatedRun(arrival, now_s))
        for name, runs in engines.items():
            preempted += preempt(runs)
            for run in runs:
                run.generated += TOKENS_PER_TICK
            ended = [r for r in runs if r.generated >= r.arrival.output_tokens]
            undisturbed += sum(r.preemptions == 0 for r in ended)
            engines[name] = [
                r for r in runs if r.generated < r.arrival.output_tokens
            ]
    return Result(undisturbed, preempted, len(arrivals))


def preempt(runs: list[SimulatedRun]) -> int:
    """Preempts the newest runs until the others fit into memory.

    A preempted run starts again after ten ticks.

    Returns:
        How many runs were preempted for the first time.
    """
    count = 0
    for run in reversed(runs):
        if sum(r.tokens for r in runs) <= ENGINE.memory_tokens:
            break
        if run is runs[0]:
            break
        if run.preemptions == 0:
            count += 1
        run.preemptions += 1
        run.generated = -TOKENS_PER_TICK * 10
    return count


def by_memory(
    arrival: Arrival, engines: dict[str, list[SimulatedRun]]
) -> str | None:
    tokens = expected_tokens(
        Generation(arrival.prompt_tokens, 2000, arrival.hint)
    )
    loads = {
        name: Load(
            len(runs),
            sum(
                max(r.arrival.prompt_tokens + r.arrival.hint, r.tokens)
                for r in runs
            ),
        )
        for name, runs in engines.items()
    }
    chosen = choose_engine(
        SERVERS, loads, EngineOptions(ENGINE, tokens), random.Random(1)
    )
    return chosen and chosen.entry.server_id


def by_fewest_requests(
    _arrival: Arrival, engines: dict[str, list[SimulatedRun]]
) -> str | None:
    return min(engines, key=lambda name: len(engines[name]))


@pytest.mark.parametrize("seed", range(5))
def test_fewer_generations_are_preempted_than_by_fewest_requests(
    seed: int,
) -> None:
    arrivals = draw_arrivals(seed, per_s=4.0)
    by_memory_result, by_requests_result = (
        simulate(arrivals, by_memory),
        simulate(arrivals, by_fewest_requests),
    )
    assert by_memory_result.undisturbed > by_requests_result.undisturbed
    assert by_memory_result.preempted < by_requests_result.preempted / 4


@pytest.mark.parametrize("seed", range(5))
def test_all_generations_are_served_if_memory_suffices(seed: int) -> None:
    arrivals = draw_arrivals(seed, per_s=1.0)
    by_memory_result = simulate(arrivals, by_memory)
    assert by_memory_result.undisturbed >= 0.99 * by_memory_result.arrived
