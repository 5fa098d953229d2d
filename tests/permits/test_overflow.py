"""Tests of a server that turns cold while one lot runs too much for it."""

from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from tests.permits.driver import Driver
from tests.permits.fakes import Cluster, server

NAME = "runner-1"
COLD = 3


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time("2026-01-01") as factory:
        assert isinstance(factory, FrozenDateTimeFactory)
        yield factory


def acquire(driver: Driver, count: int) -> None:
    nodes = driver.cluster.live()
    for number in range(count):
        driver.acquire(nodes[number % len(nodes)], NAME)
        driver.cluster.deliver_all()
    driver.dispatch()


def warm_with_nine(clock: FrozenDateTimeFactory) -> Driver:
    """Returns a warm server that runs nine requests, three in each lot."""
    driver = Driver(Cluster(server(NAME, cold=COLD, warm=12)), clock)
    driver.cluster.settle(clock, 3)
    driver.cluster.engines[NAME].warm_up()
    for _ in range(30):
        acquire(driver, 1)
        driver.finish_all()
        driver.cluster.settle(clock, 0.25)
    for _ in range(9):
        acquire(driver, 1)
        driver.cluster.settle(clock, 0.5)
        driver.dispatch()
        driver.cluster.first_token(*driver.running[-1])
        driver.cluster.settle(clock, 0.5)
    assert len(driver.running) == 9
    return driver


def lot_of(driver: Driver, permit_id: str) -> int:
    for node in driver.cluster.live():
        for keeper in node.node.keepers.values():
            permit = keeper.share.find(permit_id)
            if permit is not None:
                return permit.lot.number
    raise AssertionError(f"{permit_id} is not out")


def test_other_lots_wait_for_an_overfull_one(
    clock: FrozenDateTimeFactory,
) -> None:
    driver = warm_with_nine(clock)
    cluster = driver.cluster
    full = lot_of(driver, driver.running[0][1].permit_id)
    for node, permit in list(driver.running):
        if lot_of(driver, permit.permit_id) != full:
            driver.running.remove((node, permit))
            cluster.finish(node, permit)
    old = len(driver.running)
    assert old >= COLD
    cluster.engines[NAME].cool_down()
    cluster.settle(clock, 2)
    acquire(driver, 6)
    cluster.settle(clock, 2)
    driver.dispatch()
    assert len(cluster.engines[NAME].running) == old
    for node, permit in driver.running[1:]:
        cluster.finish(node, permit)
    del driver.running[1:]
    cluster.settle(clock, 2)
    driver.dispatch()
    assert len(cluster.engines[NAME].running) == COLD
