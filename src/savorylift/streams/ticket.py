"""Signed tickets that let any node resume a generation."""

import base64
import binascii
import hashlib
import hmac
import time
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.settings import Key

TICKET_LIFE_S = 3600.0  # engines forget finished generations sooner
MAX_TICKET_CHARS = 4096


class Ticket(NamedTuple):
    """What a node needs to go on with another node's generation.

    Attributes:
        answer_id: Identifier of the answer, for the caller.
        generation_id: Identifier of the generation at the engine.
        backend_server: Engine that runs it.
        backend_address: `ip:port` of that engine at the time.
        model: Model name.
        version: Model version.
        seed: Seed of the generation.
        team: Team that may use the ticket.
        permit_id: Permit under which the generation runs.
        keeper_vm: VM of the node that granted the permit.
        keeper_incarnation: Incarnation of that node.
        is_cold: True if the permit was for a cold engine.
        expires_ms: Wall-clock time after which the ticket is refused.
    """

    answer_id: str
    generation_id: str
    backend_server: str
    backend_address: str
    model: str
    version: str
    seed: int
    team: str
    permit_id: str
    keeper_vm: str
    keeper_incarnation: str
    is_cold: bool
    expires_ms: int


def expiry_ms() -> int:
    """Returns the expiry of a ticket issued now."""
    return int((time.time() + TICKET_LIFE_S) * 1000)


def sign_ticket(ticket: Ticket, keys: tuple[Key, ...]) -> str:
    """Returns `key id.payload.signature`, signed with the first key."""
    payload = _encode(msgspec.json.encode(ticket))
    signed = f"{keys[0].key_id}.{payload}"
    return f"{signed}.{_signature(signed, keys[0])}"


def open_ticket(
    text: str, keys: tuple[Key, ...], team: str
) -> Result[Ticket, Refusal]:
    """Checks a ticket's signature, team and expiry."""
    ticket = _verified(text, keys)
    if ticket is None:
        return Failure(not_run(Reason.BAD_TICKET, "the ticket is not valid"))
    if ticket.team != team:
        message = "the ticket belongs to another team"
        return Failure(not_run(Reason.BAD_TICKET, message))
    if ticket.expires_ms < time.time() * 1000:
        message = "the ticket has expired"
        return Failure(not_run(Reason.TICKET_EXPIRED, message))
    return Success(ticket)


def _verified(text: str, keys: tuple[Key, ...]) -> Ticket | None:
    signed, _, signature = text.rpartition(".")
    key_id, _, payload = signed.partition(".")
    if len(text) > MAX_TICKET_CHARS or not text.isascii():
        return None
    for key in keys:
        if key.key_id != key_id:
            continue
        if not hmac.compare_digest(signature, _signature(signed, key)):
            return None
        return _decoded(payload)
    return None


def _decoded(payload: str) -> Ticket | None:
    try:
        data = base64.urlsafe_b64decode(payload + "=" * (-len(payload) % 4))
        return msgspec.json.decode(data, type=Ticket)
    except (binascii.Error, msgspec.MsgspecError):
        return None


def _signature(signed: str, key: Key) -> str:
    digest = hmac.digest(key.secret.encode(), signed.encode(), hashlib.sha256)
    return _encode(digest)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")
