"""Commands that take something out of service or bring it back."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from savorylift.operators import rules_commands
from savorylift.operators.settings_argument import (
    SettingsPath,
    run_with_settings,
)
from savorylift.rules.orders import OutOfServiceOrder

Author = Annotated[str, cappa.Arg(long="--author", help="Who gives the order.")]
Cause = Annotated[str, cappa.Arg(long="--cause", help="Reason for the order.")]


@dataclass
class _OrderCommand:
    """What both orders name."""

    target: str
    settings: SettingsPath
    author: Author
    cause: Cause


@cappa.command(name="out")
@dataclass
class OutCommand(_OrderCommand):
    """Take the target out of service."""


@cappa.command(name="back")
@dataclass
class BackCommand(_OrderCommand):
    """Bring the target back into service."""


OutOrBackCommand = cappa.Subcommands[OutCommand | BackCommand]


def _run_order_command(command: OutCommand | BackCommand) -> int:
    order = OutOfServiceOrder(
        command.target,
        isinstance(command, OutCommand),
        command.author,
        command.cause,
    )
    return run_with_settings(
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
