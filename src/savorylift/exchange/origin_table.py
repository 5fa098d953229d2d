"""Table of the attempts that began streams, and of what they began at."""

import time
from collections.abc import Iterator
from typing import NamedTuple

from savorylift.fleet.origin_messages import StreamOrigin

# Most streams that a node knows the beginning of; the oldest yields.
MAX_ORIGINS = 20_000
MAX_TTL_S = 600.0
MAX_NAME_CHARS = 200


class _Known(NamedTuple):
    origin: StreamOrigin
    put_s: float

    def at(self, now_s: float) -> StreamOrigin:
        """Returns the origin with its times as of a moment."""
        held_s = now_s - self.put_s
        process = self.origin.process
        if process is not None:
            process = process._replace(age_s=process.age_s + held_s)
        return self.origin._replace(
            ttl_s=self.origin.ttl_s - held_s, process=process
        )


class OriginTable:
    """Origins of streams by the attempt that brought their first event."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._known: dict[str, _Known] = {}

    def put(self, origin: StreamOrigin) -> bool:
        """Stores an origin; returns False if it is unsound.

        The first one of an attempt that names its version stays: a stream
        begins once. Before, one stays that names no process: another one than
        that of the entry has answered.
        """
        if not _is_sound(origin):
            return False
        now_s = time.monotonic()
        known = self.find(origin.attempt_id)
        if known is not None and known.certainty >= origin.certainty:
            return True
        self._known.pop(origin.attempt_id, None)
        while len(self._known) >= MAX_ORIGINS:
            del self._known[next(iter(self._known))]
        self._known[origin.attempt_id] = _Known(origin, now_s)
        return True

    def find(self, attempt_id: str) -> StreamOrigin | None:
        """Returns the origin of a stream, with the time for which it holds."""
        known = self._known.get(attempt_id)
        if known is None:
            return None
        origin = known.at(time.monotonic())
        return origin if origin.ttl_s > 0 else None

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
            if known.at(now_s).ttl_s <= 0
        ]
        for attempt_id in expired:
            del self._known[attempt_id]
        return expired


def _is_sound(origin: StreamOrigin) -> bool:
    names = [
        origin.attempt_id,
        origin.service,
        origin.software_version,
        origin.model_version,
    ]
    if origin.process is not None:
        names += [origin.process.server_id, origin.process.software_version]
        if not 0 <= origin.process.age_s <= MAX_TTL_S:
            return False
    return (
        0 < origin.ttl_s <= MAX_TTL_S
        and bool(origin.attempt_id)
        and all(len(name) <= MAX_NAME_CHARS for name in names)
    )
