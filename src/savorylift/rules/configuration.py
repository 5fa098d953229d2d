"""The routes, services and teams that a rules file stands for."""

from collections.abc import Iterable

from savorylift.backends.server import ServerEntry
from savorylift.completions.caller_request import model_path, service_path
from savorylift.routing.configuration import (
    Configuration,
    EngineTraits,
    Kind,
    Route,
    Service,
    Source,
    Target,
    Team,
)
from savorylift.rules import view as rules
from savorylift.rules.view import ANY_MODEL, RulesView
from savorylift.wire.address import parse_address
from savorylift.wire.server_connection import InputLimits

# Requests by model and service name no host.
HOST = ""
# A generation is lost with its engine; the same prompt and seed give the
# same tokens elsewhere.
GENERATION_TRIES = 4
CALL_TRIES = 2
ORDINARY_PRIORITY = 5
OBJECTIVE_S = 2.0


def configuration_of(view: RulesView, version: int) -> Configuration:
    """Returns the configuration of a rules file."""
    routes = [
        *(_model_route(model) for model in view.models.values()),
        *(_service_route(service) for service in view.services.values()),
    ]
    routes.sort(key=lambda route: -len(route.path_prefix))
    services = [
        *(_model_service(view, model) for model in view.models.values()),
        *(Service(_service_name(name), None, None) for name in view.services),
    ]
    return Configuration(
        version=version,
        routes={HOST: tuple(routes)},
        services={service.name: service for service in services},
        teams_by_key={
            team.name: _team(team, view.services)
            for team in view.teams.values()
        },
        limits=InputLimits(),
        servers=tuple(_entries(view.backend_servers.values())),
    )


def _model_name(model: str) -> str:
    return f"model {model}"


def _service_name(service: str) -> str:
    return f"service {service}"


def _model_route(model: rules.Model) -> Route:
    route = _route(model.name, model_path(model.name), _model_name(model.name))
    return route._replace(
        kind=Kind.STREAM, max_servers=GENERATION_TRIES, can_resume=True
    )


def _service_route(service: rules.Service) -> Route:
    name = service.name
    route = _route(name, service_path(name), _service_name(name))
    return route._replace(repeatable_methods=service.repeatable)


def _route(name: str, path: str, service: str) -> Route:
    return Route(
        name=name,
        host=HOST,
        path_prefix=path,
        kind=Kind.ONCE,
        targets=(Target(service, 1.0),),
        timeout_s=None,
        objective_s=OBJECTIVE_S,
        max_servers=CALL_TRIES,
        priority=ORDINARY_PRIORITY,
        is_public=False,
        can_resume=False,
        gap_objective_s=None,
    )


def _model_service(view: RulesView, model: rules.Model) -> Service:
    servers = [
        server
        for server in view.backend_servers.values()
        if server.model == model.name
    ]
    engine = EngineTraits(
        slots=max((server.warm_limit for server in servers), default=1),
        memory_tokens=min((s.kv_tokens for s in servers), default=1),
        token_bytes=0.0,
        link_bytes_per_s=0.0,
        can_move=False,
        tokens_per_event=1,
    )
    return Service(_model_name(model.name), None, engine, model.version)


def _team(team: rules.Team, services: Iterable[str]) -> Team:
    usable = None
    if ANY_MODEL not in team.models:
        usable = frozenset(
            [
                *map(_model_name, team.models),
                *map(_service_name, services),
            ]
        )
    return Team(
        name=team.name,
        priority=None,
        services=usable,
        most_open=team.max_in_flight or None,
        weight=team.weight,
        source=Source(team.source.text, team.source.asked_by),
    )


def _entries(servers: Iterable[rules.BackendServer]) -> Iterable[ServerEntry]:
    for server in servers:
        address = parse_address(server.address)
        assert address is not None, "the rules were checked"
        is_model = server.model is not None
        name = _model_name(server.model or "")
        yield ServerEntry(
            server_id=server.name,
            service=name if is_model else _service_name(server.service or ""),
            address=address,
            failure_domain=server.failure_domain,
            slots=server.warm_limit,
            is_leaving=False,
            cold_s=0.0,
            started_ms=0,
            sequence=0,
            most_cold=server.cold_limit,
        )
