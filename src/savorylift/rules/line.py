"""One line of the rules file: its rule, what it refers to, its faults.

Columns count characters from 1.
"""

import enum
from typing import NamedTuple, TypeAlias

from savorylift.rules.view import (
    BackendServer,
    FailureDomain,
    Model,
    Service,
    Setting,
    Team,
)

Rule: TypeAlias = (
    FailureDomain | Model | Service | BackendServer | Team | Setting
)


class Kind(enum.StrEnum):
    """Kinds of rules, by the word that starts the line."""

    FAILURE_DOMAIN = "failure_domain"
    MODEL = "model"
    SERVICE = "service"
    BACKEND_SERVER = "backend_server"
    TEAM = "team"
    SETTING = "set"


class Reference(NamedTuple):
    """A name on a line that another rule must define."""

    kind: Kind
    name: str
    column: int


class LineFault(NamedTuple):
    """What is wrong with a line taken by itself."""

    column: int
    message: str


class ParsedLine(NamedTuple):
    """A line taken by itself.

    Attributes:
        rule: The rule; None for blank and comment lines and for lines whose
            rule can't be read. Its source names line 0.
        name_column: Column of the rule's name.
        references: Names that other rules must define.
        faults: What is wrong, by column; a rule with faults isn't used.
    """

    rule: Rule | None = None
    name_column: int = 0
    references: tuple[Reference, ...] = ()
    faults: tuple[LineFault, ...] = ()


def kind_of(rule: Rule) -> Kind:
    """Returns the kind of `rule`."""
    return _KINDS[type(rule)]


_KINDS: dict[type, Kind] = {
    FailureDomain: Kind.FAILURE_DOMAIN,
    Model: Kind.MODEL,
    Service: Kind.SERVICE,
    BackendServer: Kind.BACKEND_SERVER,
    Team: Kind.TEAM,
    Setting: Kind.SETTING,
}
