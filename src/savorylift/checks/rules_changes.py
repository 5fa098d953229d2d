"""Compares two rules files, rule by rule."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.checks.findings import Change, ChangeKind, Location
from savorylift.rules.parsed_line import Rule, RuleKind
from savorylift.rules.rule_types import RuleSet


class _RulesOfKind(NamedTuple):
    """The rules of one kind in both versions, by name."""

    kind: RuleKind
    old: Mapping[str, Rule]
    new: Mapping[str, Rule]


def compare_rules(old: RuleSet, new: RuleSet) -> tuple[Change, ...]:
    """Returns what differs in `new`: by line, and then what is removed."""
    present = [
        change for rules in _by_kind(old, new) for change in _find_new(rules)
    ]
    removed = [
        _change(ChangeKind.REMOVED, rules.kind, rule, rule.source.text)
        for rules in _by_kind(old, new)
        for name, rule in rules.old.items()
        if name not in rules.new
    ]
    return (
        *sorted(present, key=lambda change: change.location),
        *sorted(removed, key=lambda change: change.location),
    )


def _by_kind(old: RuleSet, new: RuleSet) -> Iterable[_RulesOfKind]:
    # A rule set has a field for each kind, in the same order.
    old_maps: Iterable[Mapping[str, Rule]] = old
    new_maps: Iterable[Mapping[str, Rule]] = new
    pairs = zip(old_maps, new_maps, strict=True)
    for kind, (old_rules, new_rules) in zip(RuleKind, pairs, strict=True):
        yield _RulesOfKind(kind, old_rules, new_rules)


def _find_new(rules: _RulesOfKind) -> Iterable[Change]:
    """Yields the rules that are added or changed."""
    kind = rules.kind
    for name, rule in rules.new.items():
        old = rules.old.get(name)
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
