"""Placement policies to simulate: Savorylift's own and two simple baselines."""

import itertools
import random
from collections.abc import Mapping, Sequence
from typing import Protocol

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer
from savorylift.placement.engines import EngineOptions, choose_engine


class Policy(Protocol):
    """Chooses an engine for a generation.

    Attributes:
        name: Name in the report.
        uses_queue: Whether generations wait in the queue until an engine has
            room, and are moved off engines that get a notice. If not, they
            go to the chosen engine at once and wait there, and those of a
            lost engine are lost.
    """

    name: str
    uses_queue: bool

    def choose(
        self,
        engines: Sequence[BackendServer],
        loads: Mapping[str, Load],
        options: EngineOptions,
    ) -> BackendServer | None:
        """Returns an engine, or None if the generation should wait."""
        ...


class SavoryliftPolicy:
    """The policy that nodes use."""

    name = "savorylift"
    uses_queue = True

    def __init__(self, seed: int) -> None:
        """Seeds the random generator that breaks ties."""
        self._rng = random.Random(seed)

    def choose(
        self,
        engines: Sequence[BackendServer],
        loads: Mapping[str, Load],
        options: EngineOptions,
    ) -> BackendServer | None:
        """Returns the least loaded engine with room, or None."""
        return choose_engine(engines, loads, options, self._rng)


class RoundRobin:
    """Baseline that uses each engine in turn."""

    name = "round robin"
    uses_queue = False

    def __init__(self, _seed: int) -> None:
        """Starts with the first engine."""
        self._turns = itertools.count()

    def choose(
        self,
        engines: Sequence[BackendServer],
        loads: Mapping[str, Load],  # noqa: ARG002
        options: EngineOptions,  # noqa: ARG002
    ) -> BackendServer | None:
        """Returns the next engine, or None if there are no engines."""
        return engines[next(self._turns) % len(engines)] if engines else None


class LeastOutstanding:
    """Baseline that uses the engine with the fewest outstanding requests."""

    name = "least outstanding"
    uses_queue = False

    def __init__(self, seed: int) -> None:
        """Seeds the random generator that breaks ties."""
        self._rng = random.Random(seed)

    def choose(
        self,
        engines: Sequence[BackendServer],
        loads: Mapping[str, Load],
        options: EngineOptions,  # noqa: ARG002
    ) -> BackendServer | None:
        """Returns the engine with the fewest requests, if there is one."""

        def cost(engine: BackendServer) -> tuple[int, float]:
            load = loads.get(engine.entry.server_id, Load())
            return load.requests, self._rng.random()

        return min(engines, key=cost, default=None)


POLICIES: tuple[type[SavoryliftPolicy | RoundRobin | LeastOutstanding], ...] = (
    SavoryliftPolicy,
    RoundRobin,
    LeastOutstanding,
)
