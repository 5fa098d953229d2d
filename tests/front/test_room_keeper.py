"""Tests of fleets in which one node keeps the room of engines."""

import time

import pytest

from savorylift.exchange import metrics
from savorylift.rooms import client as client_module
from savorylift.rooms.keeper_choice import MIN_NODES
from tests.front.node_fleet import NodeFleet
from tests.harness.virtual_time import run_in_virtual_time

SERVICE = "pool"
CALLS_S = 4.0
PER_S = 20.0


def count(outcome: str) -> float:
    """Returns how many generations had an outcome so far."""
    return metrics.ROOMS.labels(outcome).value


def find_keeper(fleet: NodeFleet) -> int:
    """Returns the index of the node that the first node would ask."""
    ip = fleet.nodes[0]._streams.rooms.client._choice.find(SERVICE)
    assert ip is not None
    return fleet.ips.index(ip)


def test_generations_are_placed_by_the_keeper(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 2)
        async with fleet.running():
            await fleet.call_for("/stream/x", CALLS_S, PER_S)
            before = count("granted")
            since_s = time.monotonic()
            await fleet.call_for("/stream/x", CALLS_S, PER_S)
            granted = count("granted") - before
        endings = fleet.endings_since(since_s)
        assert {ending.status for ending in endings} == {200}
        assert granted >= 0.9 * len(endings)

    run_in_virtual_time(monkeypatch, scenario)


def test_fleet_whose_keeper_falls_silent_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES + 1, 2)
        async with fleet.running():
            await fleet.call_for("/stream/x", CALLS_S, PER_S)
            keeper = find_keeper(fleet)
            fleet.cut_off(keeper)
            since_s = time.monotonic()
            await fleet.call_for("/stream/x", CALLS_S, PER_S)
        endings = fleet.endings_since(since_s)
        assert {ending.status for ending in endings} == {200}
        longest_s = 2 * sum(client_module.ASK_TIMEOUTS_S)
        assert all(ending.took_s < 1.0 + longest_s for ending in endings)

    run_in_virtual_time(monkeypatch, scenario)


def test_nodes_divide_a_service_alike_whatever_they_counted_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 2)
        async with fleet.running():
            divided = [node._streams.rooms.groups for node in fleet.nodes]
            # One node has seen it with more engines than the others.
            monkeypatch.setattr(divided[0], "_count_engines", lambda _: 48)
            assert divided[0].count(SERVICE) == 2
            for groups in divided:
                monkeypatch.setattr(groups, "_count_engines", lambda _: 44)
            assert divided[1].count(SERVICE) == 1
            await fleet.call_for("/stream/x", CALLS_S, PER_S)
            assert {groups.count(SERVICE) for groups in divided} == {2}
        assert {ending.status for ending in fleet.endings} == {200}

    run_in_virtual_time(monkeypatch, scenario)
