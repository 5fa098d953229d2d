"""Builds rules from the tokens of a parsed line."""

import functools
import ipaddress
from collections.abc import Iterable
from typing import TypeAlias

import lark

from savorylift.rules.parsed_line import (
    LineFault,
    ParsedLine,
    Reference,
    RuleKind,
)
from savorylift.rules.rule_types import (
    ANY_MODEL,
    BackendServerRule,
    FailureDomainRule,
    ModelRule,
    RuleSource,
    ServiceRule,
    SettingRule,
    TeamRule,
)

MAX_PORT = 65535

_PLACEHOLDER_SOURCE = RuleSource(0, "", "")  # replaced by the parser
_NO_METHODS = "none"

_Tokens: TypeAlias = list[lark.Token | None]


def _build_failure_domain(tokens: _Tokens) -> ParsedLine:
    _, name, _, _, region = _present_tokens(tokens)
    rule = FailureDomainRule(str(name), str(region), _PLACEHOLDER_SOURCE)
    return ParsedLine(rule, _column(name))


def _build_model(tokens: _Tokens) -> ParsedLine:
    _, name, _, version = _present_tokens(tokens)
    rule = ModelRule(str(name), str(version), _PLACEHOLDER_SOURCE)
    return ParsedLine(rule, _column(name))


def _build_service(tokens: _Tokens) -> ParsedLine:
    _, name, _, methods = _present_tokens(tokens)
    rule = ServiceRule(
        str(name), _parse_methods(str(methods)), _PLACEHOLDER_SOURCE
    )
    return ParsedLine(rule, _column(name))


def _build_model_server(tokens: _Tokens) -> ParsedLine:
    checks_fencing = tokens[-1] is not None
    tokens = tokens[:-2]
    kv_cache_tokens = _present_tokens(tokens)[-1]
    return _build_server(
        _present_tokens(tokens),
        int(kv_cache_tokens),
        checks_fencing=checks_fencing,
    )


def _build_service_server(tokens: _Tokens) -> ParsedLine:
    return _build_server(_present_tokens(tokens), 0, checks_fencing=False)


def _build_server(
    tokens: list[lark.Token], kv_cache_tokens: int, *, checks_fencing: bool
) -> ParsedLine:
    _, name, _, address, _, domain, _, served_kind, served_name = tokens[:9]
    cold, warm = tokens[10], tokens[12]
    is_model = served_kind.type == "MODEL"
    rule = BackendServerRule(
        name=str(name),
        address=str(address),
        failure_domain=str(domain),
        model=str(served_name) if is_model else None,
        service=None if is_model else str(served_name),
        cold_limit=int(cold),
        warm_limit=int(warm),
        kv_cache_tokens=kv_cache_tokens,
        checks_fencing=checks_fencing,
        source=_PLACEHOLDER_SOURCE,
    )
    references = (
        _make_reference(RuleKind.FAILURE_DOMAIN, domain),
        _make_reference(
            RuleKind.MODEL if is_model else RuleKind.SERVICE, served_name
        ),
    )
    faults = [*_find_address_faults(address), *_find_zero_counts(tokens[10:])]
    if rule.cold_limit > rule.warm_limit:
        faults.append(
            LineFault(_column(cold), "the cold limit is above the warm limit")
        )
    return ParsedLine(rule, _column(name), references, tuple(faults))


def _make_reference(kind: RuleKind, name: lark.Token) -> Reference:
    return Reference(kind, str(name), _column(name))


def _build_team(tokens: _Tokens) -> ParsedLine:
    in_flight_limit = tokens[-1]
    _, name, _, weight, _, models = _present_tokens(tokens[:-2])
    rule = TeamRule(
        name=str(name),
        weight=int(weight),
        models=_parse_model_names(str(models)),
        max_in_flight=0 if in_flight_limit is None else int(in_flight_limit),
        source=_PLACEHOLDER_SOURCE,
    )
    return ParsedLine(
        rule,
        _column(name),
        tuple(_make_model_references(models)),
        tuple(_find_zero_counts([weight])),
    )


def _build_setting(tokens: _Tokens) -> ParsedLine:
    _, name, number = _present_tokens(tokens)
    rule = SettingRule(str(name), float(number), _PLACEHOLDER_SOURCE)
    return ParsedLine(rule, _column(name))


def _present_tokens(tokens: _Tokens) -> list[lark.Token]:
    return [token for token in tokens if token is not None]


def _column(token: lark.Token) -> int:
    assert token.column is not None
    return token.column


@functools.lru_cache(maxsize=1024)
def _parse_model_names(text: str) -> frozenset[str]:
    return frozenset(text.split(","))


@functools.lru_cache(maxsize=128)
def _parse_methods(text: str) -> frozenset[str]:
    return frozenset() if text == _NO_METHODS else frozenset(text.split(","))


def _make_model_references(models: lark.Token) -> Iterable[Reference]:
    column = _column(models)
    for name in models.split(","):
        if name != ANY_MODEL:
            yield Reference(RuleKind.MODEL, name, column)
        column += len(name) + 1


def _find_zero_counts(tokens: list[lark.Token]) -> Iterable[LineFault]:
    for token in tokens:
        if token.type == "COUNT" and int(token) == 0:
            yield LineFault(_column(token), "must be greater than 0")


def _find_address_faults(token: lark.Token) -> Iterable[LineFault]:
    host, _, port = token.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        yield LineFault(_column(token), f"'{host}' is not an IP address")
    if not 0 < int(port) <= MAX_PORT:
        yield LineFault(_column(token), f"port {port} is out of range")


RULE_BUILDERS = {
    "failure_domain": _build_failure_domain,
    "model": _build_model,
    "service": _build_service,
    "model_server": _build_model_server,
    "service_server": _build_service_server,
    "team": _build_team,
    "setting": _build_setting,
}
