"""Encoding of the records that nodes keep in the store: CBOR."""

from typing import TypeVar

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from savorylift.fleet.known_fields import keep_known_fields

T = TypeVar("T")


def encode_record(record: object) -> bytes:
    """Encodes a record, or a tuple of them."""
    return cbor2.dumps(msgspec.to_builtins(record))


def decode_record(data: bytes, cls: type[T]) -> Result[T, str]:
    """Decodes a record, of a later build too; returns why it is invalid."""
    try:
        values = keep_known_fields(cbor2.loads(data), cls)
        return Success(msgspec.convert(values, type=cls))
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        TypeError,
        ValueError,
    ) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
