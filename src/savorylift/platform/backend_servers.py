"""Decodes the entries that backend servers write to the store."""

import re

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.backends.server import ServerEntry
from savorylift.json_input import decode_json
from savorylift.wire.address import parse_address

IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Numbers of an entry must be smaller; no server counts so far.
MAX_NUMBER = 1 << 63
# Requests name the ID of their server in a header.
ID_PATTERN = re.compile(r"[!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?")


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    # `ready` or `draining`.
    state: str
    # Number of the entry, counted from the server's start.
    sequence: int
    cold_remaining_ms: float = 0.0
    # Version of the server's software, not of its weights.
    version: str = ""
    # Unix time of the server's start in milliseconds; 0 if unknown.
    born: int = 0


def decode_server(server_id: str, value: bytes) -> Result[ServerEntry, str]:
    """Decodes a server's entry; returns an error message if it is invalid."""
    if ID_PATTERN.fullmatch(server_id) is None:
        return Failure("the ID can't be in a header")
    decoded = decode_json(value, _Entry)
    if not is_successful(decoded):
        return Failure(decoded.failure())
    entry = decoded.unwrap()
    if not all(map(_is_sound, (entry.slots, entry.sequence, entry.born))):
        return Failure("a number is too large")
    if entry.state not in IS_DRAINING_BY_STATE:
        return Failure(f"unknown state {entry.state!r}")
    address = parse_address(entry.address)
    if address is None:
        return Failure(f"invalid address {entry.address!r}")
    if entry.slots < 1:
        return Failure(f"slots must be at least 1, got {entry.slots}")
    return Success(
        ServerEntry(
            server_id=server_id,
            service=entry.service,
            address=address,
            failure_domain=entry.zone,
            slots=entry.slots,
            is_leaving=IS_DRAINING_BY_STATE[entry.state],
            cold_s=max(entry.cold_remaining_ms, 0.0) / 1000,
            started_ms=entry.born,
            sequence=entry.sequence,
            software_version=entry.version,
        )
    )


def _is_sound(number: int) -> bool:
    return abs(number) < MAX_NUMBER
