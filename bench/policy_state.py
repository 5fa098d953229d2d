"""Measures memory and time of the placement policy at growing sizes."""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import (
    BackendServer,
    Model,
    RuleSource,
    RulesSource,
    RulesView,
    Team,
)
from savorylift.streams.lengths import MAX_SKETCHES, Lengths
from savorylift.streams.memory_placement import MemoryPlacement
from savorylift.streams.placement import GenerationRequest
from savorylift.streams.prefixes import Prefixes

TEAMS = (1_000, 3_000, 6_000, 12_000)
MODELS = 9
ENGINES = (7, 17, 34, 67)
PREFIXES = (1_000, 4_000, 16_000, 64_000)
CALLS = 2_000
SOURCE = RuleSource(1, "", "bench")


def main() -> None:
    """Prints bytes a sketch and prefix, and microseconds a call."""
    for teams in TEAMS:
        size = _bytes_of(partial(_lengths, teams, teams * MODELS))
        print(f"{teams} teams, {MODELS} models, unbounded: {size} bytes")
    size = _bytes_of(partial(_lengths, TEAMS[-1], MAX_SKETCHES))
    print(f"{TEAMS[-1]} teams, {MODELS} models, as bounded: {size} bytes")
    for count in PREFIXES:
        size = _bytes_of(partial(_prefixes, count))
        print(f"{count} prefixes: {size} bytes")
    for engines in ENGINES:
        order_us, reserve_us, note_us = _times_us(engines)
        print(
            f"{engines} engines: order {order_us:.1f} us, reserve"
            f" {reserve_us:.1f} us, note_finished {note_us:.1f} us"
        )


def _lengths(teams: int, max_sketches: int) -> object:
    lengths = Lengths(max_sketches)
    for team in range(teams):
        for model in range(MODELS):
            lengths.note(f"team-{team}", f"model-{model}", team % 500 + 1)
    return lengths


def _prefixes(count: int) -> object:
    prefixes = Prefixes()
    for number in range(count):
        prefixes.note_dispatch(f"runner-{number % 100}", f"{number:016x}")
    return prefixes


def _bytes_of(make: Callable[[], object]) -> int:
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size


def _times_us(engines: int) -> tuple[float, float, float]:
    servers = {
        f"runner-{i}": BackendServer(
            f"runner-{i}", "", "a", "m", None, 4, 64, 16384, True, SOURCE
        )
        for i in range(engines)
    }
    rules = RulesSource(RulesView(backend_servers=servers))
    placement = MemoryPlacement(rules)
    team = Team("team", 1, frozenset("*"), 0, SOURCE)
    req = GenerationRequest(
        "request-1", team, Model("m", "v1", SOURCE), "word " * 300,
        2048, 1, 0, time.monotonic() + 60,
    )  # fmt: skip
    hints = {name: BackendHint(9, 9000, 0, False, 0.0) for name in servers}
    offered = list(servers.values())
    return (
        _time_us(lambda: placement.order(req, offered, hints)),
        _time_us(lambda: placement.reserve(req, 100)),
        _time_us(lambda: placement.note_finished(req, 200)),
    )


def _time_us(call: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    for _ in range(CALLS):
        call()
    return (time.perf_counter() - started_s) / CALLS * 1e6


if __name__ == "__main__":
    main()
