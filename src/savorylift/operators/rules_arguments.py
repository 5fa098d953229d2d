"""Commands that work with the rules file."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from savorylift.operators import check_command, rules_commands
from savorylift.operators.order_arguments import Author
from savorylift.operators.settings_argument import (
    SettingsPath,
    run_with_settings,
)


@cappa.command(name="check")
@dataclass
class CheckCommand:
    """Check a rules file, or a configuration in JSON, before it is sent.

    Exits with 0 if nothing was found, 1 if there are findings, and 2 if
    something can't be read or the file must not be published.
    """

    file: str
    against: Annotated[
        str | None,
        cappa.Arg(
            long="--against",
            help="What it is compared with: another file, or IP:PORT of the "
            "store, whose newest version is in force.",
        ),
    ] = None
    settings: Annotated[
        str | None,
        cappa.Arg(
            long="--settings",
            help="JSON settings file of a node whose limits count.",
        ),
    ] = None
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the report as JSON.")
    ] = False

    def run(self) -> int:
        """Prints the findings, and what differs."""
        if self.settings is None:
            return check_command.check(self._options())
        return run_with_settings(
            self.settings,
            lambda cfg: check_command.check(
                self._options()._replace(max_open_requests=cfg.most_open)
            ),
        )

    def _options(self) -> check_command.CheckOptions:
        return check_command.CheckOptions(
            self.file, self.against, is_json=self.json
        )


@cappa.command(name="diff")
@dataclass
class DiffCommand:
    """Show what publishing a rules file would change."""

    file: str
    settings: SettingsPath

    def run(self) -> int:
        """Prints the removed and added lines."""
        return run_with_settings(
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
        return run_with_settings(
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
        return run_with_settings(self.settings, rules_commands.show)


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
