"""Admission control: finds the route, team and service of a request."""

import zlib
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.exchange.request import CallerRequest
from savorylift.exchange.results import Refused
from savorylift.outcomes import Reason
from savorylift.routing.configuration import (
    Configuration,
    Route,
    Service,
    Team,
    find_route,
)

# A node that has waited for its configuration without success may need this
# much longer to receive it.
STARTING_RETRY_AFTER_S = 1.0
NOT_CONFIGURED = Refused(
    503,
    Reason.NODE_STARTING,
    "This node knows no configuration yet.",
    STARTING_RETRY_AFTER_S,
)
# Priorities range from 0, which is served first, to 9.
MAX_PRIORITY = 9
# Resolution of weighted traffic splits.
HASH_BUCKETS = 10_000


class AdmittedRequest(NamedTuple):
    """A request that the configuration allows.

    Attributes:
        req: The decoded request.
        route: Route that matches the request.
        service: Service that the request is sent to.
        team: Team of the caller; None if no API key is required.
        priority: Scheduling priority; 0 is served first.
        deadline_s: Monotonic time after which a response is of no use to the
            caller.
        software_version: Version of the servers that may run the request,
            since the stream began at it; None for any.
    """

    req: CallerRequest
    route: Route
    service: Service
    team: Team | None
    priority: int
    deadline_s: float
    software_version: str | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        if self.req.method in self.route.repeatable_methods:
            return True
        return self.route.is_idempotent

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions whose servers may run the request; None for any.

        If both the route and the team are restricted, only regions that both
        allow remain.
        """
        restrictions = [self.route.regions]
        if self.team is not None:
            restrictions.append(self.team.regions)
        active_restrictions = [regions for regions in restrictions if regions]
        if not active_restrictions:
            return None
        return frozenset.intersection(*active_restrictions)


def admit(
    req: CallerRequest, cfg: Configuration | None, default_timeout_s: float
) -> Result[AdmittedRequest, Refused]:
    """Admits a request, or returns the refusal to send to the caller.

    Args:
        req: The decoded request.
        cfg: The current configuration; None if the node has none yet.
        default_timeout_s: Upper bound on the timeout of every request.
    """
    if cfg is None:
        return Failure(NOT_CONFIGURED)
    route = find_route(cfg, req.host, req.path)
    if route is None:
        return Failure(Refused(404, req.no_route_reason, "No route matches."))
    needs_team = cfg.teams_by_key is not None and not route.is_public
    team = _find_team(cfg, req) if needs_team else None
    if needs_team and team is None:
        message = "The API key is missing or unknown."
        return Failure(Refused(401, Reason.UNKNOWN_TEAM, message))
    service_name = _pick_target(route, req.resumes or req.attempt_id) or ""
    if team is not None and not _may_use(team, service_name):
        message = f"Team {team.name} may not use {route.name}."
        return Failure(
            refusal_for_team(team, 403, Reason.MODEL_NOT_ALLOWED, message)
        )
    service = cfg.services.get(service_name)
    if service is None:
        message = "The route's service is not defined."
        return Failure(Refused(503, Reason.UNKNOWN_SERVICE, message, 1.0))
    timeouts_s = (default_timeout_s, route.timeout_s, req.time_left_s)
    return Success(
        AdmittedRequest(
            req,
            route,
            service,
            team,
            _choose_priority(req, team, route),
            req.arrived_s + min(t for t in timeouts_s if t is not None),
        )
    )


def _find_team(cfg: Configuration, req: CallerRequest) -> Team | None:
    """Returns the team whose key a request has."""
    return (cfg.teams_by_key or {}).get(req.api_key or "")


def _choose_priority(
    req: CallerRequest, team: Team | None, route: Route
) -> int:
    """Returns the caller's priority, else that of the team or the route."""
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    if req.priority is not None:
        priority = req.priority
    return min(max(priority, 0), MAX_PRIORITY)


def refusal_for_team(
    team: Team,
    status: int,
    reason: Reason,
    message: str,
    retry_after_s: float | None = None,
) -> Refused:
    """Returns a refusal that names the operator rule behind a team's limits.

    No rule is named if none set the team's limits.
    """
    source = team.source
    if source is None:
        return Refused(status, reason, message, retry_after_s)
    return Refused(
        status, reason, message, retry_after_s, source.rule, source.asked_by
    )


def _may_use(team: Team, service: str) -> bool:
    return team.services is None or service in team.services


def _pick_target(route: Route, attempt_id: str) -> str | None:
    """Chooses a service by weight, from a hash of the attempt ID.

    The same attempt always gets the same service. Returns None if no target
    has a positive weight.
    """
    total = sum(target.weight for target in route.targets)
    if total <= 0:
        return None
    position = (
        zlib.crc32(attempt_id.encode()) % HASH_BUCKETS / HASH_BUCKETS * total
    )
    for target in route.targets:
        if position < target.weight:
            return target.service
        position -= target.weight
    return route.targets[-1].service
