"""CBOR form of what nodes send each other."""

from typing import TypeVar

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from savorylift.fleet.state import NodeState, Snapshot

# Datagrams of another layout are dropped.
LAYOUT = 1

Message = TypeVar("Message", NodeState, Snapshot)


def encode(message: NodeState | Snapshot) -> bytes:
    """Returns the bytes of a message."""
    return cbor2.dumps([LAYOUT, msgspec.to_builtins(message)])


def decode(data: bytes, shape: type[Message]) -> Result[Message, str]:
    """Returns the message in `data`, or what is wrong with it."""
    try:
        layout, fields = cbor2.loads(data)
        if layout != LAYOUT:
            return Failure(f"layout {layout!r}")
        return Success(msgspec.convert(fields, type=shape))
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        TypeError,
        ValueError,
    ) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
