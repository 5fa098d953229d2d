"""One line of the rules file: its rule, what it refers to, its faults.

Columns count characters from 1.
"""

import enum
import functools
import ipaddress
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

import lark

from savorylift.rules.view import (
    ANY_MODEL,
    BackendServer,
    FailureDomain,
    Model,
    RuleSource,
    Service,
    Setting,
    Team,
)

Rule: TypeAlias = (
    FailureDomain | Model | Service | BackendServer | Team | Setting
)

MAX_PORT = 65535

_NO_SOURCE = RuleSource(0, "", "")
_NO_METHODS = "none"
_VALUES = {
    "NAME": "a name",
    "METHODS": "HTTP methods or 'none'",
    "LIST": "a list of model names",
    "ADDRESS": "an address",
    "COUNT": "a whole number",
    "NUMBER": "a number",
    "$END": "'#'",
}


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


def parse_line(text: str) -> ParsedLine:
    """Parses one line without its line break."""
    rule_text, mark, comment = text.partition("#")
    if not rule_text.strip():
        return ParsedLine()
    parsed = _parse_rule(rule_text)
    asked_by = comment.strip()
    if not asked_by:
        column = (
            len(rule_text.rstrip()) + 1 if not mark else text.index("#") + 1
        )
        fault = LineFault(column, "missing comment on who asked for it")
        parsed = parsed._replace(faults=(*parsed.faults, fault))
    if parsed.rule is None:
        return parsed
    source = RuleSource(0, rule_text.strip(), asked_by)
    return parsed._replace(rule=parsed.rule._replace(source=source))


def kind_of(rule: Rule) -> Kind:
    """Returns the kind of `rule`."""
    return _KINDS[type(rule)]


def _parse_rule(text: str) -> ParsedLine:
    try:
        tree = _parser().parse(text)
    except lark.UnexpectedInput as exc:
        return ParsedLine(faults=(_syntax_fault(text, exc),))
    (part,) = tree.children
    assert isinstance(part, lark.Tree)
    tokens = [
        token if isinstance(token, lark.Token) else None
        for token in part.children
    ]
    return _BUILDERS[part.data](tokens)


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
    words = sorted(
        _VALUES.get(name) or f"'{name.lower()}'" for name in expected
    )
    return LineFault(column, f"expected {' or '.join(words)}")


_Tokens: TypeAlias = list[lark.Token | None]


def _failure_domain(tokens: _Tokens) -> ParsedLine:
    _, name, _, _, region = _present(tokens)
    rule = FailureDomain(str(name), str(region), _NO_SOURCE)
    return ParsedLine(rule, _column(name))


def _model(tokens: _Tokens) -> ParsedLine:
    _, name, _, version = _present(tokens)
    rule = Model(str(name), str(version), _NO_SOURCE)
    return ParsedLine(rule, _column(name))


def _service(tokens: _Tokens) -> ParsedLine:
    _, name, _, methods = _present(tokens)
    rule = Service(str(name), _methods(str(methods)), _NO_SOURCE)
    return ParsedLine(rule, _column(name))


def _model_server(tokens: _Tokens) -> ParsedLine:
    checks_fencing = tokens[-1] is not None
    tokens = tokens[:-2]
    kv = _present(tokens)[-1]
    return _server(_present(tokens), int(kv), checks_fencing=checks_fencing)


def _service_server(tokens: _Tokens) -> ParsedLine:
    return _server(_present(tokens), 0, checks_fencing=False)


def _server(
    tokens: list[lark.Token], kv_tokens: int, *, checks_fencing: bool
) -> ParsedLine:
    _, name, _, address, _, domain, _, kind, served = tokens[:9]
    cold, warm = tokens[10], tokens[12]
    is_model = kind.type == "MODEL"
    rule = BackendServer(
        name=str(name),
        address=str(address),
        failure_domain=str(domain),
        model=str(served) if is_model else None,
        service=None if is_model else str(served),
        cold_limit=int(cold),
        warm_limit=int(warm),
        kv_tokens=kv_tokens,
        checks_fencing=checks_fencing,
        source=_NO_SOURCE,
    )
    references = (
        Reference(Kind.FAILURE_DOMAIN, rule.failure_domain, _column(domain)),
        Reference(
            Kind.MODEL if is_model else Kind.SERVICE,
            str(served),
            _column(served),
        ),
    )
    faults = [*_address_faults(address), *_positive_faults(tokens[10:])]
    if rule.cold_limit > rule.warm_limit:
        faults.append(LineFault(_column(cold), "cold is above warm"))
    return ParsedLine(rule, _column(name), references, tuple(faults))


def _team(tokens: _Tokens) -> ParsedLine:
    bound = tokens[-1]
    _, name, _, weight, _, models = _present(tokens[:-2])
    rule = Team(
        name=str(name),
        weight=int(weight),
        models=_model_set(str(models)),
        max_in_flight=0 if bound is None else int(bound),
        source=_NO_SOURCE,
    )
    return ParsedLine(
        rule,
        _column(name),
        tuple(_model_references(models)),
        tuple(_positive_faults([weight])),
    )


def _setting(tokens: _Tokens) -> ParsedLine:
    _, name, number = _present(tokens)
    rule = Setting(str(name), float(number), _NO_SOURCE)
    return ParsedLine(rule, _column(name))


def _present(tokens: _Tokens) -> list[lark.Token]:
    return [token for token in tokens if token is not None]


def _column(token: lark.Token) -> int:
    assert token.column is not None
    return token.column


@functools.lru_cache(maxsize=1024)
def _model_set(text: str) -> frozenset[str]:
    return frozenset(text.split(","))


@functools.lru_cache(maxsize=128)
def _methods(text: str) -> frozenset[str]:
    return frozenset() if text == _NO_METHODS else frozenset(text.split(","))


def _model_references(models: lark.Token) -> Iterable[Reference]:
    column = _column(models)
    for name in models.split(","):
        if name != ANY_MODEL:
            yield Reference(Kind.MODEL, name, column)
        column += len(name) + 1


def _positive_faults(tokens: list[lark.Token]) -> Iterable[LineFault]:
    for token in tokens:
        if token.type == "COUNT" and int(token) == 0:
            yield LineFault(_column(token), "must be above 0")


def _address_faults(token: lark.Token) -> Iterable[LineFault]:
    host, _, port = token.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        yield LineFault(_column(token), f"'{host}' isn't an IP number")
    if not 0 < int(port) <= MAX_PORT:
        yield LineFault(_column(token), f"port {port} is out of range")


_KINDS: dict[type, Kind] = {
    FailureDomain: Kind.FAILURE_DOMAIN,
    Model: Kind.MODEL,
    Service: Kind.SERVICE,
    BackendServer: Kind.BACKEND_SERVER,
    Team: Kind.TEAM,
    Setting: Kind.SETTING,
}

_BUILDERS = {
    "failure_domain": _failure_domain,
    "model": _model,
    "service": _service,
    "model_server": _model_server,
    "service_server": _service_server,
    "team": _team,
    "setting": _setting,
}
