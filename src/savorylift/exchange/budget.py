"""This node's share of the repeats that a service may get."""

import collections
import time
from typing import NamedTuple

# Windows slide and nodes count apart, so the whole allowance isn't spent.
SAFETY = 0.8


class BudgetOptions(NamedTuple):
    """What all nodes together may send again.

    Attributes:
        ratio: Repeats for each request in the window.
        window_s: Length of the sliding window.
        slack: Repeats beyond that.
    """

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """Requests and repeats of each service in the sliding window."""

    def __init__(self, options: BudgetOptions) -> None:
        """Starts with an empty window."""
        self._options = options
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str) -> None:
        """Counts a request that a caller sent."""
        self._add(self._requests, service)

    def may_repeat(self, service: str, nodes: int) -> bool:
        """Whether one more repeat keeps this node within its share."""
        cfg = self._options
        allowed = self._count(self._requests, service) * cfg.ratio
        allowed += cfg.slack / nodes
        return self._count(self._repeats, service) + 1 <= allowed * SAFETY

    def count_repeat(self, service: str) -> None:
        """Counts a request that is sent once more."""
        self._add(self._repeats, service)

    def _add(
        self, times: dict[str, collections.deque[float]], service: str
    ) -> None:
        times.setdefault(service, collections.deque()).append(time.monotonic())

    def _count(
        self, times: dict[str, collections.deque[float]], service: str
    ) -> int:
        entries = times.get(service)
        if entries is None:
            return 0
        oldest_s = time.monotonic() - self._options.window_s
        while entries and entries[0] < oldest_s:
            entries.popleft()
        return len(entries)
