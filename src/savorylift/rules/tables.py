"""Tables of rules by kind and name, from which a rule set is built."""

from collections.abc import Iterable
from typing import TypeAlias, cast

from savorylift.rules.parsed_line import Rule, RuleKind, kind_of
from savorylift.rules.rule_types import (
    BackendServerRule,
    FailureDomainRule,
    ModelRule,
    RuleSet,
    RuleSource,
    ServiceRule,
    SettingRule,
    TeamRule,
)

RuleTables: TypeAlias = dict[RuleKind, dict[str, Rule]]


def build_tables(rules: Iterable[Rule]) -> RuleTables:
    """Returns rules by kind and name; the first rule of a name is kept."""
    tables: RuleTables = {kind: {} for kind in RuleKind}
    for rule in rules:
        tables[kind_of(rule)].setdefault(rule.name, rule)
    return tables


def with_line_number(rule: Rule, line_number: int) -> Rule:
    """Returns `rule` with `line_number` in its source."""
    if rule.source.line == line_number:
        return rule
    source = RuleSource(line_number, rule.source.text, rule.source.asked_by)
    return rule._replace(source=source)


def to_rule_set(tables: RuleTables) -> RuleSet:
    """Returns a rule set that shares the dictionaries of `tables`.

    `tables` must not be modified afterwards.
    """
    return RuleSet(
        failure_domains=cast(
            "dict[str, FailureDomainRule]", tables[RuleKind.FAILURE_DOMAIN]
        ),
        models=cast("dict[str, ModelRule]", tables[RuleKind.MODEL]),
        services=cast("dict[str, ServiceRule]", tables[RuleKind.SERVICE]),
        backend_servers=cast(
            "dict[str, BackendServerRule]", tables[RuleKind.BACKEND_SERVER]
        ),
        teams=cast("dict[str, TeamRule]", tables[RuleKind.TEAM]),
        settings=cast("dict[str, SettingRule]", tables[RuleKind.SETTING]),
    )
