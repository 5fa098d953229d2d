"""Types for the rules of a rules file."""

from collections.abc import Mapping
from typing import NamedTuple

ANY_MODEL = "*"


class RuleSource(NamedTuple):
    """Where a rule is written and who asked for it.

    Attributes:
        line: Line number, starting at 1; 0 before it is set.
        text: Text of the rule, without its comment.
        asked_by: The line's comment, which says who asked for the rule.
    """

    line: int
    text: str
    asked_by: str


class FailureDomainRule(NamedTuple):
    """A failure domain and the region that it belongs to."""

    name: str
    region: str
    source: RuleSource


class ModelRule(NamedTuple):
    """A model that callers can request.

    Attributes:
        name: Name used by callers.
        version: Version that engines must have loaded.
        source: Line that defines the model.
    """

    name: str
    version: str
    source: RuleSource


class ServiceRule(NamedTuple):
    """A plain service, which answers ordinary HTTP calls.

    Attributes:
        name: Name used by callers.
        repeatable: HTTP methods whose calls may be executed more than once.
        source: Line that defines the service.
    """

    name: str
    repeatable: frozenset[str]
    source: RuleSource


class BackendServerRule(NamedTuple):
    """A backend server: a model engine or an instance of a plain service.

    Attributes:
        name: Name; the same as the VM's name in the platform's list.
        address: `ip:port` of its HTTP listener.
        failure_domain: Failure domain that it runs in.
        model: Model that it serves; None for a plain service.
        service: Service that it serves; None for a model engine.
        cold_limit: Maximum number of concurrent requests during cold start.
        warm_limit: Maximum number of concurrent requests when warm.
        kv_cache_tokens: Capacity of its KV cache in tokens; 0 for a plain
            service.
        checks_fencing: Whether it rejects commands that carry an outdated
            fencing number.
        source: Line that defines the backend server.
    """

    name: str
    address: str
    failure_domain: str
    model: str | None
    service: str | None
    cold_limit: int
    warm_limit: int
    kv_cache_tokens: int
    checks_fencing: bool
    source: RuleSource


class TeamRule(NamedTuple):
    """A team that may send requests.

    Attributes:
        name: Name used in the team header.
        weight: Share of contended capacity, relative to other teams.
        models: Models that it may use; contains `ANY_MODEL` if it may use all.
        max_in_flight: Maximum number of concurrent requests on one node; 0
            for no limit.
        source: Line that defines the team.
    """

    name: str
    weight: int
    models: frozenset[str]
    max_in_flight: int
    source: RuleSource


class SettingRule(NamedTuple):
    """A named number that tunes a policy."""

    name: str
    value: float
    source: RuleSource


class RuleSet(NamedTuple):
    """All rules of a file, by kind.

    Attributes:
        failure_domains: Failure domains by name.
        models: Models by name.
        services: Plain services by name.
        backend_servers: Backend servers by name.
        teams: Teams by name.
        settings: Settings by name.
    """

    failure_domains: Mapping[str, FailureDomainRule] = {}
    models: Mapping[str, ModelRule] = {}
    services: Mapping[str, ServiceRule] = {}
    backend_servers: Mapping[str, BackendServerRule] = {}
    teams: Mapping[str, TeamRule] = {}
    settings: Mapping[str, SettingRule] = {}
