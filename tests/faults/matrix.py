"""The table of faults and steps, and one run of a cell of it."""

import collections
import concurrent.futures
import itertools
import os
import random
import time
from typing import NamedTuple

from tests.faults import oracle
from tests.faults.faults import CLOSED_S, Fault, do
from tests.faults.load import Got
from tests.faults.steps import Place, Step, reach
from tests.faults.world import World

LEAD_S = 0.3  # load before a step is sought
SEED = int(os.environ.get("SAVORYLIFT_FAULTS_SEED", "20"))
CELLS_IN_CI = 18
PAIRS = 6

BACKEND_FAULTS = (
    Fault.BACKEND_SILENT,
    Fault.BACKEND_CUT,
    Fault.ENGINE_COLD,
    Fault.ENGINE_KILLED,
    Fault.ENGINE_RECLAIMED,
    Fault.VM_LIST_LATE,
)
ORDER_STEPS = (Step.ORDER_PUBLISHED, Step.ORDER_IN_FORCE)
OPERATOR_STEPS = (
    *ORDER_STEPS,
    Step.START_UP,
    Step.DRAIN_BEGUN,
    Step.MID_STREAM,
)


class Cell(NamedTuple):
    """Faults that strike at once, at one step."""

    faults: tuple[Fault, ...]
    step: Step

    def __str__(self) -> str:
        """Returns a name for reports."""
        names = " and ".join(fault.value for fault in self.faults)
        return f"{names} at {self.step.value}"


def why_senseless(fault: Fault, step: Step) -> str:
    """Returns why a fault can't strike at a step, or an empty string."""
    if fault in BACKEND_FAULTS and step in (
        *ORDER_STEPS,
        Step.REFUSAL_WRITTEN,
    ):
        return "no backend server takes part in this step"
    if fault is Fault.CALLER_SILENT and step in (*ORDER_STEPS, Step.START_UP):
        return "no caller takes part in this step"
    if fault is Fault.TWO_OPERATORS and step not in OPERATOR_STEPS:
        return "operators don't act on this step"
    if fault is Fault.LOG_TRIMMED and step is Step.DRAIN_BEGUN:
        return "the reader starts anew, so it isn't the one that drains"
    return ""


def all_cells() -> list[Cell]:
    """Returns every pair of fault and step that makes sense."""
    return [
        Cell((fault,), step)
        for fault, step in itertools.product(Fault, Step)
        if not why_senseless(fault, step)
    ]


def senseless_cells() -> list[str]:
    """Returns the other pairs, each with its reason."""
    return [
        f"{Cell((fault,), step)}: {reason}"
        for fault, step in itertools.product(Fault, Step)
        if (reason := why_senseless(fault, step))
    ]


def drawn_cells(seed: int = SEED, count: int = CELLS_IN_CI) -> list[Cell]:
    """Draws cells in turn by fault, each at a step that was drawn least."""
    rng = random.Random(seed)
    left = all_cells()
    drawn: list[Cell] = []
    for fault in itertools.islice(itertools.cycle(Fault), count):
        times = collections.Counter(cell.step for cell in drawn)
        cells = [cell for cell in left if cell.faults == (fault,)]
        rng.shuffle(cells)
        chosen = min(cells, key=lambda cell: times[cell.step])
        drawn.append(chosen)
        left.remove(chosen)
    return drawn


def drawn_pairs(seed: int = SEED, count: int = PAIRS) -> list[Cell]:
    """Draws two faults at once, each at a step that suits both."""
    rng = random.Random(seed)
    sensible = [
        Cell(pair, step)
        for pair in itertools.combinations(Fault, 2)
        for step in Step
        if not any(why_senseless(fault, step) for fault in pair)
    ]
    return rng.sample(sensible, count)


def run_cell(world: World, cell: Cell, seed: int) -> list[str]:
    """Runs one cell under load and returns what broke a promise.

    Raises:
        TimeoutError: The step wasn't reached, or the world didn't heal.
    """
    since = oracle.mark(world)
    load = world.load(seed)
    load.start()
    got: list[Got] = []
    try:
        time.sleep(LEAD_S)
        place = reach(world, cell.step)
        got += _strike(world, cell, place)
        for fault in cell.faults:
            do(fault).heal(world, place)
        got += place.finish()
        world.close_orders(CLOSED_S)
    finally:
        got += load.stop()
    world.wait_healthy()
    outcomes = collections.Counter((item.kind, item.outcome) for item in got)
    print(f"{cell}: {dict(outcomes)}")
    return oracle.violations(world, since, got)


def _strike(world: World, cell: Cell, place: Place) -> list[Got]:
    """Brings all faults about at once."""
    with concurrent.futures.ThreadPoolExecutor(len(cell.faults)) as pool:
        struck = [
            pool.submit(do(fault).strike, world, place) for fault in cell.faults
        ]
    return [got for one in struck for got in one.result()]
