"""Issues permits for requests to backend servers that name a limit.

A limit holds for all nodes together. The nodes ask one of them, the issuer of
the server, for each request. Rendezvous hashing chooses it among the live
nodes.
"""

import collections
import random
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylift.fleet.membership import Membership
from savorylift.rendezvous import rank

# A node that has just started doesn't know all others yet.
START_HOLD_S = 2.5
# After a change of the live nodes an issuer waits until the one before it has
# heard of it, or was missed by all nodes.
HANDOVER_HOLD_S = 1.5
# A node that was asked by mistake is asked again after this time at the
# earliest.
NOT_ISSUER_WAIT_S = 0.2
# Permits that were not asked for in this time may be issued at once.
BURST_S = 0.25
# Longest wait for a permit that a request may ask for.
MAX_WAIT_S = 1.0
# Only responses tell that a limit has ended. So a server gets a request at
# least this often, even if its limit is lower.
MAX_INTERVAL_S = 5.0
# Denied permit requests that a server's issuer takes each second. If there are
# more, it tells the nodes to ask again later.
DENIALS_PER_S = 20
DENIAL_WINDOW_S = 1.0
MAX_DENIALS = 1000
# For how long the choice of an issuer, and the share of the fleet that this
# node hears, are used before they are worked out again.
CACHE_S = 0.1


class PermitDecision(NamedTuple):
    """Whether a request may be sent to a limited server.

    Attributes:
        is_granted: Whether it may be sent.
        wait_s: Time until it may be sent; without a permit, the time until
            the next one.
    """

    is_granted: bool
    wait_s: float


class PermitBucket:
    """Spaces the permits for one server evenly, with small bursts."""

    def __init__(self, hold_until_s: float, phase: float) -> None:
        """Creates a bucket without permits.

        Args:
            hold_until_s: Monotonic time before which it issues none.
            phase: When it issues the first one after that, as a share of the
                interval between permits.
        """
        self._hold_until_s = hold_until_s
        self._phase = phase
        self._next_s = hold_until_s
        self._denied_s: collections.deque[float] = collections.deque(
            maxlen=MAX_DENIALS
        )

    def take(
        self, per_s: float, max_wait_s: float, *, is_probe: bool
    ) -> PermitDecision:
        """Takes a permit, if there is one within the wait.

        Args:
            per_s: Permits per second.
            max_wait_s: Longest wait for a permit.
            is_probe: Whether to take only a permit that has been left over.
        """
        now_s = time.monotonic()
        interval_s = 1 / per_s
        # The interval may have been longer when the last permit was issued.
        self._next_s = min(self._next_s, now_s + interval_s + MAX_WAIT_S)
        first_s = self._hold_until_s + self._phase * interval_s
        wait_s = max(self._next_s, first_s, now_s) - now_s
        if is_probe and now_s - self._next_s < interval_s:
            return PermitDecision(is_granted=False, wait_s=wait_s + interval_s)
        if wait_s > min(max_wait_s, MAX_WAIT_S):
            ask_after_s = max(wait_s, self._count_denial() / DENIALS_PER_S)
            return PermitDecision(is_granted=False, wait_s=ask_after_s)
        self._next_s = max(self._next_s, now_s - BURST_S) + interval_s
        return PermitDecision(is_granted=True, wait_s=wait_s)

    def _count_denial(self) -> int:
        """Returns how many permit requests were denied lately."""
        now_s = time.monotonic()
        self._denied_s.append(now_s)
        while self._denied_s[0] < now_s - DENIAL_WINDOW_S:
            self._denied_s.popleft()
        return len(self._denied_s)


