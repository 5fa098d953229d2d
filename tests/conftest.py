"""Hypothesis settings, real durations, and the failures of KNOWN-RED.txt."""

import pathlib
from collections.abc import Iterator

import freezegun
import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FIELD = "test: "

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("repeatable")
# Tests that pause the clock would report the time between two clocks.
freezegun.configure(extend_ignore_list=["_pytest.timing"])


def known_failures() -> Iterator[str]:
    """Yields the identifiers of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.startswith(TEST_FIELD):
            yield line.removeprefix(TEST_FIELD).strip()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets only the tests fail that KNOWN-RED.txt lists.

    An entry that is not the identifier of a collected test is only printed.
    """
    expected = set(known_failures())
    for item in items:
        if item.nodeid in expected:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            item.add_marker(mark)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that KNOWN-RED.txt lists."""
    for identifier in known_failures():
        terminalreporter.write_line(f"known red: {identifier}")
