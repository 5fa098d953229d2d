"""Rules by kind and name, from which a view is made."""

from collections.abc import Iterable
from typing import TypeAlias, cast

from savorylift.rules.line import Kind, Rule, kind_of
from savorylift.rules.view import (
    BackendServer,
    FailureDomain,
    Model,
    RuleSource,
    RulesView,
    Service,
    Setting,
    Team,
)

Tables: TypeAlias = dict[Kind, dict[str, Rule]]


def build_tables(rules: Iterable[Rule]) -> Tables:
    """Returns rules by kind and name; the first one of a name counts."""
    tables: Tables = {kind: {} for kind in Kind}
    for rule in rules:
        tables[kind_of(rule)].setdefault(rule.name, rule)
    return tables


def number_rule(rule: Rule, number: int) -> Rule:
    """Returns `rule` with the line number of its source replaced."""
    if rule.source.line == number:
        return rule
    source = RuleSource(number, rule.source.text, rule.source.asked_by)
    return rule._replace(source=source)


def view_of(tables: Tables) -> RulesView:
    """Returns a view that shares `tables`, which must not change any more."""
    return RulesView(
        failure_domains=cast(
            "dict[str, FailureDomain]", tables[Kind.FAILURE_DOMAIN]
        ),
        models=cast("dict[str, Model]", tables[Kind.MODEL]),
        services=cast("dict[str, Service]", tables[Kind.SERVICE]),
        backend_servers=cast(
            "dict[str, BackendServer]", tables[Kind.BACKEND_SERVER]
        ),
        teams=cast("dict[str, Team]", tables[Kind.TEAM]),
        settings=cast("dict[str, Setting]", tables[Kind.SETTING]),
    )
