"""Checks that only records and reports read the wall clock, which may jump."""

import ast
import contextlib
import gc
import pathlib
from collections.abc import Iterator

import pytest

import savorylift

ROOT = pathlib.Path(savorylift.__file__).parent
# These modules write dates for people or count refusals by minute.
WALL_CLOCK_MODULES = {
    "front/responder.py",
    "operators/refusals_command.py",
    "rules/orders.py",
    "rules/publication.py",
}
WALL_CLOCK_CALLS = {"time.time", "time.time_ns", "time.clock_gettime"}
# The boot clock never jumps; like the monotonic clock it has no date.
BOOT_CLOCK_CALLS = {"time.clock_gettime(time.CLOCK_BOOTTIME)"}
DATE_METHODS = {"now", "today", "utcnow"}


@contextlib.contextmanager
def paused_collection() -> Iterator[None]:
    """Collects no garbage until the end of the context.

    Python 3.11 fails to parse if the collection of garbage within it parses,
    too, as it does to print the traceback of an asyncio task that had failed.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def parse(source: str) -> ast.Module:
    """Parses a module, whatever garbage other tests have left."""
    with paused_collection():
        return ast.parse(source)


class ParsingGarbage:
    """Garbage whose collection parses."""

    def __init__(self) -> None:
        self._cycle = self

    def __del__(self) -> None:
        ast.parse("a + b")


@pytest.fixture
def frequent_collection() -> Iterator[None]:
    """Collects garbage often."""
    threshold = gc.get_threshold()
    gc.set_threshold(50, 2, 2)
    yield
    gc.set_threshold(*threshold)


def wall_clock_calls(path: pathlib.Path) -> Iterator[str]:
    """Yields the calls of a module that read the wall clock."""
    for node in ast.walk(parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        if ast.unparse(node) in BOOT_CLOCK_CALLS:
            continue
        name = ast.unparse(node.func)
        if name in WALL_CLOCK_CALLS or name.rpartition(".")[2] in DATE_METHODS:
            yield f"{name}, line {node.lineno}"


def test_only_reports_read_the_wall_clock() -> None:
    found = {
        str(path.relative_to(ROOT)): list(wall_clock_calls(path))
        for path in ROOT.rglob("*.py")
    }
    assert {
        name for name, calls in found.items() if calls
    } == WALL_CLOCK_MODULES


@pytest.mark.usefixtures("frequent_collection")
def test_garbage_that_parses_does_not_fail_the_parsing_of_modules() -> None:
    for path in WALL_CLOCK_MODULES:
        ParsingGarbage()
        assert parse((ROOT / path).read_text()).body
