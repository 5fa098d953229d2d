"""Tests of load tracking and of the cold-start limit."""

import random

import freezegun
import pytest

from savorylift.backends.load import (
    RESULT_WINDOW_S,
    Load,
    LoadTracker,
    add_loads,
)
from savorylift.fleet.state import ServerLoad


def test_load_counts_only_requests_in_flight() -> None:
    tracker = LoadTracker()
    tracker.add_request("i", "a", 100)
    tracker.add_request("i", "b", 50)
    assert tracker.loads() == (ServerLoad("i", 2, 150, 0, 0, 0),)
    tracker.remove_request("i", "a")
    tracker.remove_request("i", "a")
    tracker.remove_request("i", "b")
    assert tracker.loads() == ()


def test_results_expire() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        tracker = LoadTracker()
        tracker.record_result("i", is_success=True)
        clock.tick(RESULT_WINDOW_S / 2)
        tracker.record_result("i", is_success=False)
        assert tracker.loads() == (ServerLoad("i", 0, 0, 0, 1, 1),)
        clock.tick(RESULT_WINDOW_S / 2 + 0.1)
        assert tracker.loads() == (ServerLoad("i", 0, 0, 0, 0, 1),)
        clock.tick(RESULT_WINDOW_S)
        assert tracker.loads() == ()


def test_loads_of_nodes_are_summed() -> None:
    parts = [ServerLoad("i", 1, 10, 4, 3, 1), ServerLoad("i", 2, 20, 5, 0, 2)]
    assert add_loads({}, parts) == {"i": Load(3, 30, 9, 3, 3)}
    known = {"i": Load(1, 1, 1, 1, 1), "j": Load(5)}
    total = add_loads(known, parts)
    assert total == {"i": Load(4, 31, 10, 4, 4), "j": Load(5)}
    assert known["i"] == Load(1, 1, 1, 1, 1)


@pytest.mark.parametrize(
    ("succeeded", "failed", "is_unhealthy"),
    [(0, 0, False), (0, 3, False), (0, 4, True), (9, 3, False), (5, 5, True)],
)
def test_few_failures_do_not_make_a_server_unhealthy(
    succeeded: int, failed: int, *, is_unhealthy: bool
) -> None:
    load = Load(succeeded=succeeded, failed=failed)
    assert load.is_unhealthy is is_unhealthy


@pytest.mark.parametrize("seed", range(8))
def test_kept_loads_are_those_that_are_counted_anew(seed: int) -> None:
    """What was not changed since it was last asked for isn't counted again."""
    rng = random.Random(seed)
    with freezegun.freeze_time("2026-01-01") as clock:
        asked, unasked = LoadTracker(), LoadTracker()
        for _ in range(200):
            server_id, attempt = rng.choice("ij"), rng.choice("abc")
            is_success = rng.random() < 0.5
            step = rng.randrange(5)
            clock.tick(rng.random())
            for tracker in (asked, unasked):
                if step == 0:
                    tracker.add_request(server_id, attempt, 10, 3)
                elif step == 1:
                    tracker.mark_prefilled(server_id, attempt)
                elif step == 2:
                    tracker.remove_request(server_id, attempt)
                elif step == 3:
                    tracker.record_result(server_id, is_success=is_success)
            kept = asked.loads()
            unasked._cached_loads.clear()
            unasked._cached_list = None
            assert kept == unasked.loads()
