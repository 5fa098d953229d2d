"""Decodes the operators' configuration from its record in the store."""

import re
from collections.abc import Mapping

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.json_input import decode_json
from savorylift.platform.configuration_record import (
    ConfigurationRecord,
    RouteRecord,
    ServiceRecord,
    TenantRecord,
)
from savorylift.routing.configuration import (
    Configuration,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    Target,
    Team,
)
from savorylift.wire.request_input import InputLimits

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

KIND_BY_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
# Characters that the target of a request can have.
TARGET_PATTERN = re.compile("[!-~]+")
BYTES_PER_MEGABIT = 125_000.0


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decodes a configuration; returns an error message if it is invalid."""
    decoded = decode_json(value, ConfigurationRecord)
    if not is_successful(decoded):
        return Failure(decoded.failure())
    cfg = decoded.unwrap()
    unknown = [
        route.kind for route in cfg.routes if route.kind not in KIND_BY_NAME
    ]
    if unknown:
        return Failure(f"unknown kind of route {unknown[0]!r}")
    return Success(
        Configuration(
            version=cfg.version,
            routes=_routes_by_host(cfg.routes),
            services={item.name: _to_service(item) for item in cfg.services},
            teams_by_key=_teams_by_key(cfg.tenants),
            limits=InputLimits(
                cfg.limits.max_header_bytes,
                cfg.limits.max_body_bytes,
                cfg.limits.header_timeout_ms / 1000,
                cfg.limits.idle_timeout_ms / 1000,
            ),
        )
    )


def _routes_by_host(
    routes: list[RouteRecord],
) -> Mapping[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for item in routes:
        by_host.setdefault(item.host.lower(), []).append(_to_route(item))
    return {
        host: tuple(sorted(group, key=lambda r: -len(r.path_prefix)))
        for host, group in by_host.items()
    }


def _to_route(item: RouteRecord) -> Route:
    targets = [Target(part.service, part.weight) for part in item.traffic_split]
    if not targets and item.service is not None:
        targets = [Target(item.service, 1.0)]
    return Route(
        name=item.name,
        host=item.host.lower(),
        path_prefix=item.path_prefix,
        kind=KIND_BY_NAME[item.kind],
        targets=tuple(targets),
        timeout_s=_to_seconds(item.timeout_ms),
        objective_s=_to_seconds(item.target_latency_ms),
        max_attempts=max(item.max_attempts, 1),
        priority=item.priority,
        is_public=item.public,
        can_resume=item.stream_resumption,
        gap_objective_s=_to_seconds(item.gap_aim_ms),
        regions=frozenset(item.allowed_regions),
    )


def _to_service(item: ServiceRecord) -> Service:
    engine = None
    if item.engine is not None:
        engine = EngineTraits(
            slots=item.engine.slots,
            memory_tokens=max(item.engine.kv_capacity, 1),
            token_bytes=item.engine.kv_token_bytes,
            link_bytes_per_s=item.engine.link_mbps * BYTES_PER_MEGABIT,
            can_move=item.engine.moves,
            tokens_per_event=max(item.engine.stride, 1),
        )
    return Service(
        item.name,
        item.cold_per_s,
        engine,
        health_path=_to_health_path(item.health_path),
    )


def _to_health_path(path: str | None) -> str | None:
    """Returns a path that can be asked for; None without one."""
    is_path = path is not None and TARGET_PATTERN.fullmatch(path) is not None
    return path if is_path else None


def _teams_by_key(
    tenants: list[TenantRecord] | None,
) -> Mapping[str, Team] | None:
    if tenants is None:
        return None
    return {
        key: Team(item.name, item.priority, frozenset(item.allowed_regions))
        for item in tenants
        for key in item.api_keys
    }


def _to_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
