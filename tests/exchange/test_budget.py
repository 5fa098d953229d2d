"""Tests of the share of repeats that one node may send."""

import freezegun
import pytest

from savorylift.exchange.budget import BudgetOptions, RetryBudget

OPTIONS = BudgetOptions(ratio=0.2, window_s=10.0, slack=58.0)


def spend(nodes: int, requests: int) -> int:
    """Returns how many repeats one node sends at once."""
    budget = RetryBudget(OPTIONS)
    for _ in range(requests):
        budget.count_request("s")
    sent = 0
    while budget.may_repeat("s", nodes):
        budget.count_repeat("s")
        sent += 1
    return sent


@pytest.mark.parametrize("nodes", [1, 2, 9, 81])
@pytest.mark.parametrize("requests", [0, 10, 1000])
def test_all_nodes_together_keep_the_limit(nodes: int, requests: int) -> None:
    total = nodes * spend(nodes, requests)
    assert total <= 0.2 * nodes * requests + 58


def test_window_slides() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        budget = RetryBudget(OPTIONS)
        while budget.may_repeat("s", 9):
            budget.count_repeat("s")
        clock.tick(9.9)
        assert not budget.may_repeat("s", 9)
        clock.tick(0.2)
        assert budget.may_repeat("s", 9)


def test_services_are_counted_apart() -> None:
    budget = RetryBudget(OPTIONS)
    while budget.may_repeat("s", 9):
        budget.count_repeat("s")
    assert budget.may_repeat("other", 9)
