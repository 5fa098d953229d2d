"""The command that checks a configuration before it is sent."""

import pathlib
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.checks.findings import CheckReport
from savorylift.checks.rendering import render_json, render_text
from savorylift.front.settings import FrontSettings
from savorylift.operators.check_report import FileFormat, find_format, report
from savorylift.operators.output import (
    ExitCode,
    fail,
    print_error,
    print_line,
    print_lines,
)
from savorylift.operators.version_source import read_version


class CheckOptions(NamedTuple):
    """What to check.

    Attributes:
        path: Path of the file.
        against: Path of another file, or address of the store; None to compare
            with nothing.
        is_json: Whether to print the report as JSON.
        max_open_requests: Most requests that a node serves at the same time.
    """

    path: str
    against: str | None = None
    is_json: bool = False
    max_open_requests: int = FrontSettings._field_defaults["most_open"]


def check(options: CheckOptions) -> ExitCode:
    """Prints what was found in a file, and how it differs from another."""
    try:
        data = pathlib.Path(options.path).read_bytes()
    except OSError as exc:
        cause = (exc.strerror or "can't be read").lower()
        return fail(f"{options.path}: {cause}", ExitCode.BAD_INPUT)
    file_format = find_format(data)
    against = None
    if options.against is not None:
        read = read_version(options.against, file_format)
        if not is_successful(read):
            message = f"{options.against}: {read.failure()}"
            return fail(message, ExitCode.BAD_INPUT)
        against = read.unwrap()
    result = report(data, against, options.max_open_requests)
    if not is_successful(result):
        message = f"{options.against}: {result.failure()}"
        return fail(message, ExitCode.BAD_INPUT)
    checked = result.unwrap()
    _print(options, file_format, checked)
    return find_exit_code(checked)


def find_exit_code(checked: CheckReport) -> ExitCode:
    """Returns the exit code for a report; differences don't matter."""
    if not checked.is_readable:
        return ExitCode.BAD_INPUT
    return ExitCode.FAILED if checked.findings else ExitCode.DONE


def _print(
    options: CheckOptions, file_format: FileFormat, checked: CheckReport
) -> None:
    if options.is_json:
        name = file_format.value
        code = find_exit_code(checked)
        print_line(render_json(options.path, name, checked, code).decode())
        return
    text = render_text(options.path, checked)
    for line in text.faults:
        print_error(line)
    print_lines(text.lines)
