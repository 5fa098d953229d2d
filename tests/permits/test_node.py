"""Decisions of keepers and holders, one promise at a time."""

from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory
from returns.result import Failure, Success

from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.permits.keeper import Keeper
from savorylift.permits.lots import KeeperChoice
from savorylift.permits.options import PermitOptions
from savorylift.rules.view import BackendServer
from tests.permits.driver import Driver
from tests.permits.fakes import UNUSED, Cluster, FakeNode, request, server

CFG = PermitOptions(load_lag_s=0.5, cancel_after_s=1.0, query_after_s=1.0)


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time("2026-01-01") as factory:
        assert isinstance(factory, FrozenDateTimeFactory)
        yield factory


def started(
    clock: FrozenDateTimeFactory,
    rule: BackendServer,
    nodes: int = 3,
    cfg: PermitOptions = CFG,
) -> Driver:
    driver = Driver(Cluster(rule, nodes=nodes, cfg=cfg), clock)
    driver.cluster.settle(clock, 3)
    return driver


def fill(driver: Driver, count: int) -> None:
    nodes = driver.cluster.live()
    for number in range(count):
        driver.acquire(nodes[number % len(nodes)], "runner-1")
        driver.cluster.deliver_all()
    driver.dispatch()
    assert len(driver.running) == count


def refusal(node: FakeNode, permit_id: str) -> Refusal:
    answer = node.answers[permit_id]
    assert isinstance(answer, Failure)
    refused = answer.failure()
    assert isinstance(refused, Refusal)
    return refused


def warmed(clock: FrozenDateTimeFactory, rule: BackendServer) -> Driver:
    driver = started(clock, rule)
    driver.cluster.engines[rule.name].warm_up()
    for _ in range(30):
        driver.acquire(driver.cluster.live()[0], rule.name)
        driver.cluster.settle(clock, 0.25)
        driver.dispatch()
        driver.finish_all()
    return driver


@pytest.mark.parametrize("nodes", [1, 2, 3, 7])
@pytest.mark.parametrize("cold", [1, 2, 5])
def test_any_node_reaches_the_whole_cold_limit(
    clock: FrozenDateTimeFactory, nodes: int, cold: int
) -> None:
    driver = started(clock, server(cold=cold, warm=9), nodes)
    node = driver.cluster.live()[-1]
    for _ in range(cold + 1):
        driver.acquire(node, "runner-1")
        driver.cluster.deliver_all()
    driver.dispatch()
    assert len(driver.running) == cold
    driver.assert_safe()


def test_a_wait_past_the_deadline_is_refused_at_once(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=1))
    node = driver.cluster.live()[0]
    for _ in range(5):
        fill(driver, 1)
        clock.tick(10.0)
        driver.finish_all()
        driver.cluster.deliver_all()
    fill(driver, 1)
    late = request(900)._replace(deadline_s=request(1).deadline_s - 57.0)
    node.node.holder.acquire(late)
    driver.cluster.deliver_all()
    refused = refusal(node, "p900")
    assert (refused.ending, refused.reason) == (Ending.NOT_RUN, Reason.DEADLINE)
    assert refused.retry_after_s == pytest.approx(10.0, rel=0.1)


def test_a_full_queue_refuses_at_once(clock: FrozenDateTimeFactory) -> None:
    cfg = CFG._replace(max_waiting=2)
    driver = started(clock, server(cold=1), cfg=cfg)
    fill(driver, 1)
    node = driver.cluster.live()[0]
    ids = [driver.acquire(node, "runner-1") for _ in range(3)]
    driver.cluster.deliver_all()
    reasons = [refusal(node, i).reason for i in ids if i in node.answers]
    assert reasons == [Reason.QUEUE_FULL]


def test_a_second_candidate_is_used(clock: FrozenDateTimeFactory) -> None:
    cluster = Cluster(server(cold=1), server("runner-2", cold=1), cfg=CFG)
    driver = Driver(cluster, clock)
    cluster.settle(clock, 3)
    for _ in range(2):
        driver.acquire(cluster.live()[0], "runner-1", "runner-2")
        cluster.deliver_all()
    driver.dispatch()
    names = {permit.backend_server for _, permit in driver.running}
    assert names == {"runner-1", "runner-2"}


