"""Finds teams of a configuration that can't do what they seem to say.

Keys are secrets: findings show where they stand, not what they are.
"""

import collections
from collections.abc import Iterable

from savorylift.checks.findings import Finding, FindingKind, Location
from savorylift.platform.configuration_record import (
    ConfigurationRecord,
    RouteRecord,
    TenantRecord,
)
from savorylift.platform.route_findings import MAX_PRIORITY


def find_in_teams(record: ConfigurationRecord) -> Iterable[Finding]:
    """Yields the findings of all teams, and of routes that none may use."""
    if record.tenants is None:
        return
    teams = record.tenants
    yield from _find_shadowed_keys(teams)
    counts = collections.Counter(team.name for team in teams)
    routes = [route for route in record.routes if not route.public]
    for number, team in enumerate(teams):
        path = f"$.tenants[{number}]"
        if counts[team.name] > 1:
            message = f"the name stands {counts[team.name]} times"
            yield _found(team, FindingKind.CONTRADICTION, message, path)
        yield from _find_in_team(team, path)
        if routes and not any(_may_use(team, route) for route in routes):
            message = "no route's allowedRegions have one of its own"
            yield _found(
                team,
                FindingKind.CONTRADICTION,
                message,
                f"{path}.allowedRegions",
            )
    for number, route in enumerate(record.routes):
        if route.public or any(_may_use(team, route) for team in teams):
            continue
        message = f"route '{route.name}': no team may use it"
        location = Location(path=f"$.routes[{number}]")
        yield Finding(FindingKind.NEVER_MATCHES, location, message)


def _find_in_team(team: TenantRecord, path: str) -> Iterable[Finding]:
    if not team.api_keys:
        message = "it has no key"
        yield _found(team, FindingKind.NEVER_MATCHES, message, path)
    priority = team.priority
    if priority is not None and not 0 <= priority <= MAX_PRIORITY:
        message = f"priority {priority} isn't from 0 to {MAX_PRIORITY}"
        yield _found(
            team, FindingKind.CONTRADICTION, message, f"{path}.priority"
        )


def _find_shadowed_keys(teams: list[TenantRecord]) -> Iterable[Finding]:
    """Yields keys that never count: empty ones, and those given again below."""
    last_by_key = {
        key: f"$.tenants[{number}].apiKeys[{index}]"
        for number, team in enumerate(teams)
        for index, key in enumerate(team.api_keys)
    }
    for number, team in enumerate(teams):
        for index, key in enumerate(team.api_keys):
            path = f"$.tenants[{number}].apiKeys[{index}]"
            if not key:
                message = "a key is empty"
                yield _found(team, FindingKind.NEVER_MATCHES, message, path)
            elif last_by_key[key] != path:
                message = f"the same key at {last_by_key[key]} counts"
                yield _found(team, FindingKind.NEVER_MATCHES, message, path)


def _may_use(team: TenantRecord, route: RouteRecord) -> bool:
    """Whether there is a region in which requests of a team may run."""
    if not team.allowed_regions or not route.allowed_regions:
        return True
    return not set(team.allowed_regions).isdisjoint(route.allowed_regions)


def _found(
    team: TenantRecord, kind: FindingKind, message: str, path: str
) -> Finding:
    return Finding(kind, Location(path=path), f"team '{team.name}': {message}")
