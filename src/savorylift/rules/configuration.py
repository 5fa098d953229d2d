"""Builds a routing configuration from the rules of a rules file."""

from collections.abc import Iterable

from savorylift.backends.server import ServerEntry
from savorylift.completions.caller_request import model_path, service_path
from savorylift.routing.configuration import (
    Configuration,
    EngineTraits,
    Route,
    RouteKind,
    RuleOrigin,
    Service,
    Target,
    Team,
)
from savorylift.rules import rule_types
from savorylift.rules.rule_types import ANY_MODEL, RuleSet
from savorylift.wire.address import parse_address
from savorylift.wire.request_input import InputLimits

# Requests for models and plain services are routed by path, not by host.
NO_HOST = ""
# A generation is lost when its engine fails, but another engine produces the
# same tokens from the same prompt and seed, so it can be retried.
MAX_ATTEMPTS_PER_GENERATION = 4
MAX_ATTEMPTS_PER_CALL = 2
DEFAULT_PRIORITY = 5
# Time within which a response, or the first event of a stream, is on time.
LATENCY_OBJECTIVE_S = 2.0


def build_configuration(rule_set: RuleSet, version: int) -> Configuration:
    """Returns the configuration for one version of the rules.

    Args:
        rule_set: Rules of the file.
        version: Version number of the file.
    """
    routes = [
        *(_model_route(model) for model in rule_set.models.values()),
        *(_service_route(service) for service in rule_set.services.values()),
    ]
    routes.sort(key=lambda route: -len(route.path_prefix))
    services = [
        *(
            _model_service(rule_set, model)
            for model in rule_set.models.values()
        ),
        *(
            Service(_plain_service_name(name), None, None)
            for name in rule_set.services
        ),
    ]
    return Configuration(
        version=version,
        routes={NO_HOST: tuple(routes)},
        services={service.name: service for service in services},
        teams_by_key={
            team.name: _team(team, rule_set.services)
            for team in rule_set.teams.values()
        },
        limits=InputLimits(),
        servers=tuple(_server_entries(rule_set.backend_servers.values())),
    )


def _model_service_name(model: str) -> str:
    return f"model {model}"


def _plain_service_name(service: str) -> str:
    return f"service {service}"


def _model_route(model: rule_types.ModelRule) -> Route:
    route = _route(
        model.name, model_path(model.name), _model_service_name(model.name)
    )
    return route._replace(
        kind=RouteKind.STREAM,
        max_attempts=MAX_ATTEMPTS_PER_GENERATION,
        can_resume=True,
    )


def _service_route(service: rule_types.ServiceRule) -> Route:
    name = service.name
    route = _route(name, service_path(name), _plain_service_name(name))
    return route._replace(repeatable_methods=service.repeatable)


def _route(name: str, path: str, service: str) -> Route:
    return Route(
        name=name,
        host=NO_HOST,
        path_prefix=path,
        kind=RouteKind.ONCE,
        targets=(Target(service, 1.0),),
        timeout_s=None,
        objective_s=LATENCY_OBJECTIVE_S,
        max_attempts=MAX_ATTEMPTS_PER_CALL,
        priority=DEFAULT_PRIORITY,
        is_public=False,
        can_resume=False,
        gap_objective_s=None,
    )


def _model_service(rule_set: RuleSet, model: rule_types.ModelRule) -> Service:
    servers = [
        server
        for server in rule_set.backend_servers.values()
        if server.model == model.name
    ]
    engine = EngineTraits(
        slots=max((server.warm_limit for server in servers), default=1),
        memory_tokens=min((s.kv_cache_tokens for s in servers), default=1),
        token_bytes=0.0,
        link_bytes_per_s=0.0,
        can_move=False,
        tokens_per_event=1,
    )
    return Service(_model_service_name(model.name), None, engine, model.version)


def _team(team: rule_types.TeamRule, service_names: Iterable[str]) -> Team:
    allowed_services = None
    if ANY_MODEL not in team.models:
        allowed_services = frozenset(
            [
                *map(_model_service_name, team.models),
                *map(_plain_service_name, service_names),
            ]
        )
    return Team(
        name=team.name,
        priority=None,
        services=allowed_services,
        max_open_requests=team.max_in_flight or None,
        weight=team.weight,
        source=RuleOrigin(team.source.text, team.source.asked_by),
    )


def _server_entries(
    servers: Iterable[rule_types.BackendServerRule],
) -> Iterable[ServerEntry]:
    for server in servers:
        address = parse_address(server.address)
        assert address is not None, "the rules file was validated"
        is_model = server.model is not None
        model_service_name = _model_service_name(server.model or "")
        yield ServerEntry(
            server_id=server.name,
            service=model_service_name
            if is_model
            else _plain_service_name(server.service or ""),
            address=address,
            failure_domain=server.failure_domain,
            slots=server.warm_limit,
            is_leaving=False,
            cold_s=0.0,
            started_ms=0,
            sequence=0,
            max_cold_requests=server.cold_limit,
        )
