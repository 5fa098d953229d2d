"""Rules in force, in the form that decisions read."""

from collections.abc import Mapping
from typing import NamedTuple

ANY_MODEL = "*"


class RuleSource(NamedTuple):
    """Where a rule stands and who asked for it.

    Attributes:
        line: Line number, from 1.
        text: The rule without its comment.
        asked_by: The line's comment.
    """

    line: int
    text: str
    asked_by: str


class FailureDomain(NamedTuple):
    """A failure domain and the region it lies in."""

    name: str
    region: str
    source: RuleSource


class Model(NamedTuple):
    """A model that callers may name.

    Attributes:
        name: Name used by callers.
        version: Version that engines must have loaded.
        source: The rule.
    """

    name: str
    version: str
    source: RuleSource


class Service(NamedTuple):
    """A plain service.

    Attributes:
        name: Name used by callers.
        repeatable: HTTP methods whose calls may run more than once.
        source: The rule.
    """

    name: str
    repeatable: frozenset[str]
    source: RuleSource


class BackendServer(NamedTuple):
    """A model engine's runner or an instance of a plain service.

    Attributes:
        name: Name, equal to its VM's name in the platform's list.
        address: `ip:port` of its HTTP listener.
        failure_domain: Failure domain it runs in.
        model: Model it serves; None for a plain service.
        service: Service it serves; None for a model engine.
        cold_limit: Concurrent requests it bears in cold start.
        warm_limit: Concurrent requests it bears when warm.
        kv_tokens: Tokens its memory holds; 0 for a plain service.
        checks_fencing: True if it refuses orders with an old fencing number.
        source: The rule.
    """

    name: str
    address: str
    failure_domain: str
    model: str | None
    service: str | None
    cold_limit: int
    warm_limit: int
    kv_tokens: int
    checks_fencing: bool
    source: RuleSource


class Team(NamedTuple):
    """A team that may send requests.

    Attributes:
        name: Name used in the team header.
        weight: Share of contended capacity relative to other teams.
        models: Models it may use; holds `ANY_MODEL` for all.
        max_in_flight: Concurrent requests allowed on one node; 0 for no bound.
        source: The rule.
    """

    name: str
    weight: int
    models: frozenset[str]
    max_in_flight: int
    source: RuleSource


class Setting(NamedTuple):
    """A named number that tunes a policy."""

    name: str
    value: float
    source: RuleSource


class RulesView(NamedTuple):
    """Every rule of a file.

    Attributes:
        failure_domains: By name.
        models: By name.
        services: By name.
        backend_servers: By name.
        teams: By name.
        settings: By name.
    """

    failure_domains: Mapping[str, FailureDomain] = {}
    models: Mapping[str, Model] = {}
    services: Mapping[str, Service] = {}
    backend_servers: Mapping[str, BackendServer] = {}
    teams: Mapping[str, Team] = {}
    settings: Mapping[str, Setting] = {}
