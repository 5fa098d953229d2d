"""Every fault at every step of a permit's life."""

from collections.abc import Callable, Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.permits.options import PermitOptions
from tests.permits.driver import Driver
from tests.permits.fakes import Cluster, FakeNode, server

CFG = PermitOptions(load_lag_s=0.5, cancel_after_s=1.0, query_after_s=1.0)
NAME = "runner-1"

Step = Callable[[Driver, FakeNode], None]
Fault = Callable[[Driver, FakeNode, FakeNode], None]


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time("2026-01-01") as factory:
        assert isinstance(factory, FrozenDateTimeFactory)
        yield factory


def asked(driver: Driver, holder: FakeNode) -> None:
    driver.acquire(holder, NAME)


def granted(driver: Driver, holder: FakeNode) -> None:
    asked(driver, holder)
    driver.cluster.deliver(0)


def dispatched(driver: Driver, holder: FakeNode) -> None:
    asked(driver, holder)
    driver.cluster.deliver_all()
    driver.dispatch()
    assert driver.running


def returned(driver: Driver, holder: FakeNode) -> None:
    dispatched(driver, holder)
    driver.finish_all()
    assert driver.cluster.pool


def handed_over(driver: Driver, holder: FakeNode) -> None:
    dispatched(driver, holder)
    cluster = driver.cluster
    before = keeper_of(cluster).ref
    for number in range(3, 60):
        cluster.join(f"vm-{number}")
        for node in cluster.live():
            cluster.sync(node)
        if keeper_of(cluster).ref != before:
            break
    cluster.tick()
    for _ in range(len(cluster.pool) // 2):
        cluster.deliver(0)


def keeper_of(cluster: Cluster) -> FakeNode:
    seen_by = cluster.live()[0].node
    return cluster.nodes[seen_by.keepers_of(NAME)[0]]


def holder_killed(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    d.kill(holder)


def holder_frozen(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    holder.is_frozen = True


def keeper_killed(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    d.kill(keeper)


def both_killed(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    d.kill(keeper)
    if holder is not keeper:
        d.kill(holder)


def keeper_restarted(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    d.cluster.join(keeper.ref.vm)


def link_cut_one_way(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    cut(d.cluster, {(keeper.ref.vm, holder.ref.vm)})


def minority(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    vms = [vm for vm in d.cluster.roster.members if vm != keeper.ref.vm]
    pairs = {(vm, keeper.ref.vm) for vm in vms}
    cut(d.cluster, pairs | {(b, a) for a, b in pairs})


def cut(cluster: Cluster, pairs: set[tuple[str, str]]) -> None:
    cluster.cut |= {(a, b) for a, b in pairs if a != b}
    cluster.pool = [
        item
        for item in cluster.pool
        if (item[0].vm, item[1].vm) not in cluster.cut
    ]


def engine_cold(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    d.cluster.engines[NAME].cool_down()


def engine_killed(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    d.cluster.engines[NAME].restart()


def engine_reclaimed(d: Driver, holder: FakeNode, keeper: FakeNode) -> None:
    engine_killed(d, holder, keeper)
    d.cluster.settle(d.clock, 0.25)
    engine_killed(d, holder, keeper)


STEPS: list[Step] = [asked, granted, dispatched, returned, handed_over]
FAULTS: list[Fault] = [
    holder_killed,
    holder_frozen,
    keeper_killed,
    both_killed,
    keeper_restarted,
    link_cut_one_way,
    minority,
    engine_cold,
    engine_killed,
    engine_reclaimed,
]


@pytest.mark.parametrize("is_warm", [False, True])
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_at_step(
    clock: FrozenDateTimeFactory,
    step: Step,
    fault: Fault,
    is_warm: bool,  # noqa: FBT001
) -> None:
    driver = Driver(Cluster(server(NAME, 2, 6), cfg=CFG), clock)
    driver.cluster.settle(clock, 3)
    if is_warm:
        warm_up(driver)
    keeper = keeper_of(driver.cluster)
    holder = next(n for n in driver.cluster.live() if n is not keeper)
    step(driver, holder)
    fault(driver, holder, keeper)
    overload(driver)
    for ref in driver.killed:
        driver.cluster.gone(ref)
    driver.killed.clear()
    overload(driver)
    driver.recover()


def warm_up(driver: Driver) -> None:
    """Completes rounds of work until the whole warm limit is in use."""
    driver.cluster.engines[NAME].warm_up()
    for _ in range(6):
        overload(driver)
        driver.finish_all()
    for _ in range(20):
        driver.dispatch()
        driver.finish_all()
        driver.cluster.settle(driver.clock, 0.25)
    windows = [
        status.window
        for node in driver.cluster.live()
        for status in node.node.status().servers
    ]
    assert set(windows) == {6}


def overload(driver: Driver) -> None:
    """Asks for more than the limit, while messages go on."""
    for node in driver.cluster.live():
        for _ in range(3):
            driver.acquire(node, NAME)
    for _ in range(4):
        driver.cluster.settle(driver.clock, 0.25)
        driver.dispatch()
        for node, permit in driver.running:
            engine = driver.cluster.engines[NAME]
            is_there = permit.stream_id in engine.running
            if node in driver.cluster.live() and is_there:
                driver.cluster.first_token(node, permit)
        driver.assert_safe()