def test_unreachable_keepers_end_in_a_refusal(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=1))
    node = driver.cluster.live()[0]
    for other in driver.cluster.live():
        driver.cluster.cut.add((other.ref.vm, node.ref.vm))
    driver.acquire(node, "runner-1")
    driver.cluster.settle(clock, 3)
    assert refusal(node, "p1").reason is Reason.KEEPER_UNREACHABLE


@pytest.mark.parametrize("is_frozen", [False, True])
def test_a_lost_grant_is_found_by_asking(
    clock: FrozenDateTimeFactory,
    is_frozen: bool,  # noqa: FBT001
) -> None:
    driver = started(clock, server(cold=1))
    cluster = driver.cluster
    node = cluster.live()[0]
    driver.acquire(node, "runner-1")
    while not any(k.share.held() for k in keepers(cluster)):
        cluster.deliver(0)
    cluster.pool.clear()
    node.node.holder.give_up("p1")
    cluster.pool.clear()
    node.is_frozen = is_frozen
    cluster.settle(clock, 30)
    is_out = any(k.share.held() for k in keepers(cluster))
    assert is_out == is_frozen, "only a live holder's word frees it"


def keepers(cluster: Cluster) -> list[Keeper]:
    nodes = cluster.nodes.values()
    return [k for node in nodes for k in node.node.keepers.values()]


def test_a_frozen_holder_keeps_its_place_until_its_vm_is_gone(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=1))
    cluster = driver.cluster
    keeper = next(n for n in cluster.live() if n.node.keepers)
    holder = next(n for n in cluster.live() if n is not keeper)
    driver.acquire(holder, "runner-1")
    cluster.deliver_all()
    driver.dispatch()
    holder.is_frozen = True
    driver.acquire(keeper, "runner-1")
    cluster.settle(clock, 20)
    assert keeper.permit("p2") is None
    holder.is_dead, holder.is_frozen = True, False
    cluster.gone(holder.ref)
    cluster.settle(clock, 5)
    assert keeper.permit("p2") is not None
    assert not cluster.engines["runner-1"].running


def test_a_resumed_stream_keeps_its_permit(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=1))
    fill(driver, 1)
    cluster = driver.cluster
    lost, permit = driver.running[0]
    resumer = next(n for n in cluster.live() if n is not lost)
    resumer.node.holder.holdings.take_over(permit)
    cluster.settle(clock, 1)
    assert resumer.node.holder.holdings.is_held(permit.permit_id)
    assert not lost.node.holder.holdings.is_held(permit.permit_id)
    driver.running[0] = (resumer, permit)
    resumer.answers[permit.permit_id] = Success(permit)  # needs no answer
    lost.node.holder.holdings.release(permit, UNUSED)
    cluster.settle(clock, 5)
    assert [h for k in keepers(cluster) for h in k.share.held()]
    driver.recover()


def keeper_of(cluster: Cluster, lot: int = 0) -> FakeNode:
    chosen = cluster.live()[0].node.keepers_of("runner-1")
    return cluster.nodes[chosen[lot]]


def test_a_permit_reported_by_two_holders_counts_once(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = warmed(clock, server(cold=2, warm=4, model=None))
    cluster = driver.cluster
    lost, other = keeper_of(cluster), keeper_of(cluster, 1)
    first = next(n for n in cluster.live() if n not in (lost, other))
    for node in (first, lost):
        driver.acquire(node, "runner-1")
        # Asked at the keeper that is lost later.
        sender, _, ask = cluster.pool.pop()
        lost.node.receive(sender, ask)
        cluster.deliver_all()
    driver.dispatch()
    permit = driver.running[0][1]
    assert [p.keeper for _, p in driver.running] == [lost.ref] * 2
    cluster.cut.add((lost.ref.vm, first.ref.vm))  # it never learns
    other.node.holder.holdings.take_over(permit)
    cluster.deliver_all()
    driver.kill(lost)
    cluster.gone(driver.killed.pop())
    cluster.settle(clock, 3)
    for _ in range(3):
        driver.acquire(other, "runner-1")
        cluster.settle(clock, 1)
    driver.dispatch()
    driver.assert_safe()
    assert len(cluster.engines["runner-1"].running) == 4


def test_a_late_grant_of_a_lost_keeper_is_not_used(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=1), nodes=4)
    cluster = driver.cluster
    lost = keeper_of(cluster)
    members = dict(cluster.roster.members)
    del members[lost.ref.vm]
    left = KeeperChoice(cluster.roster._replace(members=members))
    successor = cluster.nodes[left.keepers_of("runner-1", 1)[0]]
    holder, *others = (n for n in cluster.live() if n not in (lost, successor))
    others.append(successor)
    driver.acquire(holder, "runner-1")
    cluster.deliver(0)
    late = cluster.pool.pop(0)
    driver.kill(lost)
    cluster.gone(driver.killed.pop())
    for _ in range(12):  # the holder doesn't see the roster change
        clock.tick(0.25)
        for node in others:  # the holder's own timers are late
            cluster.sync(node)
            node.node.tick()
        cluster.deliver_all()
        cluster.report_loads()
    driver.acquire(others[0], "runner-1")
    cluster.deliver_all()
    driver.dispatch()
    assert len(driver.running) == 1
    cluster.pool.append(late)
    cluster.deliver_all()
    driver.dispatch()
    driver.assert_safe()


