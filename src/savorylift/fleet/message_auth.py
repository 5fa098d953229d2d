"""Authenticates messages between the nodes of a fleet."""

import hashlib
import hmac
from collections.abc import Sequence

MAC_BYTES = 16


class MessageAuthenticator:
    """Signs messages with the first key and accepts signatures by any key.

    To rotate a key, add the new key after the old one on every node, then
    move it to the front on every node, then remove the old key.
    """

    def __init__(self, keys: Sequence[str] = ()) -> None:
        """Sets the keys; without any, messages are not authenticated."""
        self._keys = [key.encode() for key in keys]

    def sign(self, data: bytes) -> bytes:
        """Returns the message with its authentication code in front."""
        if not self._keys:
            return data
        return _mac(data, self._keys[0]) + data

    def verify(self, data: bytes) -> bytes | None:
        """Returns the message, or None if no key matches its code."""
        if not self._keys:
            return data
        mac, message = data[:MAC_BYTES], data[MAC_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(mac, _mac(message, key)):
                return message
        return None


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=MAC_BYTES, key=key[:64]).digest()
