"""What commands print, and their exit codes."""

import enum
import sys
from collections.abc import Iterable


class Exit(enum.IntEnum):
    """Exit codes of commands."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    UNKNOWN = 3


def say(text: str) -> None:
    """Prints a line of the result."""
    print(text)


def say_all(lines: Iterable[str]) -> None:
    """Prints lines of the result."""
    for line in lines:
        say(line)


def report(text: str) -> None:
    """Prints a line about a failure."""
    print(text, file=sys.stderr)


def fail(text: str, code: Exit = Exit.FAILED) -> Exit:
    """Prints why a command ends, and returns its exit code."""
    report(text)
    return code
