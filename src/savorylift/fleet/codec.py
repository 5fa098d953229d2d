"""Encoding of the messages between nodes: CBOR, compressed if large."""

import enum
import zlib

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from savorylift.fleet.known_fields import keep_known_fields
from savorylift.fleet.limit_messages import (
    LimitMessage,
    LimitNews,
    PermitReply,
    PermitRequest,
)
from savorylift.fleet.move_messages import (
    MoveEnd,
    MoveMessage,
    MoveReply,
    MoveRequest,
)
from savorylift.fleet.origin_messages import (
    OriginAck,
    OriginMessage,
    OriginNews,
    OriginQuery,
    OriginReply,
)
from savorylift.fleet.pulse_messages import (
    Pulse,
    PulseMessage,
    SilenceNews,
    StatePatch,
    StateQuery,
)
from savorylift.fleet.rollout_messages import (
    AnswerReport,
    RolloutMessage,
    StageNews,
)
from savorylift.fleet.room_messages import (
    RoomEnds,
    RoomMessage,
    RoomReply,
    RoomRequest,
)
from savorylift.fleet.state import NodeState
from savorylift.fleet.store_records import Delta, Snapshot

# First byte of a message. Messages with another version are dropped.
LAYOUT_VERSION = 3
# The layout version and the packing come before the fields.
HEADER_BYTES = 2
MAX_MESSAGE_BYTES = 33_554_432
# Compression of the short periodic messages costs more time than it saves.
MIN_COMPRESSED_BYTES = 1024
# Smaller than the defaults, whose working memory is 256 KB.
WINDOW_BITS = 13
COMPRESSION_MEMORY_LEVEL = 6


class Packing(enum.IntEnum):
    """Second byte of a message: how its fields are packed."""

    PLAIN = 0
    DEFLATE = 1


Message = (
    NodeState
    | Delta
    | Snapshot
    | LimitMessage
    | OriginMessage
    | RolloutMessage
    | RoomMessage
    | MoveMessage
    | PulseMessage
)
MESSAGE_TYPES: dict[str, type[Message]] = {
    "state": NodeState,
    "delta": Delta,
    "snapshot": Snapshot,
    "limits": LimitNews,
    "permit_request": PermitRequest,
    "permit_reply": PermitReply,
    "origins": OriginNews,
    "origin_ack": OriginAck,
    "origin_query": OriginQuery,
    "origin_reply": OriginReply,
    "stages": StageNews,
    "answers": AnswerReport,
    "room_request": RoomRequest,
    "room_reply": RoomReply,
    "room_ends": RoomEnds,
    "move_request": MoveRequest,
    "move_reply": MoveReply,
    "move_end": MoveEnd,
    "patch": StatePatch,
    "state_query": StateQuery,
    "pulse": Pulse,
    "silence": SilenceNews,
}


def encode(message: Message) -> bytes:
    """Encodes a message with its layout version and type."""
    kind = next(
        name for name, cls in MESSAGE_TYPES.items() if type(message) is cls
    )
    fields = cbor2.dumps([kind, msgspec.to_builtins(message)])
    if len(fields) < MIN_COMPRESSED_BYTES:
        return bytes([LAYOUT_VERSION, Packing.PLAIN]) + fields
    deflate = zlib.compressobj(
        wbits=-WINDOW_BITS, memLevel=COMPRESSION_MEMORY_LEVEL
    )
    packed = deflate.compress(fields) + deflate.flush()
    return bytes([LAYOUT_VERSION, Packing.DEFLATE]) + packed


def decode(data: bytes) -> Result[Message, str]:
    """Decodes a message, or returns why the data is invalid."""
    if len(data) < HEADER_BYTES or data[0] != LAYOUT_VERSION:
        return Failure(f"unsupported message layout {data[:1].hex()!r}")
    fields = data[HEADER_BYTES:]
    try:
        if data[1] == Packing.DEFLATE:
            inflate = zlib.decompressobj(-zlib.MAX_WBITS)
            fields = inflate.decompress(fields, MAX_MESSAGE_BYTES)
        kind, values, *_ = cbor2.loads(fields)
        return Success(_convert(values, MESSAGE_TYPES[kind]))
    except (
        zlib.error,
        cbor2.CBORError,
        msgspec.ValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")


def _convert(values: object, cls: type[Message]) -> Message:
    try:
        return msgspec.convert(values, type=cls)
    except msgspec.ValidationError:
        # Trying this first would cost time with each message.
        known = keep_known_fields(values, cls)
        return msgspec.convert(known, type=cls)
