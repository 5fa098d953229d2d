"""Idempotency keys: UUIDv7 values whose time bounds how long they live."""

import uuid
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.outcomes import Reason, Refusal, not_run

UUID_VERSION = 7
TIME_SHIFT_BITS = 80


class KeyWindow(NamedTuple):
    """When a key is accepted, relative to its own time.

    Attributes:
        age_ms: Oldest accepted key; shorter than the log's retention. A node
            with a shorter one than others refuses more, and is safe.
        skew_ms: How far ahead of the log's clock a key may be. It must be
            the same on every node, since a reader takes it for the earliest
            time of a claim.
    """

    age_ms: int = 3_600_000
    skew_ms: int = 60_000

    def is_too_old(self, key_ms: int, now_ms: int) -> bool:
        """Returns True once the key may have been forgotten."""
        return key_ms < now_ms - self.age_ms

    def is_too_new(self, key_ms: int, now_ms: int) -> bool:
        """Returns True if the key's time lies in the future."""
        return key_ms > now_ms + self.skew_ms


class CallKey(NamedTuple):
    """A parsed idempotency key.

    Attributes:
        value: The 16 bytes of the UUID.
        time_ms: Wall-clock time that its maker put in.
    """

    value: bytes
    time_ms: int


def parse_key(text: str) -> CallKey | None:
    """Returns the key, or None if `text` is no UUIDv7."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != UUID_VERSION:
        return None
    return CallKey(parsed.bytes, parsed.int >> TIME_SHIFT_BITS)


def check_key(
    text: str | None, window: KeyWindow, now_ms: int
) -> Result[CallKey, Refusal]:
    """Parses a caller's key and checks its time against the window."""
    if not text:
        return _refuse(Reason.KEY_MISSING, "This call needs Idempotency-Key.")
    key = parse_key(text)
    if key is None:
        return _refuse(Reason.KEY_INVALID, "Idempotency-Key is not a UUIDv7.")
    if window.is_too_old(key.time_ms, now_ms):
        return _refuse(Reason.KEY_TOO_OLD, "Idempotency-Key is too old.")
    if window.is_too_new(key.time_ms, now_ms):
        return _refuse(Reason.KEY_INVALID, "Idempotency-Key is in the future.")
    return Success(key)


def _refuse(reason: Reason, message: str) -> Result[CallKey, Refusal]:
    return Failure(not_run(reason, message))
