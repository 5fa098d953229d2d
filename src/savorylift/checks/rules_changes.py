"""Compares two rules files, rule by rule."""

from collections.abc import Iterable, Mapping

from savorylift.checks.findings import Change, ChangeKind, Location
from savorylift.rules.parsed_line import Rule, RuleKind
from savorylift.rules.rule_types import RuleSet


def compare_rules(old: RuleSet, new: RuleSet) -> tuple[Change, ...]:
    """Returns what differs in `new`: by line, and then what is removed."""
    present = [
        change
        for kind, old_rules, new_rules in _pairs(old, new)
        for change in _find_new(kind, old_rules, new_rules)
    ]
    removed = [
        _change(ChangeKind.REMOVED, kind, rule, rule.source.text)
        for kind, old_rules, new_rules in _pairs(old, new)
        for name, rule in old_rules.items()
        if name not in new_rules
    ]
    return (
        *sorted(present, key=lambda change: change.location),
        *sorted(removed, key=lambda change: change.location),
    )


def _pairs(
    old: RuleSet, new: RuleSet
) -> Iterable[tuple[RuleKind, Mapping[str, Rule], Mapping[str, Rule]]]:
    # A rule set has a field for each kind, in the same order.
    return zip(RuleKind, old, new, strict=True)


def _find_new(
    kind: RuleKind,
    old_rules: Mapping[str, Rule],
    new_rules: Mapping[str, Rule],
) -> Iterable[Change]:
    for name, rule in new_rules.items():
        old = old_rules.get(name)
        if old is None:
            yield _change(ChangeKind.ADDED, kind, rule, rule.source.text)
        elif _meaning(old) != _meaning(rule):
            detail = f"{old.source.text} -> {rule.source.text}"
            yield _change(ChangeKind.CHANGED, kind, rule, detail)


def _meaning(rule: Rule) -> Rule:
    """Returns the rule without where it stands and who asked for it."""
    return rule._replace(
        source=rule.source._replace(line=0, text="", asked_by="")
    )


def _change(
    change: ChangeKind, kind: RuleKind, rule: Rule, detail: str
) -> Change:
    source = rule.source
    return Change(
        change,
        f"{kind} {rule.name}",
        Location(source.line),
        detail,
        source.asked_by,
    )
