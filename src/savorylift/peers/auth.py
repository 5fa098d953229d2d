"""Proof, by a shared secret, that both ends of a connection are peers."""

import hashlib
import hmac
import secrets
import time
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.identity import NodeRef

FROM_HEADER = "X-Savorylift-From"
TO_HEADER = "X-Savorylift-To"
STAMP_HEADER = "X-Savorylift-Stamp"
PROOF_HEADER = "X-Savorylift-Proof"
MAX_CLOCK_SKEW_S = 120


class PeerKeys(NamedTuple):
    """Shared secrets of the nodes.

    Attributes:
        keys: The first signs; all are accepted. Two during a rotation. Empty
            when mutual TLS alone authenticates peers.
    """

    keys: tuple[bytes, ...] = ()


class Handshake(NamedTuple):
    """Who opens a connection and whom it is for.

    Attributes:
        sender: Node that opens the connection.
        target: Node it wants; an empty incarnation stands for any.
        stamp: Wall-clock milliseconds and a random value.
    """

    sender: NodeRef
    target: NodeRef
    stamp: str


def new_handshake(sender: NodeRef, target: NodeRef) -> Handshake:
    """Returns a handshake with a fresh stamp."""
    stamp = f"{time.time_ns() // 1_000_000}-{secrets.token_hex(8)}"
    return Handshake(sender, target, stamp)


def request_headers(handshake: Handshake, keys: PeerKeys) -> dict[str, str]:
    """Returns the headers of a connection request."""
    headers = {
        FROM_HEADER: _to_text(handshake.sender),
        TO_HEADER: _to_text(handshake.target),
        STAMP_HEADER: handshake.stamp,
    }
    if keys.keys:
        headers[PROOF_HEADER] = _sign(keys.keys[0], "open", handshake)
    return headers


def read_handshake(headers: Mapping[str, str]) -> Handshake | None:
    """Returns what a connection request says, or None if it is malformed."""
    sender = _from_text(headers.get(FROM_HEADER, ""))
    target = _from_text(headers.get(TO_HEADER, ""))
    if sender is None or target is None:
        return None
    return Handshake(sender, target, headers.get(STAMP_HEADER, ""))


def is_authentic_request(
    handshake: Handshake, headers: Mapping[str, str], keys: PeerKeys
) -> bool:
    """Returns True if the opener holds one of `keys`."""
    if not keys.keys:
        return True
    if not _is_recent(handshake.stamp):
        return False
    return _has_proof("open", handshake, headers, keys)


def accept_proof(
    handshake: Handshake, headers: Mapping[str, str], keys: PeerKeys
) -> str:
    """Returns the acceptor's proof, by the key that the opener used."""
    given = headers.get(PROOF_HEADER, "")
    for key in keys.keys:
        if hmac.compare_digest(_sign(key, "open", handshake), given):
            return _sign(key, "accept", handshake)
    return ""


def is_authentic_accept(
    handshake: Handshake, headers: Mapping[str, str], keys: PeerKeys
) -> bool:
    """Returns True if the acceptor holds one of `keys`."""
    if not keys.keys:
        return True
    return _has_proof("accept", handshake, headers, keys)


def _has_proof(
    role: str, handshake: Handshake, headers: Mapping[str, str], keys: PeerKeys
) -> bool:
    given = headers.get(PROOF_HEADER, "")
    return any(
        hmac.compare_digest(_sign(key, role, handshake), given)
        for key in keys.keys
    )


def _sign(key: bytes, role: str, handshake: Handshake) -> str:
    parts = (role, *handshake.sender, *handshake.target, handshake.stamp)
    data = "\0".join(parts).encode()
    return hmac.new(key, data, hashlib.sha256).hexdigest()


def _is_recent(stamp: str) -> bool:
    millis, _, _ = stamp.partition("-")
    if not (millis.isascii() and millis.isdecimal()):
        return False
    return abs(time.time() - int(millis) / 1000) <= MAX_CLOCK_SKEW_S


def _to_text(ref: NodeRef) -> str:
    return f"{ref.vm} {ref.incarnation}".strip()


def _from_text(text: str) -> NodeRef | None:
    vm, _, incarnation = text.partition(" ")
    return NodeRef(vm, incarnation) if vm else None
