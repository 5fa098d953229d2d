"""Commands that show what nodes and placement policies do."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa

from savorylift.operators import node_commands, refusals_command
from savorylift.operators.settings_argument import (
    SettingsPath,
    run_with_settings,
)
from savorylift.refusals.formatting import ReportFormat


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
        return run_with_settings(
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
        return run_with_settings(
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
