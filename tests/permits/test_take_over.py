"""Tests of permits whose streams are resumed by another node."""

from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.permits.gate import Permit
from tests.permits.driver import Driver
from tests.permits.fakes import Cluster, FakeNode, server

NAME = "runner-1"


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time("2026-01-01") as factory:
        assert isinstance(factory, FrozenDateTimeFactory)
        yield factory


def running(clock: FrozenDateTimeFactory) -> tuple[Driver, FakeNode, Permit]:
    """Returns a permit whose holder is its keeper too."""
    driver = Driver(Cluster(server(NAME, cold=1)), clock)
    cluster = driver.cluster
    cluster.settle(clock)
    seen_by = cluster.live()[0].node
    keeper = cluster.nodes[seen_by.keepers_of(NAME)[0]]
    driver.acquire(keeper, NAME)
    cluster.settle(clock)
    driver.dispatch()
    _, permit = driver.running[0]
    return driver, keeper, permit


def test_stream_goes_on_though_holder_and_keeper_are_dead(
    clock: FrozenDateTimeFactory,
) -> None:
    driver, keeper, permit = running(clock)
    cluster = driver.cluster
    driver.kill(keeper)
    resumer = cluster.live()[0]
    resumer.node.holder.holdings.take_over(permit)
    assert resumer.node.holder.holdings.is_held(permit.permit_id)
    cluster.gone(keeper.ref)
    cluster.settle(clock, 10.0)
    assert resumer.node.holder.holdings.is_held(permit.permit_id)
    driver.acquire(cluster.live()[1], NAME)  # the one place is still taken
    cluster.settle(clock)
    driver.dispatch()
    driver.assert_safe()
    cluster.finish(resumer, permit)
    cluster.settle(clock, 10.0)
    driver.dispatch()
    assert len(driver.running) == 2


def test_newest_resumption_holds_the_permit(
    clock: FrozenDateTimeFactory,
) -> None:
    driver, keeper, permit = running(clock)
    cluster = driver.cluster
    first, second = (n for n in cluster.live() if n is not keeper)
    first.node.holder.holdings.take_over(permit)
    clock.tick(0.1)
    second.node.holder.holdings.take_over(permit)
    while cluster.pool:  # the older message arrives last
        cluster.deliver(len(cluster.pool) - 1)
    cluster.settle(clock)
    held = [
        n
        for n in cluster.live()
        if n.node.holder.holdings.is_held(permit.permit_id)
    ]
    assert held == [second]
