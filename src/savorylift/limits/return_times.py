"""Spreads the callers that limits of backend servers refused."""

import time
from collections.abc import Mapping

# Bounds the time until a refused caller returns.
MAX_RETURN_S = 8.0


class ReturnTimes:
    """Assigns refused callers to the times at which servers take requests.

    Callers that are refused one after another get different times, so that no
    more return than the servers take.
    """

    def __init__(self) -> None:
        """Starts without refused callers."""
        # Monotonic time at which the last caller was told to return, by server.
        self._return_s: dict[str, float] = {}

    def assign_s(self, limits: Mapping[str, float], nodes: int) -> float:
        """Returns after what time a refused caller may return.

        Args:
            limits: Requests per second that each server takes; at least one.
            nodes: Number of nodes that share the limits.
        """
        now_s = time.monotonic()
        earliest = min(
            limits, key=lambda server_id: self._return_s.get(server_id, 0.0)
        )
        interval_s = nodes / max(limits[earliest], 1 / MAX_RETURN_S)
        return_s = max(self._return_s.get(earliest, 0.0), now_s) + interval_s
        return_s = min(return_s, now_s + MAX_RETURN_S)
        self._return_s[earliest] = return_s
        return return_s - now_s

    def forget_passed(self) -> None:
        """Forgets the times that have passed."""
        now_s = time.monotonic()
        self._return_s = {
            server_id: return_s
            for server_id, return_s in self._return_s.items()
            if return_s >= now_s
        }
