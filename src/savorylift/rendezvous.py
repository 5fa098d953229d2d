"""Rendezvous hashing, which ranks names alike on every node."""

import functools
import hashlib
from collections.abc import Iterable

# Scores in the cache: some keys are ranked many times a second.
MAX_SCORES = 4096


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names` in descending order of their score for `key`.

    Adding or removing one name leaves the order of the others unchanged.
    """
    return sorted(names, key=lambda name: score(key, name), reverse=True)


@functools.lru_cache(maxsize=MAX_SCORES)
def score(key: str, name: str) -> bytes:
    """Returns what a name is ranked by for a key; the highest is first."""
    data = f"{key}\0{name}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
