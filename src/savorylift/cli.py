"""Command-line interface of savorylift."""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa
from returns.pipeline import is_successful

from savorylift.front.process import run_node
from savorylift.front.reload_signal import record_reload_signal
from savorylift.front.settings import FrontSettings
from savorylift.operators import (
    node_commands,
    refusals_command,
    rules_commands,
)
from savorylift.operators.output import ExitCode, print_error
from savorylift.refusals.formatting import ReportFormat
from savorylift.rules.orders import OutOfServiceOrder
from savorylift.settings_file import read_settings

SettingsPath = Annotated[
    str,
    cappa.Arg(long="--settings", help="JSON settings file of any one node."),
]
Author = Annotated[str, cappa.Arg(long="--author", help="Who gives the order.")]
Cause = Annotated[str, cappa.Arg(long="--cause", help="Reason for the order.")]


def _run_with_settings(
    path: str, run: Callable[[FrontSettings], ExitCode]
) -> int:
    """Reads the settings and runs a command; prints faults of the settings."""
    settings = read_settings(path, FrontSettings)
    if is_successful(settings):
        return run(settings.unwrap())
    for fault in settings.failure():
        print_error(str(fault))
    return ExitCode.BAD_INPUT


@cappa.command(name="node")
@dataclass
class NodeCommand:
    """Run one node."""

    settings: SettingsPath

    def run(self) -> int:
        """Runs the node until a signal stops it."""
        return run_node(self.settings, record_reload_signal())


@cappa.command(name="check")
@dataclass
class CheckCommand:
    """Check a rules file."""

    file: str

    def run(self) -> int:
        """Prints all faults of the file."""
        return rules_commands.check(self.file)


@cappa.command(name="diff")
@dataclass
class DiffCommand:
    """Show what publishing a rules file would change."""

    file: str
    settings: SettingsPath

    def run(self) -> int:
        """Prints the removed and added lines."""
        return _run_with_settings(
            self.settings, lambda cfg: rules_commands.diff(cfg, self.file)
        )


@cappa.command(name="publish")
@dataclass
class PublishCommand:
    """Publish a rules file and wait until it is in force everywhere."""

    file: str
    settings: SettingsPath
    author: Author
    base: Annotated[
        int | None,
        cappa.Arg(
            long="--base",
            help="Version that the file was made from; by default the newest.",
        ),
    ] = None

    def run(self) -> int:
        """Publishes the file unless a newer version than its base exists."""
        return _run_with_settings(
            self.settings,
            lambda cfg: rules_commands.publish(
                cfg, self.file, self.author, self.base
            ),
        )


@cappa.command(name="show")
@dataclass
class ShowCommand:
    """Show the newest version of the rules file."""

    settings: SettingsPath

    def run(self) -> int:
        """Prints the rules file as it is in the store."""
        return _run_with_settings(self.settings, rules_commands.show)


@cappa.command(name="rules")
@dataclass
class RulesCommand:
    """Work with the rules file."""

    command: cappa.Subcommands[
        CheckCommand | DiffCommand | PublishCommand | ShowCommand
    ]

    def run(self) -> int:
        """Runs the subcommand."""
        return self.command.run()


@cappa.command(name="out")
@dataclass
class OutCommand:
    """Take the target out of service."""

    target: str
    settings: SettingsPath
    author: Author
    cause: Cause


@cappa.command(name="back")
@dataclass
class BackCommand:
    """Bring the target back into service."""

    target: str
    settings: SettingsPath
    author: Author
    cause: Cause


OutOrBackCommand = cappa.Subcommands[OutCommand | BackCommand]


def _run_order_command(command: OutCommand | BackCommand) -> int:
    order = OutOfServiceOrder(
        command.target,
        isinstance(command, OutCommand),
        command.author,
        command.cause,
    )
    return _run_with_settings(
        command.settings, lambda cfg: rules_commands.submit_order(cfg, order)
    )


@cappa.command(name="domain")
@dataclass
class DomainCommand:
    """Take a failure domain out of service or bring it back."""

    command: OutOrBackCommand

    def run(self) -> int:
        """Submits the order."""
        return _run_order_command(self.command)


@cappa.command(name="vm")
@dataclass
class VmCommand:
    """Take a vm out of service or bring it back."""

    command: OutOrBackCommand

    def run(self) -> int:
        """Submits the order."""
        return _run_order_command(self.command)


@cappa.command(name="status")
@dataclass
class StatusCommand:
    """Show the status of every node."""

    settings: SettingsPath
    full: Annotated[
        bool,
        cappa.Arg(long="--full", help="Print the full status of each node."),
    ] = False

    def run(self) -> int:
        """Prints one line per node, or the full status."""
        return _run_with_settings(
            self.settings,
            lambda cfg: node_commands.status(cfg, is_full=self.full),
        )


@cappa.command(name="refusals")
@dataclass
class RefusalsCommand:
    """Show which requests were refused in a period, and why."""

    settings: SettingsPath
    start: Annotated[
        str,
        cappa.Arg(long="--from", help="Start: a time, or an age such as 12h."),
    ]
    end: Annotated[
        str,
        cappa.Arg(long="--to", help="End: a time or an age; now if not given."),
    ] = ""
    team: Annotated[
        str, cappa.Arg(long="--team", help="Show only this team.")
    ] = ""
    fmt: Annotated[
        str,
        cappa.Arg(long="--format", help="Output format: table, json or csv."),
    ] = ReportFormat.TABLE.value

    def run(self) -> int:
        """Prints the report."""
        req = refusals_command.RefusalsArguments(
            self.start, self.end, self.team, self.fmt
        )
        return _run_with_settings(
            self.settings, lambda cfg: refusals_command.refusals(cfg, req)
        )


@cappa.command(name="explain")
@dataclass
class ExplainCommand:
    """Show what nodes logged about a request and the servers that it used."""

    request_id: str
    logs: Annotated[
        list[str],
        cappa.Arg(
            help="Log files of any nodes; standard input if - or none is given."
        ),
    ] = field(default_factory=lambda: [node_commands.STANDARD_INPUT])

    def run(self) -> int:
        """Prints one line per log entry."""
        return node_commands.explain(self.request_id, self.logs)


@cappa.command(name="emulate")
@dataclass
class EmulateCommand:
    """Simulate a load file against the placement policies, in virtual time."""

    load: str
    out: Annotated[
        str,
        cappa.Arg(
            long="--out", help="Output folder for the table and the plots."
        ),
    ]
    rules: Annotated[
        str,
        cappa.Arg(
            long="--rules", help="Rules file with team weights to use instead."
        ),
    ] = ""

    def run(self) -> int:
        """Runs the simulation, prints its report and writes table and plots."""
        # Imported here because only this command needs the plotting library.
        from savorylift.operators.emulate_command import emulate

        return emulate(self.load, self.out, self.rules)


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
