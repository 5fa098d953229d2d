"""Command line of savorylift."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import cappa

from savorylift import operations
from savorylift.daemon import run_node
from savorylift.operations import Target
from savorylift.refusals.formats import Format
from savorylift.refusals.request import ReportRequest

SettingsPath = Annotated[
    str,
    cappa.Arg(long="--settings", help="JSON settings file of any node."),
]
Author = Annotated[str, cappa.Arg(long="--author", help="Who orders this.")]
Cause = Annotated[str, cappa.Arg(long="--cause", help="Why it is ordered.")]


@cappa.command(name="node")
@dataclass
class NodeCommand:
    """Run one node."""

    settings: SettingsPath
    second_signal_stops: Annotated[
        bool,
        cappa.Arg(
            long="--second-signal-stops",
            help="Let a second signal cut requests short.",
        ),
    ] = False

    def run(self) -> int:
        """Serves until a signal."""
        return run_node(
            self.settings, second_signal_stops=self.second_signal_stops
        )


@cappa.command(name="check")
@dataclass
class CheckCommand:
    """Check a rules file."""

    file: str

    def run(self) -> int:
        """Prints every fault."""
        return operations.check(self.file)


@cappa.command(name="diff")
@dataclass
class DiffCommand:
    """Show what publishing a rules file would change."""

    file: str
    settings: SettingsPath

    def run(self) -> int:
        """Prints removed and added lines."""
        return operations.diff(self.settings, self.file)


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
        return operations.publish(
            self.settings, self.file, self.author, self.base
        )


@cappa.command(name="show")
@dataclass
class ShowCommand:
    """Show the accepted rules."""

    settings: SettingsPath

    def run(self) -> int:
        """Prints the rules file as the log has it."""
        return operations.show(self.settings)


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


def _order(command: OutCommand | BackCommand, *, is_domain: bool) -> int:
    return operations.order(
        command.settings,
        Target(command.target, is_domain=is_domain),
        is_out=isinstance(command, OutCommand),
        author=command.author,
        cause=command.cause,
    )


@cappa.command(name="domain")
@dataclass
class DomainCommand:
    """Take a failure domain out of service or bring it back."""

    command: Direction

    def run(self) -> int:
        """Gives the order."""
        return _order(self.command, is_domain=True)


@cappa.command(name="vm")
@dataclass
class VmCommand:
    """Take a vm out of service or bring it back."""

    command: Direction

    def run(self) -> int:
        """Gives the order."""
        return _order(self.command, is_domain=False)


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
        return operations.status(self.settings, is_full=self.full)


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
        wanted = ReportRequest(self.start, self.end, self.team, self.fmt)
        return operations.refusals(self.settings, wanted)


@cappa.command(name="explain")
@dataclass
class ExplainCommand:
    """Show what was decided about a request, where and by which rule."""

    request_id: str
    settings: SettingsPath

    def run(self) -> int:
        """Prints one line a decision."""
        return operations.explain(self.settings, self.request_id)


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
    ]


def main(
    argv: list[str] | None = None, leave: Callable[[int], object] = sys.exit
) -> None:
    """Runs the command line and ends the process with its exit code."""
    parsed = cappa.parse(Savorylift, argv=argv)
    leave(parsed.command.run())
