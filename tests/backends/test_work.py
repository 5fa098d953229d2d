"""Tests of counting work and results of backend servers."""

import freezegun
import pytest

from savorylift.backends.cold_start import ColdStart
from savorylift.backends.work import WINDOW_S, Load, Work, add_up
from savorylift.fleet.state import ServerLoad


def test_counts_what_is_under_way() -> None:
    work = Work()
    work.begin("i", "a", 100)
    work.begin("i", "b", 50)
    assert work.loads() == (ServerLoad("i", 2, 150, 0, 0, 0),)
    work.end("i", "a")
    work.end("i", "a")
    work.end("i", "b")
    assert work.loads() == ()


def test_results_age() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        work = Work()
        work.judge("i", is_success=True)
        clock.tick(WINDOW_S / 2)
        work.judge("i", is_success=False)
        assert work.loads() == (ServerLoad("i", 0, 0, 0, 1, 1),)
        clock.tick(WINDOW_S / 2 + 0.1)
        assert work.loads() == (ServerLoad("i", 0, 0, 0, 0, 1),)
        clock.tick(WINDOW_S)
        assert work.loads() == ()


def test_nodes_add_up() -> None:
    parts = [ServerLoad("i", 1, 10, 4, 3, 1), ServerLoad("i", 2, 20, 5, 0, 2)]
    assert add_up(parts) == {"i": Load(3, 30, 9, 3, 3)}


@pytest.mark.parametrize(
    ("succeeded", "failed", "is_grey"),
    [(0, 0, False), (0, 3, False), (0, 4, True), (9, 3, False), (5, 5, True)],
)
def test_grey_needs_a_pattern(
    succeeded: int, failed: int, *, is_grey: bool
) -> None:
    load = Load(succeeded=succeeded, failed=failed)
    assert load.is_grey is is_grey


@pytest.mark.parametrize("rate", [4.0, 32.0, 49.0])
@pytest.mark.parametrize("nodes", [1, 6, 9, 81])
def test_cold_server_gets_no_more_than_it_bears(
    rate: float, nodes: int
) -> None:
    """All nodes send whatever their share allows for ten seconds."""
    with freezegun.freeze_time("2026-01-01") as clock:
        shares = [ColdStart() for _ in range(nodes)]
        sent: list[float] = []
        now_s = 0.0
        for _ in range(100):
            for share in shares:
                while share.may_send("i", rate, nodes):
                    share.count("i")
                    sent.append(now_s)
            clock.tick(0.1)
            now_s += 0.1
        worst = max(sum(s <= t < s + 0.95 for t in sent) for s in sent)
        # What a cold server bears with the slack that it is known to have.
        assert worst <= max(rate * 1.5 + 5, nodes)


def test_service_without_a_limit_is_not_spared() -> None:
    share = ColdStart()
    assert all(share.may_send("i", None, 9) for _ in range(100))
