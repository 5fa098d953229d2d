"""Table of the attempts that began streams, and of what they began at."""

import time
from collections.abc import Iterator
from typing import NamedTuple

from savorylift.fleet.state import StreamOrigin

# Most streams that a node knows the beginning of; the oldest yields.
MAX_ORIGINS = 20_000
MAX_TTL_S = 600.0
MAX_NAME_CHARS = 200


class _Known(NamedTuple):
    origin: StreamOrigin
    expires_s: float


class OriginTable:
    """Origins of streams by the attempt that brought their first event."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._known: dict[str, _Known] = {}

    def put(self, origin: StreamOrigin) -> bool:
        """Stores an origin; returns False if it is unsound.

        The first one of an attempt that names its version stays: a stream
        begins once.
        """
        if not _is_sound(origin):
            return False
        now_s = time.monotonic()
        known = self.find(origin.attempt_id)
        if known is not None and (known.is_certain or not origin.is_certain):
            return True
        self._known.pop(origin.attempt_id, None)
        while len(self._known) >= MAX_ORIGINS:
            del self._known[next(iter(self._known))]
        self._known[origin.attempt_id] = _Known(origin, now_s + origin.ttl_s)
        return True

    def find(self, attempt_id: str) -> StreamOrigin | None:
        """Returns the origin of a stream, with the time for which it holds."""
        known = self._known.get(attempt_id)
        if known is None:
            return None
        ttl_s = known.expires_s - time.monotonic()
        return known.origin._replace(ttl_s=ttl_s) if ttl_s > 0 else None

    def __iter__(self) -> Iterator[StreamOrigin]:
        """Yields all origins that still hold."""
        for attempt_id in list(self._known):
            origin = self.find(attempt_id)
            if origin is not None:
                yield origin

    def drop_expired(self) -> list[str]:
        """Forgets the streams that no caller may resume any more.

        Returns:
            The attempts that began them.
        """
        now_s = time.monotonic()
        expired = [
            attempt_id
            for attempt_id, known in self._known.items()
            if known.expires_s <= now_s
        ]
        for attempt_id in expired:
            del self._known[attempt_id]
        return expired


def _is_sound(origin: StreamOrigin) -> bool:
    names = (
        origin.attempt_id,
        origin.service,
        origin.software_version,
        origin.model_version,
    )
    return (
        0 < origin.ttl_s <= MAX_TTL_S
        and bool(origin.attempt_id)
        and all(len(name) <= MAX_NAME_CHARS for name in names)
    )
