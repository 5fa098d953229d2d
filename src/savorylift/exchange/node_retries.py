"""This node's share of the retries that all nodes together may send."""

import time

from savorylift.exchange.retry_budget import RetryBudget
from savorylift.fleet.membership import Membership


class NodeRetries:
    """Counts requests and retries by service."""

    def __init__(self, budget: RetryBudget, membership: Membership) -> None:
        """Divides a budget by the nodes that share it.

        Args:
            budget: What this node has sent, and what the nodes may send.
            membership: The other nodes.
        """
        self._budget = budget
        self._membership = membership

    def count_request(self, service: str) -> None:
        """Adds a caller's request to the retry budget."""
        self._budget.count_request(service)

    def take_retry(self, service: str) -> bool:
        """Takes one retry from this node's budget; returns whether it could."""
        if not self.may_retry(service):
            return False
        self._budget.count_retry(service)
        return True

    def may_retry(self, service: str) -> bool:
        """Whether this node's budget has a retry left."""
        nodes = self._membership.count_sharing_nodes(time.monotonic())
        return self._budget.may_retry(service, nodes)
