"""Tests of a node's share of the retry budget."""

import freezegun
import pytest

from savorylift.exchange.retry_budget import RetryBudget, RetryBudgetOptions

OPTIONS = RetryBudgetOptions(ratio=0.2, window_s=10.0, slack=58.0)


def count_allowed_retries(nodes: int, requests: int) -> int:
    """Returns how many retries one node may send in a burst."""
    budget = RetryBudget(OPTIONS)
    for _ in range(requests):
        budget.count_request("s")
    sent = 0
    while budget.may_retry("s", nodes):
        budget.count_retry("s")
        sent += 1
    return sent


@pytest.mark.parametrize("nodes", [1, 2, 9, 81])
@pytest.mark.parametrize("requests", [0, 10, 1000])
def test_all_nodes_together_stay_within_the_budget(
    nodes: int, requests: int
) -> None:
    total = nodes * count_allowed_retries(nodes, requests)
    assert total <= 0.2 * nodes * requests + 58


def test_retries_are_allowed_again_after_the_window() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        budget = RetryBudget(OPTIONS)
        while budget.may_retry("s", 9):
            budget.count_retry("s")
        clock.tick(9.9)
        assert not budget.may_retry("s", 9)
        clock.tick(0.2)
        assert budget.may_retry("s", 9)


def test_services_have_separate_budgets() -> None:
    budget = RetryBudget(OPTIONS)
    while budget.may_retry("s", 9):
        budget.count_retry("s")
    assert budget.may_retry("other", 9)
