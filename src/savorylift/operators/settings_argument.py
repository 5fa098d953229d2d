"""The argument that names a node's settings, as most commands have it."""

from collections.abc import Callable
from typing import Annotated

import cappa
from returns.pipeline import is_successful

from savorylift.front.settings import FrontSettings
from savorylift.operators.output import ExitCode, print_error
from savorylift.settings_file import read_settings, read_unknown

SettingsPath = Annotated[
    str,
    cappa.Arg(long="--settings", help="JSON settings file of any one node."),
]


def run_with_settings(
    path: str, run: Callable[[FrontSettings], ExitCode]
) -> int:
    """Reads the settings and runs a command; prints faults of the settings."""
    settings = read_settings(path, FrontSettings)
    if is_successful(settings):
        for fault in read_unknown(path, FrontSettings):
            print_error(f"{fault}, ignored")
        return run(settings.unwrap())
    for fault in settings.failure():
        print_error(str(fault))
    return ExitCode.BAD_INPUT
