"""Commands that work with the rules file."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from savorylift.operators import rules_commands
from savorylift.operators.order_arguments import Author
from savorylift.operators.settings_argument import (
    SettingsPath,
    run_with_settings,
)


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
