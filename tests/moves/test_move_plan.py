"""Tests of planning moves off engines that leave.

The loads are those of 30 engines of which five leave at once, with 1.5 to
2.1 s of notice. Copies of all their runs take longer than that. What a plan
saves is compared with what the order of each engine's runs by size saves, to
the emptiest engine.
"""

import random
from collections.abc import Sequence

import pytest

from savorylift.moves.begun_copies import MoveKey
from savorylift.moves.copy_schedule import copy_duration_s
from savorylift.moves.move_inputs import LeavingEngine, MovingRun
from savorylift.moves.move_plan import MovePlan, UnsavedReason, plan_moves
from tests.moves.factories import (
    MEMORY_TOKENS,
    Load,
    make_destination,
    make_run,
    make_source,
)

ENGINES = 30
LEAVING = 5
DOMAINS = 4
RUNS_PER_ENGINE = 7
SEEDS = range(20)


def make_load(seed: int, destinations: int, priorities: list[int]) -> Load:
    """Returns runs of unequal size and engines that are half full."""
    rng = random.Random(seed)
    sources = {
        f"e{n}": make_source(f"z{n % DOMAINS}", rng.uniform(1.5, 2.1))
        for n in range(LEAVING)
    }
    runs = [
        make_run(
            number,
            f"e{number % LEAVING}",
            rng.choice([1200, 2400, 3700, 5200, 6700]),
            rng.choice(priorities),
        )._replace(done_share=rng.random())
        for number in range(LEAVING * RUNS_PER_ENGINE)
    ]
    return Load(
        runs,
        sources,
        {
            f"d{n}": make_destination(
                f"z{n % DOMAINS}", rng.uniform(0.2, 0.8) * MEMORY_TOKENS
            )
            for n in range(destinations)
        },
    )


def save_by_size(load: Load, seed: int) -> set[MoveKey]:
    """Returns the runs that are saved without a plan.

    Each engine's runs go one after another, the smallest first, to one of the
    emptiest engines. Copies wait for both links. No time is taken for messages.
    """
    rng = random.Random(seed)
    free = {name: d.free_tokens for name, d in load.destinations.items()}
    free_s = dict.fromkeys([*load.sources, *load.destinations], 0.0)
    left = {
        name: sorted(
            (run for run in load.runs if run.source_id == name),
            key=lambda run: run.tokens,
        )
        for name in load.sources
    }
    saved = set()
    while any(left.values()):
        source_id = min((n for n in left if left[n]), key=free_s.__getitem__)
        run = left[source_id].pop(0)
        source = load.sources[source_id]

        def cost(name: str, source: LeavingEngine = source) -> float:
            is_cross = (
                load.destinations[name].failure_domain != source.failure_domain
            )
            used = 1 - free[name] / MEMORY_TOKENS
            return used + 0.3 * is_cross + rng.uniform(0, 0.1)

        found = [name for name in free if free[name] >= run.expected_tokens]
        if not found:
            continue
        chosen = min(found, key=cost)
        took_s = copy_duration_s(run.tokens, source, load.destinations[chosen])
        ends_s = max(free_s[source_id], free_s[chosen]) + took_s
        if ends_s > source.leaves_in_s:
            continue
        free_s[source_id] = free_s[chosen] = ends_s
        free[chosen] -= run.expected_tokens
        saved.add(run.key)
    return saved


def find_loss(
    runs: Sequence[MovingRun], saved: set[MoveKey], priority: int
) -> float:
    """Returns the answers of a priority that are lost, with the work done."""
    return sum(
        1 + run.done_share
        for run in runs
        if run.key not in saved and run.priority == priority
    )


def find_saved(plan: MovePlan) -> set[MoveKey]:
    """Returns the runs that a plan saves."""
    return {copy.run.key for copy in plan.copies}


@pytest.mark.parametrize("destinations", [ENGINES - LEAVING, 6, 2])
@pytest.mark.parametrize("priorities", [[2], [0, 2, 2]])
def test_plan_loses_less_than_the_order_by_size(
    destinations: int, priorities: list[int]
) -> None:
    # What is lost of the most urgent counts; where few destinations have room
    # for few runs, they are saved at the cost of less urgent ones.
    loss = loss_by_size = 0.0
    for seed in SEEDS:
        load = make_load(seed, destinations, priorities)
        saved = find_saved(plan_moves(*load))
        loss += find_loss(load.runs, saved, priorities[0])
        saved = save_by_size(load, seed)
        loss_by_size += find_loss(load.runs, saved, priorities[0])
    assert loss < loss_by_size


