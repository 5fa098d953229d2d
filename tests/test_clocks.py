"""The time of day may jump, so nothing but records and reports reads it."""

import ast
import pathlib
from collections.abc import Iterator

import savorylift

ROOT = pathlib.Path(savorylift.__file__).parent
# They date what people read, or count it by minute.
MAY_READ_IT = {
    "front/caller_door.py",
    "operators/account_commands.py",
    "rules/orders.py",
    "rules/publication.py",
}
TIME_OF_DAY = {"time.time", "time.time_ns", "time.clock_gettime"}
DATES = {"now", "today", "utcnow"}


def reads(path: pathlib.Path) -> Iterator[str]:
    """Yields the calls of a module that read the time of day."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        name = ast.unparse(node.func)
        if name in TIME_OF_DAY or name.rpartition(".")[2] in DATES:
            yield f"{name}, line {node.lineno}"


def test_only_reports_read_the_time_of_day() -> None:
    found = {
        str(path.relative_to(ROOT)): list(reads(path))
        for path in ROOT.rglob("*.py")
    }
    assert {name for name, calls in found.items() if calls} == MAY_READ_IT
