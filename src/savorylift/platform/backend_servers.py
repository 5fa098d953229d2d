"""Decodes the entries that backend servers write about themselves."""

import msgspec
from returns.result import Failure, Result, Success

from savorylift.backends.server import ServerEntry
from savorylift.wire.address import parse_address

STATES = {"ready": False, "draining": True}


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    # `ready` or `draining`.
    state: str
    # Counts the entries since the server's start.
    sequence: int
    cold_remaining_ms: float = 0.0
    # Unix milliseconds of the server's start.
    born: int = 0


def decode_server(server_id: str, value: bytes) -> Result[ServerEntry, str]:
    """Returns the entry in a record, or what is wrong with it."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(str(exc))
    if entry.state not in STATES:
        return Failure(f"unknown state {entry.state!r}")
    address = parse_address(entry.address)
    if address is None:
        return Failure(f"bad address {entry.address!r}")
    if entry.slots < 1:
        return Failure(f"bad number of slots {entry.slots}")
    return Success(
        ServerEntry(
            server_id=server_id,
            service=entry.service,
            address=address,
            failure_domain=entry.zone,
            slots=entry.slots,
            is_leaving=STATES[entry.state],
            cold_s=max(entry.cold_remaining_ms, 0.0) / 1000,
            started_ms=entry.born,
            sequence=entry.sequence,
        )
    )
