"""What a node tells operators of itself."""

from collections.abc import Iterable

import msgspec

STATUS_PATH = "/status"


class Status(msgspec.Struct, frozen=True):
    """One node's own view.

    Attributes:
        vm: Name of the VM.
        ip: Address of the VM.
        failure_domain: Where it runs.
        incarnation: Differs at each start.
        is_ready: Whether it takes requests.
        is_leaving: Whether it is being stopped.
        configuration_version: Version in force; None before the first.
        operators_version: Offset of the operators' records that it knows.
        reading_age_s: Age of its own reading of the store, if it has one.
        open_requests: Requests under way.
        out_of_service: Failure domains and servers that get nothing new.
        backend_servers: Backend servers that may be used.
        peers: Addresses of the nodes that it hears.
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


def encode_status(status: Status) -> bytes:
    """Returns the JSON form."""
    return msgspec.json.encode(status)


def decode_status(data: bytes) -> Status | None:
    """Returns a status, or None if `data` is something else."""
    try:
        return msgspec.json.decode(data, type=Status)
    except msgspec.DecodeError:
        return None


def missing(offset: int, statuses: Iterable[Status]) -> list[str]:
    """Returns the VMs whose nodes don't know the records before `offset`."""
    return [
        status.vm for status in statuses if status.operators_version < offset
    ]
