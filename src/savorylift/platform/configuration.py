"""Decodes the operators' configuration from its record in the store."""

from collections.abc import Mapping

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.json_input import decode_json
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
DEFAULT_PRIORITY = 5
BYTES_PER_MEGABIT = 125_000.0


class _Target(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[_Target] = []
    timeout_ms: float | None = None
    # Latency objective of a response, or of the first event of a stream.
    target_latency_ms: float | None = None
    max_attempts: int = 1
    priority: int = DEFAULT_PRIORITY
    public: bool = False
    stream_resumption: bool = False
    # Latency objective between two events of a stream.
    gap_aim_ms: float | None = None
    allowed_regions: list[str] = []


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    # Capacity of the KV cache in tokens.
    kv_capacity: int
    # Size of one token in the KV cache.
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    # Whether a running generation can move to another engine.
    moves: bool = False
    # Tokens per event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # Maximum request rate of a server during its cold start.
    cold_per_s: float | None = None
    engine: _Engine | None = None
    health_path: str | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = InputLimits().max_head_bytes
    max_body_bytes: int = InputLimits().max_body_bytes
    header_timeout_ms: float = InputLimits().head_timeout_s * 1000
    idle_timeout_ms: float = InputLimits().idle_timeout_s * 1000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decodes a configuration; returns an error message if it is invalid."""
    decoded = decode_json(value, _Configuration)
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
    routes: list[_Route],
) -> Mapping[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for item in routes:
        by_host.setdefault(item.host.lower(), []).append(_to_route(item))
    return {
        host: tuple(sorted(group, key=lambda r: -len(r.path_prefix)))
        for host, group in by_host.items()
    }


def _to_route(item: _Route) -> Route:
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


def _to_service(item: _Service) -> Service:
    engine = None
    if item.engine is not None:
        engine = EngineTraits(
            slots=item.engine.slots,
            memory_tokens=item.engine.kv_capacity,
            token_bytes=item.engine.kv_token_bytes,
            link_bytes_per_s=item.engine.link_mbps * BYTES_PER_MEGABIT,
            can_move=item.engine.moves,
            tokens_per_event=max(item.engine.stride, 1),
        )
    return Service(
        item.name, item.cold_per_s, engine, health_path=item.health_path
    )


def _teams_by_key(
    tenants: list[_Tenant] | None,
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
