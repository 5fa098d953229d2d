"""Limits this node's requests to backend servers that are still cold."""

import collections
import random
import time

from savorylift.backends.turns import Turns

# Stays a little below the node's share of the rate, because the counting
# windows of the nodes don't begin at the same moment.
SHARE_MARGIN = 0.9
WINDOW_S = 1.0
# Lower bound for a server that reports a cold start although its service
# configures no rate.
MIN_RATE_PER_S = 1.0
# Requests that are remembered of a server, and for how long: several times the
# longest window of a node among hundreds.
MAX_REQUESTS = 256
RETENTION_S = 1800.0


class ColdStartLimiter:
    """Rate limiter for requests that this node sends to cold servers.

    The limit of a server applies to all nodes together, so each node enforces
    an equal share of it.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates a limiter that has counted no requests.

        Args:
            rng: Chooses when this node has its turns.
        """
        # Times of the last requests; the server that got one last is at the
        # end.
        self._sent: dict[str, collections.deque[float]] = {}
        self._turns = Turns(rng)

    def may_send(
        self, server_id: str, rate_per_s: float | None, nodes: int
    ) -> bool:
        """Returns whether one more request keeps this node within its share.

        Args:
            server_id: Identifier of the cold server.
            rate_per_s: Requests per second that the server can take from all
                nodes together; None for no limit.
            nodes: Number of nodes that share the rate.
        """
        if rate_per_s is None:
            return True
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        share = rate_per_s * SHARE_MARGIN / nodes
        # A share below one request per second is enforced as one request in a
        # longer window.
        window_s = max(WINDOW_S, WINDOW_S / share)
        if nodes > rate_per_s:
            # The first requests of all nodes would come at once otherwise.
            last_sent_s = next(reversed(self._sent.get(server_id, ())), None)
            return self._turns.may_send(window_s, last_sent_s)
        return self._count_sent(server_id, window_s) < max(int(share), 1)

    def record_request(self, server_id: str) -> None:
        """Records a request that is sent to a cold server now."""
        now_s = time.monotonic()
        times = self._sent.pop(server_id, None)
        if times is None:
            times = collections.deque(maxlen=MAX_REQUESTS)
        times.append(now_s)
        self._sent[server_id] = times
        self._forget_old(now_s - RETENTION_S)

    def _forget_old(self, oldest_s: float) -> None:
        """Forgets servers without later requests; they are in that order."""
        while True:
            server_id, times = next(iter(self._sent.items()))
            if times[-1] >= oldest_s:
                return
            del self._sent[server_id]

    def _count_sent(self, server_id: str, window_s: float) -> int:
        oldest_s = time.monotonic() - window_s
        return sum(
            sent_s > oldest_s for sent_s in self._sent.get(server_id, ())
        )
