"""Finds entries of the operators' configuration that can't do what they say."""

import difflib
import json
import re
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec
from returns.pipeline import is_successful

from savorylift.checks.findings import Finding, FindingKind, Location
from savorylift.json_input import decode_json
from savorylift.platform.configuration_record import (
    ConfigurationRecord,
    EngineRecord,
    LimitsRecord,
    RouteRecord,
    ServiceRecord,
    TargetRecord,
    TenantRecord,
)
from savorylift.platform.route_findings import find_in_routes
from savorylift.platform.service_findings import find_in_services
from savorylift.platform.team_findings import find_in_teams

# `msgspec` ends its messages with the path of the value.
PATH_IN_MESSAGE = re.compile(r" - at `(.*)`$")
# A key that no build reads is reported if it is this similar to one that is
# read: others are for other programs.
TYPO_SIMILARITY = 0.85


class _Part(NamedTuple):
    """A part of the JSON, and what it is decoded to.

    Attributes:
        path: Its JSON path.
        value: The part; None if it is missing.
        struct: Type that it is decoded to.
    """

    path: str
    value: object
    struct: type[msgspec.Struct]


class CheckedRecord(NamedTuple):
    """A record that was checked.

    Attributes:
        record: The record; None if it can't be read.
        findings: What was found in it.
    """

    record: ConfigurationRecord | None
    findings: tuple[Finding, ...]


def check_record(value: bytes) -> CheckedRecord:
    """Checks a configuration as operators write it to the store."""
    decoded = decode_json(value, ConfigurationRecord)
    if not is_successful(decoded):
        return CheckedRecord(None, (_unreadable(decoded.failure()),))
    record = decoded.unwrap()
    findings = (
        *_find_in_members(value),
        *find_in_routes(record),
        *find_in_services(record),
        *find_in_teams(record),
        *_find_in_limits(record.limits),
    )
    return CheckedRecord(record, findings)


def _unreadable(message: str) -> Finding:
    path = PATH_IN_MESSAGE.search(message)
    location = Location(path=path[1] if path else "$")
    text = PATH_IN_MESSAGE.sub("", message)
    return Finding(FindingKind.UNREADABLE, location, text)


def _find_in_limits(limits: LimitsRecord) -> Iterable[Finding]:
    for key, value in msgspec.to_builtins(limits).items():
        if value <= 0:
            yield Finding(
                FindingKind.CONTRADICTION,
                Location(path=f"$.limits.{key}"),
                # Whole numbers may be too large for a float.
                f"{value if isinstance(value, int) else f'{value:g}'} "
                "lets no request through",
            )


def _find_in_members(value: bytes) -> Iterable[Finding]:
    """Yields the findings in the names of members, also unknown ones.

    Nodes pass over members that they don't know, whatever is in these.
    """
    try:
        # Python converts no integers with very many digits.
        data = json.loads(value, parse_int=str)
    except (ValueError, RecursionError) as exc:
        message = f"a member that nodes don't read is malformed: {exc}"
        yield Finding(FindingKind.UNREADABLE, Location(path="$"), message)
        return
    yield from _find_misspelt_keys(data)


def _find_misspelt_keys(data: Mapping[str, Any]) -> Iterable[Finding]:
    """Yields keys that aren't read, but look like one that is."""
    for path, value, struct in _list_parts(data):
        if isinstance(value, dict):
            yield from _find_similar_keys(path, value, struct)


def _list_parts(data: Mapping[str, Any]) -> Iterable[_Part]:
    yield _Part("$", data, ConfigurationRecord)
    yield _Part("$.limits", data.get("limits"), LimitsRecord)
    for number, route in enumerate(data["routes"]):
        path = f"$.routes[{number}]"
        yield _Part(path, route, RouteRecord)
        for index, target in enumerate(route.get("trafficSplit", [])):
            target_path = f"{path}.trafficSplit[{index}]"
            yield _Part(target_path, target, TargetRecord)
    for number, service in enumerate(data["services"]):
        path = f"$.services[{number}]"
        yield _Part(path, service, ServiceRecord)
        yield _Part(f"{path}.engine", service.get("engine"), EngineRecord)
    for number, tenant in enumerate(data.get("tenants") or []):
        yield _Part(f"$.tenants[{number}]", tenant, TenantRecord)


def _find_similar_keys(
    path: str, value: Mapping[str, object], struct: type[msgspec.Struct]
) -> Iterable[Finding]:
    known = [field.encode_name for field in msgspec.structs.fields(struct)]
    missing = [name for name in known if name not in value]
    for key in value:
        if key in known:
            continue
        similar = difflib.get_close_matches(
            key, missing, n=1, cutoff=TYPO_SIMILARITY
        )
        if similar:
            yield Finding(
                FindingKind.NO_EFFECT,
                Location(path=f"{path}.{key}"),
                f"'{key}' isn't read; perhaps '{similar[0]}' is meant",
            )
