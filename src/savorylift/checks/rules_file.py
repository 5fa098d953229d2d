"""Finds rules of a valid file that can't do what they seem to say."""

import collections
from collections.abc import Iterable

from savorylift.checks.findings import Finding, FindingKind, Location
from savorylift.rules.rule_types import (
    ANY_MODEL,
    BackendServerRule,
    ModelRule,
    RuleSet,
    RuleSource,
    ServiceRule,
)


def find_in_rules(rule_set: RuleSet, max_open_requests: int) -> list[Finding]:
    """Returns the findings of a valid rules file, by line.

    Args:
        rule_set: Its rules.
        max_open_requests: Most requests that a node serves at the same time.
    """
    findings = [
        *_find_unserved(rule_set),
        *_find_unused_models(rule_set),
        *_find_team_contradictions(rule_set, max_open_requests),
        *_find_shared_addresses(rule_set),
        *_find_memory_contradictions(rule_set),
        *_find_unread_settings(rule_set),
    ]
    return sorted(findings, key=lambda finding: finding.location)


def _find_unserved(rule_set: RuleSet) -> Iterable[Finding]:
    """Finds models and services without a server, if the file lists servers."""
    servers = rule_set.backend_servers.values()
    if not servers:
        return
    served = {("model", server.model) for server in servers} | {
        ("service", server.service) for server in servers
    }
    rules: list[ModelRule | ServiceRule] = [
        *rule_set.models.values(),
        *rule_set.services.values(),
    ]
    for rule in rules:
        kind = "model" if isinstance(rule, ModelRule) else "service"
        if (kind, rule.name) not in served:
            message = (
                f"no backend_server of the file serves {kind} '{rule.name}'"
            )
            yield _finding(FindingKind.NEVER_MATCHES, rule.source, message)


def _find_unused_models(rule_set: RuleSet) -> Iterable[Finding]:
    if not rule_set.teams:
        return
    allowed: set[str] = set()
    for team in rule_set.teams.values():
        allowed |= team.models
    if ANY_MODEL in allowed:
        return
    for model in rule_set.models.values():
        if model.name not in allowed:
            message = f"no team may use model '{model.name}'"
            yield _finding(FindingKind.NEVER_MATCHES, model.source, message)


def _find_team_contradictions(
    rule_set: RuleSet, max_open_requests: int
) -> Iterable[Finding]:
    for team in rule_set.teams.values():
        named = sorted(team.models - {ANY_MODEL})
        if named and ANY_MODEL in team.models:
            message = (
                f"'{ANY_MODEL}' allows all models, so that "
                f"{', '.join(map(repr, named))} adds none"
            )
            yield _finding(FindingKind.NO_EFFECT, team.source, message)
        if team.max_in_flight > max_open_requests:
            message = (
                f"in_flight {team.max_in_flight} is above the "
                f"{max_open_requests} requests that a node serves"
            )
            yield _finding(FindingKind.CONTRADICTION, team.source, message)


def _find_shared_addresses(rule_set: RuleSet) -> Iterable[Finding]:
    first_by_address: dict[str, BackendServerRule] = {}
    for server in rule_set.backend_servers.values():
        first = first_by_address.setdefault(server.address, server)
        if first is not server:
            message = (
                f"{server.address} is also the address of '{first.name}' "
                f"on line {first.source.line}"
            )
            yield _finding(FindingKind.CONTRADICTION, server.source, message)


def _find_memory_contradictions(rule_set: RuleSet) -> Iterable[Finding]:
    engines_by_model = collections.defaultdict(list)
    for server in rule_set.backend_servers.values():
        if server.model is not None:
            engines_by_model[server.model].append(server)
    for model, engines in engines_by_model.items():
        least = min(engines, key=lambda engine: engine.kv_cache_tokens)
        for engine in engines:
            tokens = engine.kv_cache_tokens
            if tokens < engine.warm_limit:
                message = (
                    f"kv {tokens} is less than a token for each of the "
                    f"{engine.warm_limit} requests of its warm limit"
                )
                yield _finding(
                    FindingKind.CONTRADICTION, engine.source, message
                )
            if tokens > least.kv_cache_tokens:
                message = (
                    f"kv {tokens} counts as {least.kv_cache_tokens}, the "
                    f"least of model '{model}' (line {least.source.line})"
                )
                yield _finding(FindingKind.NO_EFFECT, engine.source, message)


def _find_unread_settings(rule_set: RuleSet) -> Iterable[Finding]:
    for setting in rule_set.settings.values():
        message = f"this release doesn't read '{setting.name}'"
        yield _finding(FindingKind.NO_EFFECT, setting.source, message)


def _finding(kind: FindingKind, source: RuleSource, message: str) -> Finding:
    return Finding(kind, Location(source.line), message, source.asked_by)
