"""Finds routes of a configuration that can't do what they seem to say."""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from savorylift.checks.findings import Finding, FindingKind, Location
from savorylift.platform.configuration import KIND_BY_NAME
from savorylift.platform.configuration_record import (
    ConfigurationRecord,
    RouteRecord,
)
from savorylift.routing.configuration import RouteKind

# Priorities range from 0, which is served first, to this.
MAX_PRIORITY = 9


class _Prefix(NamedTuple):
    """What the requests of a route match.

    Attributes:
        host: Host in lower case.
        path_prefix: Prefix of the path.
    """

    host: str
    path_prefix: str


class _Place(NamedTuple):
    """A route and where it stands.

    Attributes:
        route: The route.
        path: Its JSON path.
    """

    route: RouteRecord
    path: str

    def found(
        self, kind: FindingKind, message: str, member: str = ""
    ) -> Finding:
        """Returns a finding of the route, or of a member of it."""
        path = f"{self.path}.{member}" if member else self.path
        return Finding(
            kind, Location(path=path), f"route '{self.route.name}': {message}"
        )


def find_in_routes(record: ConfigurationRecord) -> Iterable[Finding]:
    """Yields the findings of all routes."""
    service_names = {service.name for service in record.services}
    first_by_name: dict[str, str] = {}
    first_by_prefix: dict[_Prefix, str] = {}
    for number, route in enumerate(record.routes):
        place = _Place(route, f"$.routes[{number}]")
        if route.kind not in KIND_BY_NAME:
            message = f"unknown kind '{route.kind}'"
            yield place.found(FindingKind.UNREADABLE, message, "kind")
            continue
        first = first_by_name.setdefault(route.name, place.path)
        if first != place.path:
            message = f"{first} has the same name"
            yield place.found(FindingKind.CONTRADICTION, message, "name")
        prefix = _Prefix(route.host.lower(), route.path_prefix)
        first = first_by_prefix.setdefault(prefix, place.path)
        if first != place.path:
            message = (
                f"{first} has the same host and pathPrefix, and goes first"
            )
            yield place.found(FindingKind.NEVER_MATCHES, message)
        yield from _find_unmatched(place)
        yield from _find_in_targets(place, service_names)
        yield from _find_time_contradictions(place)
        yield from _find_in_attempts(place)
        yield from _find_stream_members(place)
        if not 0 <= route.priority <= MAX_PRIORITY:
            message = (
                f"priority {route.priority} isn't from 0 to {MAX_PRIORITY}"
            )
            yield place.found(FindingKind.CONTRADICTION, message, "priority")


def _find_unmatched(place: _Place) -> Iterable[Finding]:
    """Yields what no request's host and path can match."""
    route = place.route
    kind = FindingKind.NEVER_MATCHES
    if not route.host:
        yield place.found(kind, "it names no host", "host")
    if ":" in route.host.rpartition("]")[2]:
        message = (
            f"'{route.host}' has a port, which requests' hosts are without"
        )
        yield place.found(kind, message, "host")
    if not route.path_prefix.startswith("/"):
        message = f"'{route.path_prefix}' doesn't begin with a slash"
        yield place.found(kind, message, "pathPrefix")
    elif not route.path_prefix.endswith("/"):
        message = (
            f"'{route.path_prefix}' doesn't end with a slash, so that it "
            "also matches longer names"
        )
        kind = FindingKind.CONTRADICTION
        yield place.found(kind, message, "pathPrefix")


def _find_in_targets(
    place: _Place, service_names: set[str]
) -> Iterable[Finding]:
    route = place.route
    split = route.traffic_split
    if not split and route.service is None:
        yield place.found(FindingKind.NEVER_MATCHES, "it names no service")
    if split and route.service is not None:
        message = "trafficSplit goes before service"
        yield place.found(FindingKind.NO_EFFECT, message, "service")
    names = [(target.service, "trafficSplit") for target in split]
    if not split and route.service is not None:
        names = [(route.service, "service")]
    for name, member in names:
        if name not in service_names:
            message = f"unknown service '{name}'"
            yield place.found(FindingKind.UNKNOWN_NAME, message, member)
    counts = collections.Counter(target.service for target in split)
    for name, count in counts.items():
        if count > 1:
            message = f"service '{name}' stands {count} times"
            yield place.found(
                FindingKind.CONTRADICTION, message, "trafficSplit"
            )
    yield from _find_in_weights(place)


def _find_in_weights(place: _Place) -> Iterable[Finding]:
    split = place.route.traffic_split
    for number, target in enumerate(split):
        member = f"trafficSplit[{number}].weight"
        if target.weight < 0:
            message = f"a weight of {target.weight:g}"
            yield place.found(FindingKind.CONTRADICTION, message, member)
        if target.weight == 0:
            message = f"service '{target.service}' gets no requests"
            yield place.found(FindingKind.NEVER_MATCHES, message, member)
    total = sum(target.weight for target in split)
    are_shares = bool(split) and all(0 < t.weight < 1 for t in split)
    if are_shares and not math.isclose(total, 1.0, abs_tol=1e-6):
        message = f"shares add up to {total:g}, and count in proportion"
        yield place.found(FindingKind.CONTRADICTION, message, "trafficSplit")


def _find_time_contradictions(place: _Place) -> Iterable[Finding]:
    route = place.route
    times = {
        "timeoutMs": route.timeout_ms,
        "targetLatencyMs": route.target_latency_ms,
        "gapAimMs": route.gap_aim_ms,
    }
    for member, value in times.items():
        if value is not None and value <= 0:
            message = f"{member} is {value:g}"
            yield place.found(FindingKind.CONTRADICTION, message, member)
    timeout_ms = route.timeout_ms
    if timeout_ms is None or timeout_ms <= 0:
        return
    for member in ("targetLatencyMs", "gapAimMs"):
        value = times[member]
        if value is not None and value > timeout_ms:
            message = (
                f"{member} {value:g} is longer than timeoutMs {timeout_ms:g}"
            )
            yield place.found(FindingKind.CONTRADICTION, message, member)


def _find_in_attempts(place: _Place) -> Iterable[Finding]:
    route = place.route
    is_stream = KIND_BY_NAME[route.kind] is RouteKind.STREAM
    may_repeat = (
        route.stream_resumption
        if is_stream
        else KIND_BY_NAME[route.kind] is RouteKind.IDEMPOTENT
    )
    if route.max_attempts < 1:
        message = f"maxAttempts {route.max_attempts} counts as 1"
        yield place.found(FindingKind.CONTRADICTION, message, "maxAttempts")
    elif route.max_attempts > 1 and not may_repeat:
        message = (
            f"maxAttempts {route.max_attempts} repeats nothing, as its "
            "requests may run at most once"
        )
        yield place.found(FindingKind.NO_EFFECT, message, "maxAttempts")
    if is_stream and route.stream_resumption and route.max_attempts == 1:
        message = "streamResumption asks for retries, maxAttempts 1 allows none"
        yield place.found(FindingKind.CONTRADICTION, message, "maxAttempts")


def _find_stream_members(place: _Place) -> Iterable[Finding]:
    """Yields members for streams that a route without streams has."""
    route = place.route
    if KIND_BY_NAME[route.kind] is RouteKind.STREAM:
        return
    is_set_by_member = {
        "streamResumption": route.stream_resumption,
        "gapAimMs": route.gap_aim_ms is not None,
    }
    for member, is_set in is_set_by_member.items():
        if is_set:
            message = f"{member} is for streaming routes"
            yield place.found(FindingKind.NO_EFFECT, message, member)
