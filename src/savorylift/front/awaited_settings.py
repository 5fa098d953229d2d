"""Reads the settings of a node that starts while they are being written."""

import time

from returns.pipeline import is_successful
from returns.result import Result

from savorylift.front.log_output import LineWriter
from savorylift.front.settings import FrontSettings
from savorylift.settings_file import SettingsFault, read_settings

# The platform writes the file at each start and at each change.
MAX_WAIT_S = 10.0
POLL_INTERVAL_S = 0.05
STANDARD_ERROR = 2


def await_settings(
    path: str,
) -> Result[FrontSettings, tuple[SettingsFault, ...]]:
    """Returns the settings; waits while their file is missing or not whole.

    What is wrong with a whole file is returned at once.
    """
    until_s = time.monotonic() + MAX_WAIT_S
    is_told = False
    while True:
        result = read_settings(path, FrontSettings)
        if is_successful(result) or not is_unfinished(result.failure()):
            return result
        if time.monotonic() >= until_s:
            return result
        if not is_told:
            LineWriter(STANDARD_ERROR).write(f"{result.failure()[0]}; waiting")
            is_told = True
        time.sleep(POLL_INTERVAL_S)


def is_unfinished(faults: tuple[SettingsFault, ...]) -> bool:
    """Whether the file as a whole can't be read, and may be so later."""
    return any(not fault.key for fault in faults)
