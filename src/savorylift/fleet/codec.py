"""CBOR encoding of the messages between nodes."""

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from savorylift.fleet.state import Delta, NodeState, Snapshot

# Messages with another version are dropped.
LAYOUT_VERSION = 2

Message = NodeState | Delta | Snapshot
MESSAGE_TYPES: dict[str, type[Message]] = {
    "state": NodeState,
    "delta": Delta,
    "snapshot": Snapshot,
}


def encode(message: Message) -> bytes:
    """Encodes a message with its layout version and type."""
    kind = next(
        name for name, cls in MESSAGE_TYPES.items() if type(message) is cls
    )
    return cbor2.dumps([LAYOUT_VERSION, kind, msgspec.to_builtins(message)])


def decode(data: bytes) -> Result[Message, str]:
    """Decodes a message, or returns why the data is invalid."""
    try:
        layout, kind, fields = cbor2.loads(data)
        if layout != LAYOUT_VERSION:
            return Failure(f"unsupported message layout version {layout!r}")
        return Success(msgspec.convert(fields, type=MESSAGE_TYPES[kind]))
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
