"""Runs a node as the main program of a process."""

import asyncio
import sys

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.front.awaited_settings import await_settings
from savorylift.front.large_blocks import keep_large_blocks_apart
from savorylift.front.log_output import configure_logging
from savorylift.front.loop_turns import make_measured_loop
from savorylift.front.node import FrontNode
from savorylift.front.reload_signal import ReloadSignal
from savorylift.front.settings import FrontSettings
from savorylift.front.standard_streams import open_standard_streams
from savorylift.settings_file import (
    SettingsFault,
    read_settings,
    read_unknown,
)

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2

_log = structlog.get_logger()


def run_node(path: str, reload_signal: ReloadSignal) -> int:
    """Runs a node until it is stopped; returns the exit code.

    Args:
        path: Path of its settings file, which is read again on SIGHUP.
        reload_signal: Records a SIGHUP that arrives before the node runs.
    """

    def read() -> Result[FrontSettings, tuple[SettingsFault, ...]]:
        return read_settings(path, FrontSettings)

    open_standard_streams()
    result = await_settings(path)
    if not is_successful(result):
        for fault in result.failure():
            print(fault, file=sys.stderr)
        return EXIT_BAD_INPUT
    settings = result.unwrap()
    keep_large_blocks_apart()
    configure_logging(settings.vm, settings.log_lines_per_s)
    for fault in read_unknown(path, FrontSettings):
        _log.warning("setting_ignored", key=fault.key)
    try:
        with asyncio.Runner(loop_factory=make_measured_loop) as runner:
            runner.run(FrontNode(settings, read).run(reload_signal))
    except OSError as exc:
        # For example a TLS file that can't be read.
        print(f"{path}: {exc}", file=sys.stderr)
        return EXIT_FAILED
    return 0
