"""Types for one parsed line of the rules file.

Columns are counted in characters, starting at 1.
"""

import enum
from typing import NamedTuple, TypeAlias

from savorylift.rules.rule_types import (
    BackendServerRule,
    FailureDomainRule,
    ModelRule,
    ServiceRule,
    SettingRule,
    TeamRule,
)

Rule: TypeAlias = (
    FailureDomainRule
    | ModelRule
    | ServiceRule
    | BackendServerRule
    | TeamRule
    | SettingRule
)


class RuleKind(enum.StrEnum):
    """Kind of a rule; the value is the keyword that starts the line."""

    FAILURE_DOMAIN = "failure_domain"
    MODEL = "model"
    SERVICE = "service"
    BACKEND_SERVER = "backend_server"
    TEAM = "team"
    SETTING = "set"


class Reference(NamedTuple):
    """A name that a line uses and another rule must define."""

    kind: RuleKind
    name: str
    column: int


class LineFault(NamedTuple):
    """A fault that is visible without looking at other lines."""

    column: int
    message: str


class ParsedLine(NamedTuple):
    """Result of parsing one line, independent of other lines.

    Attributes:
        rule: The rule; None if the line is blank, holds only a comment or
            has a syntax error. The line number in its source is 0.
        name_column: Column of the rule's name.
        references: Names that other rules must define.
        faults: Faults of the line; a rule with faults must not be used.
    """

    rule: Rule | None = None
    name_column: int = 0
    references: tuple[Reference, ...] = ()
    faults: tuple[LineFault, ...] = ()


def kind_of(rule: Rule) -> RuleKind:
    """Returns the kind of `rule`."""
    return _KIND_BY_TYPE[type(rule)]


_KIND_BY_TYPE: dict[type, RuleKind] = {
    FailureDomainRule: RuleKind.FAILURE_DOMAIN,
    ModelRule: RuleKind.MODEL,
    ServiceRule: RuleKind.SERVICE,
    BackendServerRule: RuleKind.BACKEND_SERVER,
    TeamRule: RuleKind.TEAM,
    SettingRule: RuleKind.SETTING,
}
