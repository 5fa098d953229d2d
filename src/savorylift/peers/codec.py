"""Frames between nodes: CBOR arrays around the fields of a message."""

from typing import Any, NamedTuple, TypeVar

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from savorylift.identity import NodeRef
from savorylift.peers.link import Message

M = TypeVar("M", bound=Message)
NATIVE_TYPES = (bytes,)


class Envelope(NamedTuple):
    """One frame.

    Attributes:
        type_name: Class name of the message.
        request: Number that ties an answer to its question; None for a tell.
        is_answer: True for an answer.
        vm: Sender's VM.
        incarnation: Sender's incarnation.
        fields: The message's fields in order.
    """

    type_name: str
    request: int | None
    is_answer: bool
    vm: str
    incarnation: str
    fields: list[Any]

    @property
    def sender(self) -> NodeRef:
        """Returns the node that sent the frame."""
        return NodeRef(self.vm, self.incarnation)


def encode(
    sender: NodeRef,
    msg: Message,
    request: int | None = None,
    *,
    is_answer: bool = False,
) -> bytes:
    """Returns the frame of `msg`."""
    fields = msgspec.to_builtins(msg, builtin_types=NATIVE_TYPES)
    name = type(msg).__name__
    return cbor2.dumps([name, request, is_answer, *sender, fields])


def decode_envelope(frame: str | bytes) -> Result[Envelope, str]:
    """Reads a frame from an untrusted sender."""
    if isinstance(frame, str):
        return Failure("text frame")
    try:
        return Success(msgspec.convert(cbor2.loads(frame), Envelope))
    except Exception as exc:
        return Failure(repr(exc))


def decode_message(envelope: Envelope, msg_type: type[M]) -> Result[M, str]:
    """Reads the typed message out of an envelope."""
    try:
        msg = msgspec.convert(
            envelope.fields, msg_type, builtin_types=NATIVE_TYPES
        )
    except (msgspec.ValidationError, RecursionError) as exc:
        return Failure(repr(exc))
    return Success(msg)
