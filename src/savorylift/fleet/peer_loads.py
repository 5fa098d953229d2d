"""What the other nodes together have at each backend server.

Requests ask for it, so that the sums are kept up to date by the messages, and
no answer takes time for each node.
"""

import heapq
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.backends.load import Load
from savorylift.fleet.state import ServerLoad

# Looks that no longer count are swept out when each node has this many.
MAX_ENDS_PER_NODE = 8
MIN_SWEPT_ENDS = 64
NO_LOAD = Load()


class _Heard(NamedTuple):
    """What a node said last.

    Attributes:
        loads: Its load on servers.
        until_s: Time until which that counts.
    """

    loads: tuple[ServerLoad, ...]
    until_s: float


class PeerLoads:
    """Sums of what live nodes say of their loads; times must not go back."""

    def __init__(self) -> None:
        """Starts without any node."""
        self._heard: dict[str, _Heard] = {}
        self._totals: dict[str, Load] = {}
        # When to look whether what a node said has ended, earliest first: one
        # for each node. Messages that put the end off don't change it.
        self._ends: list[tuple[float, str]] = []
        # The one of them that counts, by the node's address.
        self._looks: dict[str, float] = {}
        self._changes = 0

    def hear(
        self, ip: str, loads: tuple[ServerLoad, ...], until_s: float
    ) -> None:
        """Replaces what a node has said.

        Args:
            ip: Address of the node.
            loads: Its load on servers.
            until_s: Time until which that counts.
        """
        heard = self._heard.get(ip)
        if heard is None:
            self._changes += 1
            self._replace((), loads)
        elif heard.loads != loads:
            self._replace(heard.loads, loads)
        self._heard[ip] = _Heard(loads, until_s)
        if ip not in self._looks or until_s < self._looks[ip]:
            self._look_at(ip, until_s)

    def forget(self, ip: str) -> None:
        """Forgets what a node has said."""
        heard = self._heard.pop(ip, None)
        if heard is not None:
            self._changes += 1
            self._replace(heard.loads, ())

    def totals(self, now_s: float) -> Mapping[str, Load]:
        """Returns the load on each server; valid until the next message."""
        self._forget_silent(now_s)
        return self._totals

    def count_nodes(self, now_s: float) -> int:
        """Returns how many other nodes are live."""
        self._forget_silent(now_s)
        return len(self._heard)

    def count_changes(self, now_s: float) -> int:
        """Returns how often a node became live or silent so far."""
        self._forget_silent(now_s)
        return self._changes

    def _forget_silent(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] < now_s:
            look_s, ip = heapq.heappop(self._ends)
            if self._looks.get(ip) != look_s:
                continue
            del self._looks[ip]
            heard = self._heard.get(ip)
            if heard is None:
                continue
            if heard.until_s < now_s:
                self.forget(ip)
            else:
                self._look_at(ip, heard.until_s)

    def _look_at(self, ip: str, look_s: float) -> None:
        """Looks at that time whether what a node said has ended."""
        self._looks[ip] = look_s
        heapq.heappush(self._ends, (look_s, ip))
        most = max(MAX_ENDS_PER_NODE * len(self._looks), MIN_SWEPT_ENDS)
        if len(self._ends) > most:
            self._ends = [(at_s, ip) for ip, at_s in self._looks.items()]
            heapq.heapify(self._ends)

    def _replace(
        self, old: tuple[ServerLoad, ...], new: tuple[ServerLoad, ...]
    ) -> None:
        """Replaces parts of the sums; most stay as they are."""
        for part in set(old).difference(new):
            self._add(part, -1)
        for part in set(new).difference(old):
            self._add(part, 1)

    def _add(self, part: ServerLoad, sign: int) -> None:
        known = self._totals.get(part.server_id, NO_LOAD)
        total = Load(
            known.requests + sign * part.requests,
            known.tokens + sign * part.tokens,
            known.prefill_tokens + sign * part.prefill_tokens,
            known.succeeded + sign * part.succeeded,
            known.failed + sign * part.failed,
        )
        if total == NO_LOAD:
            self._totals.pop(part.server_id, None)
        else:
            self._totals[part.server_id] = total
