"""Queue, window, split and choice of keepers, each alone."""

from collections import Counter

import freezegun
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView
from savorylift.permits.fair_queue import FairQueue
from savorylift.permits.lots import KeeperChoice, lot_count, split
from savorylift.permits.messages import PermitAsk
from savorylift.permits.service_rate import ServiceRate
from savorylift.permits.warmth import Warmth
from tests.permits.fakes import member

HOLDER = NodeRef("vm-0", "1")


def ask(
    number: int, team: str, weight: int = 1, priority: int = 0
) -> PermitAsk:
    return PermitAsk(
        f"{team}{number}",
        "e",
        "s",
        team,
        weight,
        priority,
        0,
        9.0,
        True,
        HOLDER,
    )


def order(queue: FairQueue) -> list[PermitAsk]:
    waiters = iter(queue.pop, None)
    return [waiter.ask for waiter in waiters if waiter]


def test_backlogged_teams_share_by_weight() -> None:
    queue = FairQueue()
    for number in range(300):
        queue.push(ask(number, "large", weight=2))
    for team in ("a", "b"):
        for number in range(100):
            queue.push(ask(number, team))
    first = Counter(a.team for a in order(queue)[:200])
    assert first == {"large": 100, "a": 50, "b": 50}


def test_a_small_team_goes_before_an_older_backlog() -> None:
    queue = FairQueue()
    for number in range(100):
        queue.push(ask(number, "large"))
    for _ in range(10):
        queue.pop()
    queue.push(ask(0, "small"))
    queue.push(ask(1, "urgent", priority=1))
    teams = [each.team for each in order(queue)]
    assert teams[:3] == ["urgent", "small", "large"]


def test_a_team_starts_its_most_pressing_request_first() -> None:
    queue = FairQueue()
    for number, wait_s in enumerate((5.0, 1.0, 3.0)):
        queue.push(ask(number, "a")._replace(wait_s=wait_s))
    queue.push(ask(3, "b"))
    assert queue.ahead_of(ask(9, "a")._replace(wait_s=2.0)) >= 1
    served = [(each.team, each.wait_s) for each in order(queue)]
    of_a = [wait_s for team, wait_s in served if team == "a"]
    assert of_a == [1.0, 3.0, 5.0]
    assert served.index(("b", 9.0)) <= 1


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 5)), min_size=1)
)
def test_queue_loses_and_repeats_nothing(pushes: list[tuple[str, int]]) -> None:
    queue = FairQueue()
    asks = [ask(n, team, weight) for n, (team, weight) in enumerate(pushes)]
    for each in [*asks, *asks]:
        queue.push(each)
    queue.remove(asks[0].permit_id)
    assert sorted(order(queue)) == sorted(asks[1:])


def test_late_requests_leave_the_queue() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        queue = FairQueue()
        queue.push(ask(1, "a")._replace(wait_s=1.0))
        queue.push(ask(2, "a"))
        clock.tick(1.0)
        assert [w.ask.permit_id for w in queue.expire()] == ["a1"]
        assert "a2" in queue


@given(st.integers(1, 60), st.integers(0, 40))
def test_lots_hold_the_limit_and_each_a_cold_place(
    cold: int, extra: int
) -> None:
    count = lot_count(cold)
    shares = [split(cold, count, n) for n in range(count)]
    assert sum(shares) == cold
    assert min(shares) >= 1
    warm = cold + extra
    assert sum(split(warm, count, n) for n in range(count)) == warm


def roster(nodes: int, domains: int) -> RosterView:
    refs = [NodeRef(f"vm-{n}", "1") for n in range(nodes)]
    return RosterView(
        0, {r.vm: member(r, 0, f"d{n % domains}") for n, r in enumerate(refs)}
    )


@pytest.mark.parametrize(
    ("nodes", "domains", "distinct", "spread"),
    [(9, 4, 3, 3), (6, 2, 3, 2), (4, 1, 3, 1), (2, 2, 2, 2), (1, 1, 1, 1)],
)
def test_keepers_are_spread(
    nodes: int, domains: int, distinct: int, spread: int
) -> None:
    view = roster(nodes, domains)
    for number in range(20):
        keepers = KeeperChoice(view).keepers_of(f"runner-{number}", 3)
        assert len(set(keepers)) == distinct
        of = {k: view.members[k.vm].info.failure_domain for k in keepers}
        assert len(set(of.values())) == spread


def test_one_change_moves_few_lots() -> None:
    before = KeeperChoice(roster(60, 6))
    after = KeeperChoice(roster(61, 6))
    names = [f"runner-{n}" for n in range(200)]
    moved = sum(
        a != b
        for name in names
        for a, b in zip(
            before.keepers_of(name, 3), after.keepers_of(name, 3), strict=True
        )
    )
    assert moved < 3 * 200 * 2 / 60  # twice the even share


def warm(window: int = 16) -> Warmth:
    warmth = Warmth(2, 16)
    warmth.see_incarnation("1")
    warmth.note("1", is_cold=False)
    while warmth.window < window:
        warmth.complete("1", 1)
    return warmth


def test_window_doubles_by_rounds_of_the_same_incarnation() -> None:
    warmth = warm(window=2)
    windows = []
    for _ in range(14):
        warmth.complete("1", warmth.window)
        windows.append(warmth.window)
    assert windows == [2, *[4] * 4, *[8] * 8, 16]
    warmth.complete("other", 1)
    assert warmth.window == 16


def test_only_a_server_said_to_be_warm_grows() -> None:
    warmth = Warmth(2, 16)
    warmth.see_incarnation("1")
    for _ in range(9):
        warmth.complete("1", 1)
    assert warmth.is_cold


def test_restart_and_old_incarnations() -> None:
    warmth = warm()
    assert warmth.see_incarnation("2")
    assert warmth.is_cold
    assert not warmth.see_incarnation("1")
    warmth.complete("2", 1)
    assert warmth.is_cold, "a warm report of the old incarnation counted"


def test_a_late_state_does_not_undo_a_fall() -> None:
    warmth = warm()
    late = ("1", warmth.falls, 16)
    warmth.fall("said to be cold")
    warmth.note("1", is_cold=False)
    warmth.merge(*late)
    assert warmth.is_cold


def test_slow_first_tokens_are_seen_against_the_usual() -> None:
    warmth = warm()
    assert not any(warmth.is_slow(0.1, 5.0) for _ in range(50))
    assert not warmth.is_slow(0.15, 5.0)
    assert warmth.is_slow(1.5, 5.0)


def test_rate_is_that_of_the_last_seconds() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = ServiceRate()
        assert rate.per_s == 0
        for _ in range(20):
            clock.tick(0.5)
            rate.add()
        assert rate.per_s == pytest.approx(2.0)
