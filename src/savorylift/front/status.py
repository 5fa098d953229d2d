"""Status of a node, as served to operators."""

from collections.abc import Iterable

import msgspec

from savorylift.json_input import decode_json

STATUS_PATH = "/status"


class Status(msgspec.Struct, frozen=True):
    """State of a node and what it knows of the fleet.

    Attributes:
        vm: Name of the VM.
        ip: Address of the VM.
        failure_domain: Failure domain of the VM.
        incarnation: Random number that identifies the process; new at each
            start.
        is_ready: Whether it accepts requests.
        is_leaving: Whether it is draining before it stops.
        configuration_version: Version of the configuration in use; None before
            the first.
        operators_version: Store offset up to which it knows the operators'
            records.
        reading_age_s: Time since it last read the store itself; None if it
            has not.
        open_requests: Requests in progress.
        out_of_service: Failure domains and servers that get no new work.
        backend_servers: Backend servers that are not draining.
        peers: Addresses of the nodes from which it receives messages.
        unreached_services: Services whose requests other nodes serve for it,
            as it reaches none of their servers.
        brittle_services: Services whose servers fall over if they reject much.
        held_servers: Servers that want nothing from it for a while.
        blocked_servers: Servers that get no request of it now, with why.
        rollouts: Where the roll-out of each service stands, as it knows.
    """

    vm: str
    ip: str
    failure_domain: str
    incarnation: int
    is_ready: bool
    is_leaving: bool
    configuration_version: int | None
    operators_version: int
    reading_age_s: float | None
    open_requests: int
    out_of_service: tuple[str, ...]
    backend_servers: tuple[str, ...]
    peers: tuple[str, ...]
    unreached_services: tuple[str, ...] = ()
    brittle_services: tuple[str, ...] = ()
    held_servers: tuple[str, ...] = ()
    blocked_servers: dict[str, str] = msgspec.field(default_factory=dict)
    rollouts: dict[str, str] = msgspec.field(default_factory=dict)


def encode_status(status: Status) -> bytes:
    """Returns the status as JSON."""
    return msgspec.json.encode(status)


def decode_status(data: bytes) -> Status | None:
    """Returns the status in `data`, or None if it can't be decoded."""
    return decode_json(data, Status).value_or(None)


def nodes_behind(offset: int, statuses: Iterable[Status]) -> list[str]:
    """Returns the VMs of nodes that don't know all records before `offset`."""
    return [
        status.vm for status in statuses if status.operators_version < offset
    ]