def test_runs_that_fit_are_all_saved() -> None:
    # Within its domain, a link carries seven copies of 0.23 s in 1.7 s.
    runs = [make_run(number) for number in range(7)]
    destinations = {f"d{n}": make_destination("z0") for n in range(3)}
    plan = plan_moves(runs, {"e0": make_source("z0", 1.7)}, destinations)
    assert len(plan.copies) == 7
    assert [copy.turn for copy in plan.copies] == list(range(7))
    assert not plan.unsaved


def test_what_cannot_be_saved_is_known_at_once() -> None:
    runs = [make_run(number) for number in range(10)]
    plan = plan_moves(
        runs,
        {"e0": make_source("z0", 1.5)},
        {"d0": make_destination("z1"), "d1": make_destination("z2")},
    )
    # Across failure domains a copy takes 0.43 s.
    assert len(plan.copies) == 3
    assert [run.reason for run in plan.unsaved] == [UnsavedReason.TIME] * 7
    assert not plan.late


def test_engine_without_time_tries_one_run_after_another() -> None:
    # It may stay longer than expected, and nothing is lost by trying.
    runs = [make_run(number, tokens=4000 - number) for number in range(3)]
    plan = plan_moves(
        runs, {"e0": make_source("z0", -0.1)}, {"d0": make_destination()}
    )
    assert not plan.copies
    assert len(plan.unsaved) == 3
    assert [copy.run for copy in plan.late] == [runs[2]]


def test_lack_of_room_is_told_from_lack_of_time() -> None:
    plan = plan_moves(
        [make_run(1)],
        {"e0": make_source()},
        {"d0": make_destination(free_tokens=1000)},
    )
    assert not plan.copies
    assert plan.unsaved[0].reason is UnsavedReason.ROOM
    assert not plan.late
    # What is free is an estimate.
    assert [copy.destination_id for copy in plan.trials] == ["d0"]


def test_runs_whose_loss_costs_most_go_first() -> None:
    begun = make_run(1)._replace(done_share=0.1)
    repeatable = make_run(2, priority=0)._replace(may_repeat=True)
    nearly_done = make_run(3)._replace(done_share=0.9)
    ending = make_run(4, priority=0)._replace(ends_in_s=0.5)
    urgent = make_run(5, priority=1)
    plan = plan_moves(
        [begun, repeatable, nearly_done, ending, urgent],
        {"e0": make_source("z0", 5.0)},
        {"d0": make_destination()},
    )
    order = [copy.run for copy in plan.copies]
    assert order == [urgent, nearly_done, begun, repeatable, ending]


def test_run_that_may_be_repeated_is_not_copied_late() -> None:
    runs = [make_run(n)._replace(may_repeat=True) for n in range(2)]
    plan = plan_moves(
        runs, {"e0": make_source("z0", 0.3)}, {"d0": make_destination()}
    )
    assert len(plan.copies) == 1
    assert len(plan.unsaved) == 1
    assert not plan.late


def test_run_that_ends_by_itself_is_no_loss() -> None:
    run = make_run(1)._replace(ends_in_s=0.3)
    plan = plan_moves(
        [run], {"e0": make_source("z0", 0.4)}, {"d0": make_destination("z1")}
    )
    assert not plan.copies
    assert not plan.unsaved


def test_destinations_of_other_versions_and_regions_are_left_out() -> None:
    run = make_run(1)._replace(
        software_version="2",
        regions=frozenset({"r"}),
        excluded=frozenset({"d3"}),
    )
    fits = make_destination()._replace(software_version="2")
    plan = plan_moves(
        [run],
        {"e0": make_source()},
        {
            "d0": make_destination(),
            "d1": fits._replace(region="s"),
            "d2": fits._replace(failure_domain="z1"),
            "d3": fits,
        },
    )
    assert [copy.destination_id for copy in plan.copies] == ["d2"]


def test_copy_waits_for_links_in_use() -> None:
    sources = {"e0": make_source()._replace(busy_s=0.2)}
    destinations = {"d0": make_destination()._replace(busy_s=0.3)}
    plan = plan_moves([make_run(1)], sources, destinations)
    assert plan.copies[0].begins_s == 0.3
