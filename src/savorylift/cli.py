"""Command line of savorylift."""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa
from returns.pipeline import is_successful

from savorylift.account.printing import Format
from savorylift.front.early_reload import hold_reloads
from savorylift.front.process import run_node
from savorylift.front.settings import FrontSettings
from savorylift.operators import (
    account_commands,
    log_commands,
    rules_commands,
)
from savorylift.operators.output import Exit, report
from savorylift.rules.orders import Order
from savorylift.settings_file import read_settings

SettingsPath = Annotated[
    str,
    cappa.Arg(long="--settings", help="JSON settings file of any node."),
]
Author = Annotated[str, cappa.Arg(long="--author", help="Who orders this.")]
Cause = Annotated[str, cappa.Arg(long="--cause", help="Why it is ordered.")]


def _with_settings(path: str, run: Callable[[FrontSettings], Exit]) -> int:
    """Runs a command with checked settings, or prints their faults."""
    settings = read_settings(path, FrontSettings)
    if is_successful(settings):
        return run(settings.unwrap())
    for fault in settings.failure():
        report(str(fault))
    return Exit.BAD_INPUT


@cappa.command(name="node")
@dataclass
class NodeCommand:
    """Run one node."""

    settings: SettingsPath

    def run(self) -> int:
        """Serves until a signal."""
        return run_node(self.settings, hold_reloads())


@cappa.command(name="check")
@dataclass
class CheckCommand:
    """Check a rules file."""

    file: str

    def run(self) -> int:
        """Prints every fault."""
        return rules_commands.check(self.file)


@cappa.command(name="diff")
@dataclass
class DiffCommand:
    """Show what publishing a rules file would change."""

    file: str
    settings: SettingsPath

    def run(self) -> int:
        """Prints removed and added lines."""
        return _with_settings(
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
        cappa.Arg(long="--base", help="Version that the file was made from."),
    ] = None

    def run(self) -> int:
        """Publishes unless somebody else was first."""
        return _with_settings(
            self.settings,
            lambda cfg: rules_commands.publish(
                cfg, self.file, self.author, self.base
            ),
        )


@cappa.command(name="show")
@dataclass
class ShowCommand:
    """Show the accepted rules."""

    settings: SettingsPath

    def run(self) -> int:
        """Prints the rules file as the store has it."""
        return _with_settings(self.settings, rules_commands.show)


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
    """Take out of service."""

    target: str
    settings: SettingsPath
    author: Author
    cause: Cause


@cappa.command(name="back")
@dataclass
class BackCommand:
    """Bring back into service."""

    target: str
    settings: SettingsPath
    author: Author
    cause: Cause


Direction = cappa.Subcommands[OutCommand | BackCommand]


def _order(command: OutCommand | BackCommand) -> int:
    order = Order(
        command.target,
        isinstance(command, OutCommand),
        command.author,
        command.cause,
    )
    return _with_settings(
        command.settings, lambda cfg: rules_commands.order(cfg, order)
    )


@cappa.command(name="domain")
@dataclass
class DomainCommand:
    """Take a failure domain out of service or bring it back."""

    command: Direction

    def run(self) -> int:
        """Gives the order."""
        return _order(self.command)


@cappa.command(name="vm")
@dataclass
class VmCommand:
    """Take a vm out of service or bring it back."""

    command: Direction

    def run(self) -> int:
        """Gives the order."""
        return _order(self.command)


@cappa.command(name="status")
@dataclass
class StatusCommand:
    """Show the state of every node."""

    settings: SettingsPath
    full: Annotated[
        bool, cappa.Arg(long="--full", help="Print all that a node tells.")
    ] = False

    def run(self) -> int:
        """Prints one line a node, or everything."""
        return _with_settings(
            self.settings,
            lambda cfg: log_commands.status(cfg, is_full=self.full),
        )


@cappa.command(name="refusals")
@dataclass
class RefusalsCommand:
    """Show who was turned away in a period, and why."""

    settings: SettingsPath
    start: Annotated[
        str, cappa.Arg(long="--from", help="Time, or an age such as 12h.")
    ]
    end: Annotated[
        str, cappa.Arg(long="--to", help="Time or age; now if not given.")
    ] = ""
    team: Annotated[str, cappa.Arg(long="--team", help="One team only.")] = ""
    fmt: Annotated[
        str, cappa.Arg(long="--format", help="table, json or csv.")
    ] = Format.TABLE.value

    def run(self) -> int:
        """Prints the account."""
        wanted = account_commands.ReportRequest(
            self.start, self.end, self.team, self.fmt
        )
        return _with_settings(
            self.settings, lambda cfg: account_commands.refusals(cfg, wanted)
        )


@cappa.command(name="explain")
@dataclass
class ExplainCommand:
    """Show what nodes logged about a request, and about what it met."""

    request_id: str
    logs: Annotated[
        list[str],
        cappa.Arg(help="Log files of any nodes; - or none: standard input."),
    ] = field(default_factory=lambda: [log_commands.STANDARD_INPUT])

    def run(self) -> int:
        """Prints one line a decision."""
        return log_commands.explain(self.request_id, self.logs)


@cappa.command(name="emulate")
@dataclass
class EmulateCommand:
    """Play a load file on the placement policy, in virtual time."""

    load: str
    out: Annotated[
        str, cappa.Arg(long="--out", help="Folder for table and plots.")
    ]
    rules: Annotated[
        str, cappa.Arg(long="--rules", help="Rules file with other weights.")
    ] = ""

    def run(self) -> int:
        """Prints and writes the report."""
        # Plots are only imported where they are drawn.
        from savorylift.operators.emulate_command import emulate

        return emulate(self.load, self.out, self.rules)


@dataclass
class Savorylift:
    """Serves generations of unknown length on crowded engines."""

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
    argv: list[str] | None = None, leave: Callable[[int], object] = sys.exit
) -> None:
    """Runs the command line and ends the process with its exit code."""
    parsed = cappa.parse(Savorylift, argv=argv)
    leave(parsed.command.run())
