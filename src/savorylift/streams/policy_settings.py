"""Weights of the placement policy, read from the rules in force."""

from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.rules.view import RulesView, Setting


class Range(NamedTuple):
    """A setting's default and the values that it may take."""

    default: float
    low: float
    high: float


RANGES: Mapping[str, Range] = {
    "stall_weight": Range(1.0, 0.0, 10.0),
    "domain_change_weight": Range(1.0, 0.0, 10.0),
    "token_tail_weight": Range(1.0, 0.0, 10.0),
    "preemption_weight": Range(1.0, 0.0, 10.0),
}


class PolicySettings(NamedTuple):
    """What a deployment weighs; 1 is ordinary, 0 ignores.

    Attributes:
        stall_weight: Time that started streams wait between tokens.
        domain_change_weight: Service while a failure domain leaves or returns.
        token_tail_weight: Tail of the time between tokens.
        preemption_weight: Generations that engines interrupt for memory.
    """

    stall_weight: float = RANGES["stall_weight"].default
    domain_change_weight: float = RANGES["domain_change_weight"].default
    token_tail_weight: float = RANGES["token_tail_weight"].default
    preemption_weight: float = RANGES["preemption_weight"].default


class BadSetting(NamedTuple):
    """A value that the policy can't use."""

    setting: Setting
    allowed: Range


def check_setting(setting: Setting) -> Result[Setting, BadSetting]:
    """Fails if a policy setting is out of its range; knows no others."""
    allowed = RANGES.get(setting.name)
    if allowed is None or allowed.low <= setting.value <= allowed.high:
        return Success(setting)
    return Failure(BadSetting(setting, allowed))


def read_settings(rules: RulesView) -> PolicySettings:
    """Returns the weights in force; a missing or bad one has its default."""
    values = {}
    for name in RANGES:
        setting = rules.settings.get(name)
        if setting is not None and isinstance(check_setting(setting), Success):
            values[name] = setting.value
    return PolicySettings(**values)
