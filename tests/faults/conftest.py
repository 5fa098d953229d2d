"""Fixtures of the fault matrix."""

import contextlib
import pathlib
from collections.abc import Iterator

import pytest

from tests.faults.world import World
from tests.harness.fixtures import deploy, relay, start_standin

__all__ = ["deploy", "relay", "start_standin"]


class Worlds:
    """Keeps one world for a module; a broken one is replaced."""

    def __init__(self, factory: pytest.TempPathFactory) -> None:
        """Starts nothing before `current`."""
        self._factory = factory
        self._stack = contextlib.ExitStack()
        self._world: World | None = None

    def current(self) -> World:
        """Returns the world, started if need be."""
        if self._world is None or self._world.is_broken:
            self.close()
            directory: pathlib.Path = self._factory.mktemp("world")
            self._world = self._stack.enter_context(World(directory))
        return self._world

    @property
    def is_running(self) -> bool:
        """True if a world runs, broken or not."""
        return self._world is not None

    def current_or_broken(self) -> World:
        """Returns the world that runs."""
        assert self._world is not None
        return self._world

    def close(self) -> None:
        """Ends every process."""
        self._stack.close()
        self._world = None


@pytest.fixture(scope="module")
def _worlds(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Worlds]:
    worlds = Worlds(tmp_path_factory)
    yield worlds
    worlds.close()


@pytest.fixture
def world(_worlds: Worlds) -> World:
    """Returns a healthy world that the tests of a module share."""
    running = _worlds.current()
    running.is_broken = True  # until the test has passed
    running.orders.clear()
    running.cold_turns.clear()
    return running
