"""Command-line interface of savorylift."""

import sys
from collections.abc import Callable
from dataclasses import dataclass

import cappa

from savorylift.front.process import run_node
from savorylift.front.reload_signal import record_reload_signal
from savorylift.operators.order_arguments import DomainCommand, VmCommand
from savorylift.operators.report_arguments import (
    EmulateCommand,
    ExplainCommand,
    RefusalsCommand,
    StatusCommand,
)
from savorylift.operators.rules_arguments import RulesCommand
from savorylift.operators.settings_argument import SettingsPath


@cappa.command(name="node")
@dataclass
class NodeCommand:
    """Run one node."""

    settings: SettingsPath

    def run(self) -> int:
        """Runs the node until a signal stops it."""
        return run_node(self.settings, record_reload_signal())


@dataclass
class Savorylift:
    """Serve text generations of unknown length on crowded model engines."""

    command: cappa.Subcommands[
        NodeCommand
        | RulesCommand
        | DomainCommand
        | VmCommand
        | StatusCommand
        | RefusalsCommand
        | ExplainCommand
        | EmulateCommand
    ]


def main(
    argv: list[str] | None = None,
    exit_process: Callable[[int], object] = sys.exit,
) -> None:
    """Parses the arguments, runs the command and exits with its exit code.

    Args:
        argv: Arguments; None for those of the process.
        exit_process: Called with the exit code of the command.
    """
    parsed = cappa.parse(Savorylift, argv=argv)
    exit_process(parsed.command.run())
