"""Decodes JSON that other programs wrote."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

T = TypeVar("T")


def decode_json(data: bytes | str, cls: type[T]) -> Result[T, str]:
    """Decodes a value of a type; returns an error message if it can't be.

    No input raises an exception, however deep it is nested and however large
    its numbers are.
    """
    try:
        return Success(msgspec.json.decode(data, type=cls))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
