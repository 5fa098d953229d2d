"""The operators' configuration as its record in the store has it."""

from typing import Annotated

import msgspec

from savorylift.wire.request_input import InputLimits

DEFAULT_PRIORITY = 5
# Larger numbers can't be calculated with as floats, or be in logs.
MAX_WHOLE = 1 << 62

Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]


class TargetRecord(msgspec.Struct):
    """A service of a split route, and its share."""

    service: str
    weight: float = 1.0


class RouteRecord(msgspec.Struct, rename="camel"):
    """How requests for a host and path are served."""

    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[TargetRecord] = []
    timeout_ms: float | None = None
    # Latency objective of a response, or of the first event of a stream.
    target_latency_ms: float | None = None
    max_attempts: Whole = 1
    priority: Whole = DEFAULT_PRIORITY
    public: bool = False
    stream_resumption: bool = False
    # Latency objective between two events of a stream.
    gap_aim_ms: float | None = None
    allowed_regions: list[str] = []


class EngineRecord(msgspec.Struct, rename="camel"):
    """What the model engines of a service can do."""

    slots: Whole
    # Capacity of the KV cache in tokens.
    kv_capacity: Whole
    # Size of one token in the KV cache.
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    # Whether a running generation can move to another engine.
    moves: bool = False
    # Tokens per event of a stream.
    stride: Whole = 1


class ServiceRecord(msgspec.Struct, rename="camel"):
    """A group of interchangeable servers."""

    name: str
    # Maximum request rate of a server during its cold start.
    cold_per_s: float | None = None
    engine: EngineRecord | None = None
    health_path: str | None = None


class TenantRecord(msgspec.Struct, rename="camel"):
    """A team and the keys that it sends."""

    name: str
    api_keys: list[str] = []
    priority: Whole | None = None
    allowed_regions: list[str] = []


class LimitsRecord(msgspec.Struct, rename="camel"):
    """Limits on what callers send, and for how long."""

    max_header_bytes: int = InputLimits().max_head_bytes
    max_body_bytes: int = InputLimits().max_body_bytes
    header_timeout_ms: float = InputLimits().head_timeout_s * 1000
    idle_timeout_ms: float = InputLimits().idle_timeout_s * 1000


class ConfigurationRecord(msgspec.Struct):
    """The whole record."""

    version: Whole
    routes: list[RouteRecord]
    services: list[ServiceRecord]
    tenants: list[TenantRecord] | None = None
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)
