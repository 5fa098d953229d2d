"""Marks by which nodes know messages of their own fleet."""

import hashlib
import hmac
from collections.abc import Sequence

MARK_BYTES = 16


class Seal:
    """Signs messages with the first key and accepts those of any.

    So keys rotate: a new one is added behind the old one on every node, moved
    to the front everywhere, and then the old one is removed.
    """

    def __init__(self, keys: Sequence[str] = ()) -> None:
        """Keeps the keys; without one, messages pass as they are."""
        self._keys = [key.encode() for key in keys]

    def close(self, data: bytes) -> bytes:
        """Returns a message with its mark."""
        if not self._keys:
            return data
        return _mark(data, self._keys[0]) + data

    def open(self, data: bytes) -> bytes | None:
        """Returns the message, or None if its mark is not of this fleet."""
        if not self._keys:
            return data
        mark, message = data[:MARK_BYTES], data[MARK_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(mark, _mark(message, key)):
                return message
        return None


def _mark(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=MARK_BYTES, key=key[:64]).digest()
