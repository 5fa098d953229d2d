"""Chooses, for a key, the nodes that hold a fact about it.

All nodes that hear the same others choose alike, and the loss of a node only
changes the choice for the keys that it held.
"""

import bisect
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

# Nodes in the failure domain of the first that are passed over, to find one in
# another.
MAX_PASSED = 16
# Positions of each node, which spread the keys over the nodes.
POSITIONS_PER_NODE = 8


class Home(NamedTuple):
    """A node that may hold facts.

    Attributes:
        ip: Its address.
        failure_domain: Failure domain that it runs in.
    """

    ip: str
    failure_domain: str


class HomeRing:
    """Consistent hashing over the live nodes."""

    def __init__(self) -> None:
        """Creates a ring without nodes."""
        self._homes: frozenset[Home] = frozenset()
        self._positions: list[tuple[int, Home]] = []

    def update(self, homes: Iterable[Home]) -> bool:
        """Replaces the nodes; returns whether any changed."""
        new_homes = frozenset(homes)
        if new_homes == self._homes:
            return False
        gone = self._homes - new_homes
        if gone:
            self._positions = [p for p in self._positions if p[1] not in gone]
        for home in new_homes - self._homes:
            for number in range(POSITIONS_PER_NODE):
                position = _position(f"{home.ip}#{number}")
                bisect.insort(self._positions, (position, home))
        self._homes = new_homes
        return True

    def find(self, key: str, count: int) -> list[str]:
        """Returns the addresses of up to `count` nodes, the best first.

        The second is in another failure domain than the first, if one of the
        next nodes is. The time it takes doesn't depend on the number of nodes.
        """
        found: list[Home] = []
        passed: list[Home] = []
        for home in self._successors(key):
            if home in found or home in passed:
                continue
            if (
                len(found) == 1
                and len(passed) < MAX_PASSED
                and (home.failure_domain == found[0].failure_domain)
            ):
                passed.append(home)
                continue
            found.append(home)
            if len(found) == 2:
                found += passed
                passed = []
            if len(found) >= count:
                break
        return [home.ip for home in (found + passed)[:count]]

    def _successors(self, key: str) -> Iterable[Home]:
        start = bisect.bisect(self._positions, (_position(key),))
        count = len(self._positions)
        for number in range(count):
            yield self._positions[(start + number) % count][1]


def _position(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
