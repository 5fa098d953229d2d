"""Ways to choose an engine: the product's, and naive ones beside it."""

import itertools
import random
from collections.abc import Mapping, Sequence
from typing import Protocol

from savorylift.backends.registry import Known
from savorylift.backends.work import Load
from savorylift.placement.engines import EngineOptions, choose_engine


class Policy(Protocol):
    """Chooses an engine for a generation.

    Attributes:
        name: For the report.
        holds: Whether generations without room wait; otherwise they go to
            the engine that is chosen and wait there.
    """

    name: str
    holds: bool

    def choose(
        self,
        engines: Sequence[Known],
        loads: Mapping[str, Load],
        options: EngineOptions,
    ) -> Known | None:
        """Returns an engine, or None if the generation should wait."""
        ...


class Product:
    """The policy that nodes use."""

    name = "savorylift"
    holds = True

    def __init__(self, seed: int) -> None:
        """Breaks ties by `seed`."""
        self._rng = random.Random(seed)

    def choose(
        self,
        engines: Sequence[Known],
        loads: Mapping[str, Load],
        options: EngineOptions,
    ) -> Known | None:
        """Returns the engine with most room, if one has enough."""
        return choose_engine(engines, loads, options, self._rng)


class RoundRobin:
    """Each engine in its turn."""

    name = "round robin"
    holds = False

    def __init__(self, _seed: int) -> None:
        """Starts with the first."""
        self._turns = itertools.count()

    def choose(
        self,
        engines: Sequence[Known],
        loads: Mapping[str, Load],  # noqa: ARG002
        options: EngineOptions,  # noqa: ARG002
    ) -> Known | None:
        """Returns the next engine."""
        return engines[next(self._turns) % len(engines)] if engines else None


class LeastOutstanding:
    """The engine with fewest requests."""

    name = "least outstanding"
    holds = False

    def __init__(self, seed: int) -> None:
        """Breaks ties by `seed`."""
        self._rng = random.Random(seed)

    def choose(
        self,
        engines: Sequence[Known],
        loads: Mapping[str, Load],
        options: EngineOptions,  # noqa: ARG002
    ) -> Known | None:
        """Returns the engine with fewest requests."""

        def cost(engine: Known) -> tuple[int, float]:
            load = loads.get(engine.entry.server_id, Load())
            return load.requests, self._rng.random()

        return min(engines, key=cost, default=None)


POLICIES: tuple[type[Product | RoundRobin | LeastOutstanding], ...] = (
    Product,
    RoundRobin,
    LeastOutstanding,
)
