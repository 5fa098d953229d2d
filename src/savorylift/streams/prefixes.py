"""Which engines probably hold the cached prefix of a prompt."""

import hashlib
import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

PREFIX_WORDS = 16
MAX_ENTRIES = 1024  # per backend server
MAX_SERVERS = 1024
MAX_AGE_S = 120.0  # an eviction's event may be lost


class CacheEvent(NamedTuple):
    """One event of an engine's prefix cache.

    Attributes:
        seq: Its number; a step of more than 1 means lost events.
        is_stored: True if stored, False if evicted.
        prefix_hash: Hash as made by `prefix_hash`.
    """

    seq: int
    is_stored: bool
    prefix_hash: str


class Prefixes:
    """Cached prefixes by backend server, for any number of threads.

    Entries come from cache events, which are late and have gaps, and from
    dispatches; both are hints, and the oldest evidence is dropped first.
    """

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._lock = threading.Lock()
        self._seen: OrderedDict[str, OrderedDict[str, float]] = OrderedDict()

    def note_dispatch(self, server: str, hash_: str) -> None:
        """Notes that a prompt with this prefix went to an engine."""
        with self._lock:
            self._put(server, hash_)

    def note_events(self, server: str, events: Iterable[CacheEvent]) -> None:
        """Notes an engine's cache events, oldest first."""
        with self._lock:
            for event in events:
                if event.is_stored:
                    self._put(server, event.prefix_hash)
                elif server in self._seen:
                    self._seen[server].pop(event.prefix_hash, None)

    def forget(self, server: str) -> None:
        """Drops what is known of an engine, as after its restart."""
        with self._lock:
            self._seen.pop(server, None)

    def is_cached(self, server: str, hash_: str) -> bool:
        """Returns True if the engine probably has the prefix cached."""
        entries = self._seen.get(server)
        seen_s = None if entries is None else entries.get(hash_)
        return seen_s is not None and time.monotonic() - seen_s <= MAX_AGE_S

    def _put(self, server: str, hash_: str) -> None:
        entries = self._seen.setdefault(server, OrderedDict())
        self._seen.move_to_end(server)
        entries[hash_] = time.monotonic()
        entries.move_to_end(hash_)
        if len(entries) > MAX_ENTRIES:
            entries.popitem(last=False)
        if len(self._seen) > MAX_SERVERS:
            self._seen.popitem(last=False)


def prefix_hash(model: str, prompt: str) -> str:
    """Returns the hash by which engines name a prompt's prefix."""
    words = prompt.split(maxsplit=PREFIX_WORDS)[:PREFIX_WORDS]
    data = f"{model}\0{' '.join(words)}".encode()
    return hashlib.blake2b(data, digest_size=8).hexdigest()
