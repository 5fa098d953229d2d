"""The configuration: routes, services, teams and limits."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.wire.request_input import InputLimits


class RouteKind(enum.Enum):
    """Kinds of requests that a route serves.

    Attributes:
        IDEMPOTENT: Requests that may run more than once.
        ONCE: Requests that must not run more than once.
        STREAM: Requests that are answered by a stream of events.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other targets of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host name in lower case, without a port.
        path_prefix: Path prefix that begins and ends with a slash.
        kind: Kind of the route's requests.
        targets: Services that get the requests.
        timeout_s: Timeout of a request; None for no timeout.
        objective_s: Latency objective of the response, or of the first event
            of a stream; None for no objective.
        max_attempts: Maximum number of attempts at a request. Attempts that
            certainly did not run it are not counted.
        priority: Priority; 0 is the highest.
        is_public: Whether requests need no API key.
        can_resume: Whether a broken stream may resume on another server.
        gap_objective_s: Latency objective between two events of a stream;
            None for no objective.
        regions: Regions that the requests must stay in; empty for any.
        repeatable_methods: HTTP methods whose requests may run more than
            once, whatever the kind.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float | None
    objective_s: float | None
    max_attempts: int
    priority: int
    is_public: bool
    can_resume: bool
    gap_objective_s: float | None
    regions: frozenset[str] = frozenset()
    repeatable_methods: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


class EngineTraits(NamedTuple):
    """Capacity and features of the model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        memory_tokens: Capacity of the KV cache in tokens.
        token_bytes: Size of one token in the KV cache.
        link_bytes_per_s: Bandwidth for copying a KV cache to another engine.
        can_move: Whether a running generation can move to another engine.
        tokens_per_event: Tokens in each event of a stream.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_bytes_per_s: float
    can_move: bool
    tokens_per_event: int


class Service(NamedTuple):
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the service.
        cold_requests_per_s: Maximum request rate of a server during its cold
            start; None for no limit.
        engine: Traits of the model engines; None for a plain service.
        model_version: Required version of the model; None for any.
        health_path: Path of the health check of its servers, if they have one.
    """

    name: str
    cold_requests_per_s: float | None
    engine: EngineTraits | None
    model_version: str | None = None
    health_path: str | None = None


class RuleOrigin(NamedTuple):
    """The rule that defines a team.

    Attributes:
        rule: Text of the rule.
        asked_by: Who asked for the rule.
    """

    rule: str
    asked_by: str


class Team(NamedTuple):
    """A team of callers and its limits.

    Attributes:
        name: Name of the team.
        priority: Priority that overrides the route's; None for the route's.
        regions: Regions that its requests must stay in; empty for any.
        services: Services that it may use; None for all.
        max_open_requests: Maximum number of its open requests on one node;
            None for no limit.
        weight: Share of contended capacity, relative to other teams.
        source: The rule that defines the team; None without one.
    """

    name: str
    priority: int | None
    regions: frozenset[str] = frozenset()
    services: frozenset[str] | None = None
    max_open_requests: int | None = None
    weight: int = 1
    source: RuleOrigin | None = None


class Configuration(NamedTuple):
    """One version of the configuration that operators write.

    Attributes:
        version: Version number, which increases, possibly with gaps.
        routes: Routes by host, longest path prefix first.
        services: Services by name.
        teams_by_key: Teams by API key; None if no key is required.
        limits: Limits on the requests of callers.
        servers: Backend servers that the configuration lists.
        unread_lines: Lines of a rules file that this release can't parse.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    teams_by_key: Mapping[str, Team] | None
    limits: InputLimits
    servers: tuple[ServerEntry, ...] = ()
    unread_lines: tuple[int, ...] = ()


def home_regions(cfg: Configuration, host: str) -> frozenset[str]:
    """Returns the regions that the routes of a host are bound to."""
    regions = [route.regions for route in cfg.routes.get(host.lower(), ())]
    return frozenset().union(*regions)


def find_route(cfg: Configuration, host: str, path: str) -> Route | None:
    """Returns the route with the longest prefix of `path` on `host`."""
    for route in cfg.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None
