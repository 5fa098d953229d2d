"""Builds the rule of a line from the tokens of its parse."""

import functools
import ipaddress
from collections.abc import Iterable
from typing import TypeAlias

import lark

from savorylift.rules.line import Kind, LineFault, ParsedLine, Reference
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

MAX_PORT = 65535

_NO_SOURCE = RuleSource(0, "", "")  # the parser fills it in
_NO_METHODS = "none"

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
        _reference(Kind.FAILURE_DOMAIN, domain),
        _reference(Kind.MODEL if is_model else Kind.SERVICE, served),
    )
    faults = [*_address_faults(address), *_positive_faults(tokens[10:])]
    if rule.cold_limit > rule.warm_limit:
        faults.append(LineFault(_column(cold), "cold is above warm"))
    return ParsedLine(rule, _column(name), references, tuple(faults))


def _reference(kind: Kind, name: lark.Token) -> Reference:
    return Reference(kind, str(name), _column(name))


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


BUILDERS = {
    "failure_domain": _failure_domain,
    "model": _model,
    "service": _service,
    "model_server": _model_server,
    "service_server": _service_server,
    "team": _team,
    "setting": _setting,
}
