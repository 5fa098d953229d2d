"""The rules file as lines, with the rules that can be read from them.

A line that can't be read is left out, so that a node meeting a line of a
newer release keeps the rest in force. Of rules with the same name the first
counts.
"""

from collections.abc import Iterable, Sequence
from typing import Self

from savorylift.rules.edits import apply_edits
from savorylift.rules.line import Kind, Rule, kind_of
from savorylift.rules.messages import LineEdit
from savorylift.rules.parser import parse_line
from savorylift.rules.tables import Tables, build_tables, number_rule


class RulesText:
    """Lines and tables of one version; edits parse only what they add.

    Attributes:
        lines: The file's lines.
        tables: Rules by kind and name; replaced, never changed, by edits.
    """

    def __init__(
        self, lines: Iterable[str] = (), known: Self | None = None
    ) -> None:
        """Parses the lines that `known`, another version, doesn't have."""
        self.lines: list[str] = list(lines)
        read = known.rules_by_line() if known is not None else {}
        self._rules = [
            read[line] if line in read else _read_rule(line)
            for line in self.lines
        ]
        self._number_from(0)
        self.tables: Tables = {}
        self._rebuild_tables()

    def rules_by_line(self) -> dict[str, Rule | None]:
        """Returns the rule read from each line's text."""
        return dict(zip(self.lines, self._rules, strict=True))

    def unread_lines(self) -> tuple[int, ...]:
        """Returns the numbers of lines that hold no readable rule."""
        return tuple(
            number
            for number, (line, rule) in enumerate(
                zip(self.lines, self._rules, strict=True), start=1
            )
            if rule is None and line.partition("#")[0].strip()
        )

    def apply(self, edits: Sequence[LineEdit]) -> None:
        """Applies edits that fit the lines."""
        if all(len(edit.added) == edit.removed for edit in edits):
            self._replace_in_place(edits)
        else:
            self._splice(edits)

    def _replace_in_place(self, edits: Sequence[LineEdit]) -> None:
        removed: list[Rule | None] = []
        added: list[Rule | None] = []
        for edit in edits:
            end = edit.start + edit.removed
            removed += self._rules[edit.start : end]
            self.lines[edit.start : end] = edit.added
            rules = [
                _number(_read_rule(line), number)
                for number, line in enumerate(edit.added, edit.start + 1)
            ]
            self._rules[edit.start : end] = rules
            added += rules
        self._swap_rules(_present(removed), _present(added))

    def _splice(self, edits: Sequence[LineEdit]) -> None:
        rules: list[Rule | None] = []
        end = 0
        for edit in edits:
            rules += self._rules[end : edit.start]
            rules += [_read_rule(line) for line in edit.added]
            end = edit.start + edit.removed
        self._rules = rules + self._rules[end:]
        self.lines = apply_edits(self.lines, edits)
        self._number_from(edits[0].start)
        self._rebuild_tables()

    def _swap_rules(self, removed: list[Rule], added: list[Rule]) -> None:
        if self._has_duplicates or _names(removed) != _names(added):
            self._rebuild_tables()
            return
        tables = dict(self.tables)
        for kind in {kind_of(rule) for rule in added}:
            tables[kind] = dict(tables[kind])
        for rule in added:
            tables[kind_of(rule)][rule.name] = rule
        self.tables = tables

    def _rebuild_tables(self) -> None:
        rules = _present(self._rules)
        self.tables = build_tables(rules)
        named = sum(len(self.tables[kind]) for kind in Kind)
        self._has_duplicates = named < len(rules)

    def _number_from(self, start: int) -> None:
        for index in range(start, len(self._rules)):
            self._rules[index] = _number(self._rules[index], index + 1)


def _read_rule(line: str) -> Rule | None:
    parsed = parse_line(line)
    return None if parsed.faults else parsed.rule


def _number(rule: Rule | None, number: int) -> Rule | None:
    return None if rule is None else number_rule(rule, number)


def _present(rules: Iterable[Rule | None]) -> list[Rule]:
    return [rule for rule in rules if rule is not None]


def _names(rules: Iterable[Rule]) -> list[tuple[Kind, str]]:
    return sorted((kind_of(rule), rule.name) for rule in rules)