class PermitIssuer:
    """Decides on permits for the servers that this node is the issuer of."""

    def __init__(
        self,
        ip: str,
        membership: Membership,
        is_leaving: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Creates an issuer without servers.

        Args:
            ip: This node's own address.
            membership: The other nodes.
            is_leaving: Whether this node is draining.
            rng: Spreads the first permits of nodes that are cut off from each
                other.
        """
        self._ip = ip
        self._membership = membership
        self._is_leaving = is_leaving
        self._rng = rng
        self._started_s = time.monotonic()
        self._candidates: frozenset[str] = frozenset()
        # Monotonic time at which the candidates last changed.
        self._changed_s = self._started_s
        self._buckets: dict[str, PermitBucket] = {}
        self._issuers: dict[str, str] = {}
        self._live_share = 1.0
        self._cached_until_s = 0.0

    def is_own_ip(self, ip: str) -> bool:
        """Whether an address is that of this node."""
        return ip == self._ip

    def find_issuer(self, server_id: str) -> str:
        """Returns the address of a server's issuer."""
        self._refresh_cache()
        if server_id not in self._issuers:
            self._issuers[server_id] = self._choose_issuer(server_id)
        return self._issuers[server_id]

    def decide(
        self,
        server_id: str,
        requests_per_s: float,
        max_wait_s: float,
        *,
        is_probe: bool,
    ) -> PermitDecision:
        """Decides on a request to a limited server.

        Args:
            server_id: Identifier of the server.
            requests_per_s: Limit that the server named.
            max_wait_s: Longest time that the request can wait to be sent.
            is_probe: Whether it may only use what requests leave.
        """
        per_s = self.own_rate(requests_per_s)
        bucket = self._update_bucket(server_id)
        if bucket is None:
            return PermitDecision(is_granted=False, wait_s=NOT_ISSUER_WAIT_S)
        return bucket.take(per_s, max_wait_s, is_probe=is_probe)

    @property
    def issued_ids(self) -> frozenset[str]:
        """IDs of the servers that this node is the issuer of."""
        return frozenset(self._buckets)

    def update(self, server_ids: Iterable[str]) -> None:
        """Notices of which limited servers this node is the issuer."""
        self._refresh_cache()
        limited = set(server_ids)
        for server_id in limited:
            self._update_bucket(server_id)
        for server_id in self._buckets.keys() - limited:
            del self._buckets[server_id]

    def _choose_issuer(self, server_id: str) -> str:
        return rank(server_id, self._candidates)[0]

    def _find_candidates(self, now_s: float) -> frozenset[str]:
        """Returns the addresses of the nodes that may issue permits."""
        peers = self._membership.heard_peers(now_s)
        ips = {p.state.ip for p in peers if not p.state.is_leaving}
        if not self._is_leaving() or not ips:
            ips.add(self._ip)
        return frozenset(ips)

    def own_rate(self, requests_per_s: float) -> float:
        """Returns the rate that the nodes which this one hears may use.

        The rest is for nodes that it is cut off from.
        """
        self._refresh_cache()
        return max(requests_per_s, 1 / MAX_INTERVAL_S) * self._live_share

    def _refresh_cache(self) -> None:
        now_s = time.monotonic()
        if now_s < self._cached_until_s:
            return
        self._cached_until_s = now_s + CACHE_S
        self._issuers.clear()
        self._live_share = self._membership.live_share(now_s)
        candidates = self._find_candidates(now_s)
        if candidates != self._candidates:
            self._candidates = candidates
            self._changed_s = now_s

    def _update_bucket(self, server_id: str) -> PermitBucket | None:
        """Returns the bucket of a server; None if another node issues."""
        if self.find_issuer(server_id) != self._ip:
            self._buckets.pop(server_id, None)
            return None
        if server_id not in self._buckets:
            hold_until_s = max(
                self._changed_s + HANDOVER_HOLD_S,
                self._started_s + START_HOLD_S,
                time.monotonic(),
            )
            # Nodes that are cut off from each other begin at different times.
            phase = self._rng.random() * (1 - self._live_share)
            self._buckets[server_id] = PermitBucket(hold_until_s, phase)
        return self._buckets[server_id]
