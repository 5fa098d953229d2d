"""Routes, services, teams and limits of one configuration version."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.wire.server_connection import InputLimits


class Kind(enum.Enum):
    """What a route carries, and what may be repeated on it."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service to which a route sends a share of its requests.

    Attributes:
        service: Name of the service.
        weight: Share, relative to the other targets of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        kind: What the route carries.
        targets: Services with their shares.
        timeout_s: Longest time that a request is kept; None without one.
        objective_s: Time within which an answer, or its first event, counts
            in full; None without one.
        max_servers: Most backend servers that may run one request.
        priority: Rank, 0 first.
        is_public: Whether no key is needed.
        can_resume: Whether a stream may go on at another server.
        gap_objective_s: Longest pause between events that is on time.
        regions: Regions that the request must stay in; empty for any.
        repeatable_methods: Methods whose requests may run more than once,
            whatever the kind.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout_s: float | None
    objective_s: float | None
    max_servers: int
    priority: int
    is_public: bool
    can_resume: bool
    gap_objective_s: float | None
    regions: frozenset[str] = frozenset()
    repeatable_methods: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether one request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.can_resume
        return self.kind is Kind.IDEMPOTENT


class EngineTraits(NamedTuple):
    """What the model engines of a service can do.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: Tokens that fit into memory.
        token_bytes: Size of one token's memory.
        link_bytes_per_s: Rate at which memory is copied to another engine.
        can_move: Whether runs can be moved to another engine.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_bytes_per_s: float
    can_move: bool
    tokens_per_event: int


class Service(NamedTuple):
    """A group of backend servers that answer alike.

    Attributes:
        name: Name of the service.
        cold_requests_per_s: Requests a second that a server bears while it
            is cold; None without a limit.
        engine: Traits of its model engines; None for a plain service.
        model_version: Version of the model that must answer, if one must.
    """

    name: str
    cold_requests_per_s: float | None
    engine: EngineTraits | None
    model_version: str | None = None


class Source(NamedTuple):
    """A rule, and who asked for it.

    Attributes:
        rule: Its text.
        asked_by: Who asked for it.
    """

    rule: str
    asked_by: str


class Team(NamedTuple):
    """A team, its rank and its limits.

    Attributes:
        name: Name of the team.
        priority: Rank that goes before the route's; None without one.
        regions: Regions that its requests must stay in; empty for any.
        services: Services that it may use; None for all.
        most_open: Requests that it may have open on one node; None for any
            number.
        weight: Share of contended room, relative to other teams.
        source: The rule that names it, if one does.
    """

    name: str
    priority: int | None
    regions: frozenset[str] = frozenset()
    services: frozenset[str] | None = None
    most_open: int | None = None
    weight: int = 1
    source: Source | None = None


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Increasing number, with gaps.
        routes: Routes of each host, longest prefix first.
        services: Services by name.
        teams_by_key: Teams by API key; None where no key is asked for.
        limits: What callers may send.
        servers: Backend servers that the configuration itself names.
        unread_lines: Lines of a rules file that this release can't read.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    teams_by_key: Mapping[str, Team] | None
    limits: InputLimits
    servers: tuple[ServerEntry, ...] = ()
    unread_lines: tuple[int, ...] = ()


def home_regions(cfg: Configuration, host: str) -> frozenset[str]:
    """Returns the regions that some route of a host is bound to."""
    homes = [route.regions for route in cfg.routes.get(host.lower(), ())]
    return frozenset().union(*homes)


def find_route(cfg: Configuration, host: str, path: str) -> Route | None:
    """Returns the route with the longest prefix of `path` on `host`."""
    for route in cfg.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None
