"""Entry point of `python -m savorylift.front SETTINGS`."""

import asyncio
import sys

from returns.pipeline import is_successful
from returns.result import Result

from savorylift.front.log_output import configure_logs
from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.settings_file import SettingsFault, read_settings_as


def main() -> int:
    """Runs a node until it is stopped; returns the exit status."""
    if len(sys.argv) != 2:
        print("usage: python -m savorylift.front SETTINGS", file=sys.stderr)
        return 2

    def read() -> Result[FrontSettings, tuple[SettingsFault, ...]]:
        return read_settings_as(sys.argv[1], FrontSettings)

    settings = read()
    if not is_successful(settings):
        for fault in settings.failure():
            print(fault, file=sys.stderr)
        return 2
    cfg = settings.unwrap()
    configure_logs(cfg.vm, cfg.log_lines_per_s)
    asyncio.run(FrontNode(cfg, read).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
