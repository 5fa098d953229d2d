"""Output and exit codes of commands."""

import enum
import sys
from collections.abc import Iterable


class ExitCode(enum.IntEnum):
    """Exit codes of commands.

    Attributes:
        DONE: The command succeeded.
        FAILED: The command failed.
        BAD_INPUT: An argument, the settings or an input file are invalid.
        UNCONFIRMED: A change was sent, but the store or some of the nodes did
            not confirm it.
    """

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    UNCONFIRMED = 3


def print_line(text: str) -> None:
    """Prints a line to standard output."""
    print(text)


def print_lines(lines: Iterable[str]) -> None:
    """Prints lines to standard output."""
    for line in lines:
        print_line(line)


def print_error(text: str) -> None:
    """Prints a line to standard error."""
    print(text, file=sys.stderr)


def fail(text: str, code: ExitCode = ExitCode.FAILED) -> ExitCode:
    """Prints an error message and returns the command's exit code."""
    print_error(text)
    return code
