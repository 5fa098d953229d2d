"""What the faults of a fleet with software versions share."""

import datetime as dt
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from tests.front.engine_fleet import EngineProcessFleet
from tests.soak.shape import Shape
from tests.soak.version_callers import Violation

T = TypeVar("T")

FaultAction = Callable[[], Awaitable[None]]


class FaultContext:
    """A fleet, its shape, and what is at a fault.

    Attributes:
        fleet: The fleet.
        shape: What its engines are like.
        rng: Source of all choices.
        busy: What is at a fault and must be left alone: IDs of engines, or
            names of parts of the fleet.
        injected: Descriptions of the faults so far, in order.
        violations: What engines found violated.
    """

    def __init__(
        self, fleet: EngineProcessFleet, shape: Shape, rng: random.Random
    ) -> None:
        """Begins without any fault."""
        self.fleet = fleet
        self.shape = shape
        self.rng = rng
        self.busy: set[str] = set()
        self.injected: list[str] = []
        self.violations: list[Violation] = []

    def describe(self, fault: str) -> None:
        """Records a fault, with the time of day that logs carry."""
        now = dt.datetime.now(dt.UTC)
        self.injected.append(f"{now:%H:%M:%S.%f} {fault}")

    def draw(self, options: Sequence[T]) -> T:
        """Returns one of the options; draws nothing if there is one."""
        return options[0] if len(options) == 1 else self.rng.choice(options)

    def draw_between(self, low: float, high: float) -> float:
        """Returns a number of a range; draws nothing if it holds just one."""
        return low if low == high else self.rng.uniform(low, high)

    def take(self, *names: str) -> bool:
        """Marks names as busy; returns False if one of them was already."""
        if self.busy & set(names):
            return False
        self.busy.update(names)
        return True

    def release(self, *names: str) -> None:
        """Ends `take`."""
        self.busy.difference_update(names)