def test_a_restart_seen_late_ends_no_lost_work(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=2), nodes=4)
    cluster = driver.cluster
    lost = keeper_of(cluster)
    cluster.engines["runner-1"].restart()
    driver.acquire(lost, "runner-1")
    cluster.deliver_all()
    driver.dispatch()
    assert len(driver.running) == 1
    driver.kill(lost)
    cluster.gone(driver.killed.pop())
    for _ in range(8):  # no load report tells of the restart yet
        clock.tick(0.25)
        for node in cluster.live():
            cluster.sync(node)
        cluster.tick()
        cluster.deliver_all()
    cluster.report_loads()
    for node in cluster.live():
        driver.acquire(node, "runner-1")
        cluster.deliver_all()
    driver.dispatch()
    driver.assert_safe()
    assert len(cluster.engines["runner-1"].running) == 2


def test_a_fall_to_cold_is_told_to_the_other_keepers(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = warmed(clock, server(cold=3, warm=12))
    assert {k.warmth.window for k in keepers(driver.cluster)} == {12}
    node, keeper = next(
        (n, k) for n in driver.cluster.live() for k in n.node.keepers.values()
    )
    engine = driver.cluster.engines["runner-1"]
    engine.restart()
    node.node.load(keeper.name, engine.report())
    driver.cluster.deliver_all()
    assert {k.warmth.window for k in keepers(driver.cluster)} == {3}


@pytest.mark.parametrize(("model", "most"), [("m", 3), (None, 12)])
def test_what_a_silent_restart_lets_through(
    clock: FrozenDateTimeFactory, model: str | None, most: int
) -> None:
    """An engine gets its cold limit at most; a plain service may get more."""
    driver = warmed(clock, server(cold=3, warm=12, model=model))
    driver.cluster.engines["runner-1"].restart()
    for number in range(24):
        node = driver.cluster.live()[number % 3]
        driver.acquire(node, "runner-1")
    driver.cluster.deliver_all()
    driver.dispatch()
    assert len(driver.running) == most


def test_reserved_memory_bounds_a_lot(clock: FrozenDateTimeFactory) -> None:
    rule = server(cold=6, warm=6, kv_tokens=300)
    driver = started(clock, rule, nodes=1)
    node = driver.cluster.live()[0]
    for number, tokens in enumerate([90, 90, 90, 20]):
        node.node.holder.acquire(request(number, tokens=tokens))
    driver.cluster.deliver_all()
    assert node.permit("p2") is not None
    assert node.permit("p3") is None
    first = node.permit("p0")
    assert first is not None
    node.node.holder.holdings.adjust(first, 10)
    driver.cluster.deliver_all()
    assert node.permit("p3") is not None
    node.node.holder.acquire(request(9, tokens=10_000))
    driver.cluster.deliver_all()
    assert node.permit("p9") is None, "no lot is empty"


def test_status_says_what_is_held_and_why(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = started(clock, server(cold=1))
    fill(driver, 1)
    driver.acquire(driver.cluster.live()[0], "runner-1")
    driver.cluster.deliver_all()
    (kept,) = [
        status
        for node in driver.cluster.live()
        for status in node.node.status().servers
    ]
    assert (kept.cold, kept.share, kept.waiting) == (True, 1, 1)
    assert kept.lots[0].held == 1
    assert kept.last_decision == "queued p2: no room"
