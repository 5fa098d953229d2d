"""This node's share of what a cold backend server bears."""

import collections
import time

# A little below the share: nodes don't count at the same moments.
SAFETY = 0.9
WINDOW_S = 1.0
# A server that reports a cold start though its service names no rate.
LEAST_PER_S = 1.0


class ColdStart:
    """Counts requests sent to cold servers in the last second."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._sent: dict[str, collections.deque[float]] = {}

    def may_send(
        self, server_id: str, rate_per_s: float | None, nodes: int
    ) -> bool:
        """Whether one more request keeps this node within its share.

        Args:
            server_id: The cold server.
            rate_per_s: What it bears from all nodes; None without a limit.
            nodes: Nodes that share this rate.
        """
        if rate_per_s is None:
            return True
        share = max(rate_per_s, LEAST_PER_S) * SAFETY / nodes
        # A share below one request a second is kept as a longer interval.
        window_s = WINDOW_S if share >= 1 else WINDOW_S / share
        return self._count(server_id, window_s) < max(int(share), 1)

    def count(self, server_id: str) -> None:
        """Counts a request that is sent to a cold server."""
        times = self._sent.setdefault(server_id, collections.deque(maxlen=256))
        times.append(time.monotonic())

    def _count(self, server_id: str, window_s: float) -> int:
        oldest_s = time.monotonic() - window_s
        return sum(
            sent_s > oldest_s for sent_s in self._sent.get(server_id, ())
        )
