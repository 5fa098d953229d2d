"""Faults at every step, alone and in pairs.

`SAVORYLIFT_FAULTS=all` runs every cell; otherwise a share drawn from a
printed seed runs, that of `SAVORYLIFT_FAULTS_SEED` if it is set.
"""

import os

import pytest

from tests.faults.matrix import (
    SEED,
    Cell,
    all_cells,
    drawn_cells,
    drawn_pairs,
    run_cell,
    senseless_cells,
)
from tests.faults.world import World

pytestmark = [pytest.mark.processes, pytest.mark.timeout(120)]
RUNS_ALL = os.environ.get("SAVORYLIFT_FAULTS") == "all"
CELLS = all_cells() if RUNS_ALL else drawn_cells()


def test_every_pair_of_fault_and_step_has_its_place() -> None:
    for line in senseless_cells():
        print("no cell:", line)
    left = [cell for cell in all_cells() if cell not in CELLS]
    for cell in left:
        print(f"not drawn from seed {SEED}:", cell)
    assert len({cell.faults[0] for cell in CELLS}) == 15
    assert len({cell.step for cell in CELLS}) == 13


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_fault_at_step(world: World, cell: Cell) -> None:
    print(f"seed {SEED}, records in {world.deployment.directory}")
    assert run_cell(world, cell, SEED) == []
    world.is_broken = False


@pytest.mark.parametrize("cell", drawn_pairs(), ids=str)
def test_two_faults_at_once(world: World, cell: Cell) -> None:
    print(f"seed {SEED}, records in {world.deployment.directory}")
    assert run_cell(world, cell, SEED) == []
    world.is_broken = False
