"""Which software versions requests may go to, as the settings say."""

from typing import NamedTuple

from savorylift.front.settings import FrontSettings
from savorylift.rollouts.answers import AnswerObserver
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.order import RolloutLimits


class RolloutRules(NamedTuple):
    """What the exchange needs of roll-outs.

    Attributes:
        board: Which versions a request may go to; None without roll-outs.
        answers: Follows the requests to services that are rolled out.
    """

    board: RolloutBoard | None
    answers: AnswerObserver


def make_rollout_rules(settings: FrontSettings) -> RolloutRules:
    """Creates the rules; without settings, requests go to any version."""
    limits = find_limits(settings)
    board = None if limits is None else RolloutBoard(limits)
    return RolloutRules(board, AnswerObserver())


def find_limits(settings: FrontSettings) -> RolloutLimits | None:
    """Returns the limits of roll-outs; None if there are to be none."""
    if settings.rollout_share is None:
        return None
    return RolloutLimits(
        settings.rollout_share,
        settings.rollout_slack,
        settings.rollback_ms / 1000,
    )
