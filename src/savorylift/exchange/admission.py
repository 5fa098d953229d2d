"""Decides from the configuration what a request is and who sends it."""

import zlib
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.exchange.ending import Refused
from savorylift.exchange.request import CallerRequest
from savorylift.outcomes import Reason
from savorylift.routing.configuration import (
    Configuration,
    Route,
    Service,
    Team,
    find_route,
)

# A node that has waited for its configuration in vain may need this long.
STARTING_RETRY_S = 1.0
MOST_PRIORITY = 9
SPREAD = 10_000


class Admitted(NamedTuple):
    """A request that the configuration allows.

    Attributes:
        req: The request.
        route: Its route.
        service: The service that runs it.
        team: The caller's team, if its key was asked for.
        priority: Rank, 0 first.
        deadline_s: Steady time after which no answer is of use.
    """

    req: CallerRequest
    route: Route
    service: Service
    team: Team | None
    priority: int
    deadline_s: float

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        if self.req.method in self.route.repeatable_methods:
            return True
        return self.route.is_idempotent

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions whose servers may run it; None for any."""
        bounds = [self.route.regions]
        if self.team is not None:
            bounds.append(self.team.regions)
        set_bounds = [regions for regions in bounds if regions]
        if not set_bounds:
            return None
        return frozenset.intersection(*set_bounds)


def admit(
    req: CallerRequest, cfg: Configuration | None, default_timeout_s: float
) -> Result[Admitted, Refused]:
    """Returns the request with its route and team, or a refusal."""
    if cfg is None:
        return Failure(
            Refused(
                503,
                Reason.NODE_STARTING,
                "This node knows no configuration yet.",
                STARTING_RETRY_S,
            )
        )
    route = find_route(cfg, req.host, req.path)
    if route is None:
        return Failure(Refused(404, req.if_no_route, "No route matches."))
    team = None
    if cfg.teams_by_key is not None and not route.is_public:
        team = cfg.teams_by_key.get(req.api_key or "")
        if team is None:
            message = "The API key is missing or unknown."
            return Failure(Refused(401, Reason.UNKNOWN_TEAM, message))
    name = _pick_target(route, req.attempt_id) or ""
    if team is not None and not _may_use(team, name):
        message = f"Team {team.name} may not use {route.name}."
        return Failure(
            refused_by_rule(team, 403, Reason.MODEL_NOT_ALLOWED, message)
        )
    service = cfg.services.get(name)
    if service is None:
        message = "The route's service is not defined."
        return Failure(Refused(503, Reason.UNKNOWN_SERVICE, message, 1.0))
    rank = route.priority
    if team is not None and team.priority is not None:
        rank = team.priority
    if req.priority is not None:
        rank = req.priority
    limits = [default_timeout_s]
    limits += [] if route.timeout_s is None else [route.timeout_s]
    limits += [] if req.time_left_s is None else [req.time_left_s]
    return Success(
        Admitted(
            req,
            route,
            service,
            team,
            min(max(rank, 0), MOST_PRIORITY),
            req.arrived_s + min(limits),
        )
    )


def refused_by_rule(
    team: Team,
    status: int,
    reason: Reason,
    message: str,
    retry_after_s: float | None = None,
) -> Refused:
    """Returns a refusal that names the rule of a team."""
    source = team.source
    if source is None:
        return Refused(status, reason, message, retry_after_s)
    return Refused(
        status, reason, message, retry_after_s, source.rule, source.asked_by
    )


def _may_use(team: Team, service: str) -> bool:
    return team.services is None or service in team.services


def _pick_target(route: Route, attempt_id: str) -> str | None:
    """Returns the service of the attempt's share of the split."""
    total = sum(target.weight for target in route.targets)
    if total <= 0:
        return None
    drawn = zlib.crc32(attempt_id.encode()) % SPREAD / SPREAD * total
    for target in route.targets:
        if drawn < target.weight:
            return target.service
        drawn -= target.weight
    return route.targets[-1].service
