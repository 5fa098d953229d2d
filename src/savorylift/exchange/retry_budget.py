"""This node's share of the retry budget of each service."""

import collections
import time
from typing import NamedTuple

# Part of the allowance stays unspent, because windows slide and each node
# counts separately.
SAFETY_FACTOR = 0.8


class RetryBudgetOptions(NamedTuple):
    """Retries that all nodes together may send to a service.

    Attributes:
        ratio: Retries allowed per request in the window.
        window_s: Length of the sliding window.
        slack: Retries allowed in the window on top of the ratio.
    """

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """Counts requests and retries of each service in a sliding window."""

    def __init__(self, options: RetryBudgetOptions) -> None:
        """Creates a budget without any recorded requests."""
        self._options = options
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str) -> None:
        """Records a request from a caller, which adds to the budget."""
        self._record(self._requests, service)

    def may_retry(self, service: str, nodes: int) -> bool:
        """Returns whether one more retry is within this node's share.

        Args:
            service: Service to retry on.
            nodes: Number of nodes that share the slack.
        """
        cfg = self._options
        allowed = self._count(self._requests, service) * cfg.ratio
        allowed += cfg.slack / nodes
        return (
            self._count(self._retries, service) + 1 <= allowed * SAFETY_FACTOR
        )

    def count_retry(self, service: str) -> None:
        """Records a retry, which uses up budget."""
        self._record(self._retries, service)

    def _record(
        self, times: dict[str, collections.deque[float]], service: str
    ) -> None:
        times.setdefault(service, collections.deque()).append(time.monotonic())

    def _count(
        self, times: dict[str, collections.deque[float]], service: str
    ) -> int:
        entries = times.get(service)
        if entries is None:
            return 0
        window_start_s = time.monotonic() - self._options.window_s
        while entries and entries[0] < window_start_s:
            entries.popleft()
        return len(entries)
