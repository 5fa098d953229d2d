"""Checks that only records and reports read the wall clock, which may jump."""

import ast
import pathlib
from collections.abc import Iterator

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


def wall_clock_calls(path: pathlib.Path) -> Iterator[str]:
    """Yields the calls of a module that read the wall clock."""
    for node in ast.walk(ast.parse(path.read_text())):
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
