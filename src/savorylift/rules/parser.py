"""Parses single lines of the rules file."""

import functools
from collections.abc import Iterable

import lark

from savorylift.rules.parsed_line import LineFault, ParsedLine
from savorylift.rules.rule_builders import RULE_BUILDERS
from savorylift.rules.rule_types import RuleSource

_TOKEN_DESCRIPTIONS = {
    "NAME": "a name",
    "METHODS": "HTTP methods or 'none'",
    "LIST": "a list of model names",
    "ADDRESS": "an address",
    "COUNT": "a whole number",
    "NUMBER": "a number",
    "$END": "'#'",
}


def parse_line(text: str) -> ParsedLine:
    """Parses one line, given without its line break.

    The line number in the rule's source is 0; callers set it.
    """
    rule_text, hash_mark, comment = text.partition("#")
    if not rule_text.strip():
        return ParsedLine()
    parsed = _parse_rule(rule_text)
    asked_by = comment.strip()
    if not asked_by:
        column = (
            len(rule_text.rstrip()) + 1
            if not hash_mark
            else text.index("#") + 1
        )
        fault = LineFault(column, "missing comment on who asked for it")
        parsed = parsed._replace(faults=(*parsed.faults, fault))
    if parsed.rule is None:
        return parsed
    source = RuleSource(0, rule_text.strip(), asked_by)
    return parsed._replace(rule=parsed.rule._replace(source=source))


def _parse_rule(text: str) -> ParsedLine:
    try:
        tree = _parser().parse(text)
    except lark.UnexpectedInput as exc:
        return ParsedLine(faults=(_syntax_fault(text, exc),))
    (rule_tree,) = tree.children
    assert isinstance(rule_tree, lark.Tree)
    tokens = [
        token if isinstance(token, lark.Token) else None
        for token in rule_tree.children
    ]
    return RULE_BUILDERS[rule_tree.data](tokens)


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark.open_from_package(
        "savorylift.rules", "grammar.lark", parser="lalr"
    )


def _syntax_fault(text: str, exc: lark.UnexpectedInput) -> LineFault:
    if isinstance(exc, lark.UnexpectedCharacters):
        expected: Iterable[str] = exc.allowed
        column = exc.column
    else:
        assert isinstance(exc, lark.UnexpectedToken)
        expected = exc.accepts or exc.expected
        column = exc.column
        if exc.token.type == "$END":
            column = len(text.rstrip()) + 1
    descriptions = sorted(
        _TOKEN_DESCRIPTIONS.get(name) or f"'{name.lower()}'"
        for name in expected
    )
    return LineFault(column, f"expected {' or '.join(descriptions)}")
