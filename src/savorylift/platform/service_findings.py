"""Finds services of a configuration that can't do what they seem to say."""

from collections.abc import Iterable

from savorylift.checks.findings import Finding, FindingKind, Location
from savorylift.platform.configuration_record import (
    ConfigurationRecord,
    EngineRecord,
    ServiceRecord,
)


def find_in_services(record: ConfigurationRecord) -> Iterable[Finding]:
    """Yields the findings of all services."""
    routed: set[str | None] = set()
    for route in record.routes:
        split = [target.service for target in route.traffic_split]
        routed.update(split or [route.service])
    last_by_name = {
        service.name: f"$.services[{number}]"
        for number, service in enumerate(record.services)
    }
    for number, service in enumerate(record.services):
        path = f"$.services[{number}]"
        last = last_by_name[service.name]
        if last != path:
            message = f"{last} has the same name, and counts"
            yield _found(service, FindingKind.NEVER_MATCHES, message, path)
        elif service.name not in routed:
            message = "no route leads to it"
            yield _found(service, FindingKind.NEVER_MATCHES, message, path)
        yield from _find_in_service(service, path)


def _find_in_service(service: ServiceRecord, path: str) -> Iterable[Finding]:
    kind = FindingKind.CONTRADICTION
    if service.cold_per_s is not None and service.cold_per_s < 0:
        message = f"coldPerS is {service.cold_per_s:g}"
        yield _found(service, kind, message, f"{path}.coldPerS")
    health_path = service.health_path
    if health_path is not None and not health_path.startswith("/"):
        message = f"healthPath '{health_path}' doesn't begin with a slash"
        yield _found(service, kind, message, f"{path}.healthPath")
    if service.engine is not None:
        yield from _find_in_engine(service, service.engine, f"{path}.engine")


def _find_in_engine(
    service: ServiceRecord, engine: EngineRecord, path: str
) -> Iterable[Finding]:
    kind = FindingKind.CONTRADICTION
    if engine.slots < 1:
        message = f"{engine.slots} slots run nothing"
        yield _found(service, kind, message, f"{path}.slots")
    elif engine.kv_capacity < engine.slots:
        message = (
            f"kvCapacity {engine.kv_capacity} is less than a token for each of "
            f"{engine.slots} slots"
        )
        yield _found(service, kind, message, f"{path}.kvCapacity")
    if engine.moves and engine.link_mbps <= 0:
        message = "generations are to move, but linkMbps is 0"
        yield _found(service, kind, message, f"{path}.moves")
    if engine.moves and engine.kv_token_bytes <= 0:
        message = "generations are to move, but kvTokenBytes is 0"
        yield _found(service, kind, message, f"{path}.moves")
    if engine.stride < 1:
        message = f"stride {engine.stride} counts as 1"
        yield _found(service, kind, message, f"{path}.stride")


def _found(
    service: ServiceRecord, kind: FindingKind, message: str, path: str
) -> Finding:
    text = f"service '{service.name}': {message}"
    return Finding(kind, Location(path=path), text)
