"""CBOR form of what nodes send each other."""

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from savorylift.fleet.state import Delta, NodeState, Snapshot

# Datagrams of another layout are dropped.
LAYOUT = 2

Message = NodeState | Delta | Snapshot
KINDS: dict[str, type[Message]] = {
    "state": NodeState,
    "delta": Delta,
    "snapshot": Snapshot,
}


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    kind = next(name for name, shape in KINDS.items() if type(message) is shape)
    return cbor2.dumps([LAYOUT, kind, msgspec.to_builtins(message)])


def decode(data: bytes) -> Result[Message, str]:
    """Returns the message in `data`, or what is wrong with it."""
    try:
        layout, kind, fields = cbor2.loads(data)
        if layout != LAYOUT:
            return Failure(f"layout {layout!r}")
        return Success(msgspec.convert(fields, type=KINDS[kind]))
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
