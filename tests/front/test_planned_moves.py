"""Tests of fleets in which one node plans moves off engines that leave."""

import asyncio
from collections.abc import Callable

import pytest

from savorylift.exchange import metrics
from savorylift.fleet.move_messages import MoveOutcome
from savorylift.moves import metrics as move_metrics
from savorylift.moves import service_moves
from savorylift.moves.move_plan import plan_moves
from savorylift.moves.service_moves import (
    DecidedMoves,
    PlanConditions,
    ServiceMoves,
)
from savorylift.rooms.keeper_choice import MIN_NODES
from tests.front.node_fleet import NodeFleet
from tests.harness.virtual_time import run_in_virtual_time

SERVICE = "pool"
STREAMS = 9
EVENTS = 150
# A move takes three of them here, of which the last stops the run.
COPY_S = 0.03
NOTICE_S = 1.6


def find_planner(fleet: NodeFleet) -> int:
    """Returns the index of the node that the first node would ask."""
    ip = fleet.nodes[0]._streams.moves.client.find_planner(SERVICE)
    assert ip is not None
    return fleet.ips.index(ip)


async def leave_with_streams(
    fleet: NodeFleet,
    on_notice: Callable[[NodeFleet], None],
    path: str = "/stream/x",
    notice_s: float = NOTICE_S,
) -> int:
    """Takes an engine away that runs streams of several nodes.

    Returns:
        How many streams it ran when it gave notice.
    """
    for engine in fleet.pool:
        engine.events_per_stream = EVENTS
        engine.copy_delay_s = COPY_S
    planner = find_planner(fleet)
    ips = [ip for n, ip in enumerate(fleet.ips) if n != planner]
    for ip in ips[:STREAMS]:
        fleet.start_call(ip, path)
    await asyncio.sleep(0.5)
    leaving = max(fleet.pool, key=lambda engine: len(engine.streamed_events))
    running = len(leaving.streamed_events)
    on_notice(fleet)
    fleet.publish_entry(leaving, SERVICE, "draining")
    await asyncio.sleep(notice_s)
    fleet.remove_entry(leaving)
    leaving.close_all()
    await asyncio.sleep(3.0)
    return running


def moved() -> float:
    """Returns how many runs were moved so far."""
    return metrics.MOVES.labels("moved").value


def turns(kind: str) -> float:
    """Returns how many turns of a kind there were so far."""
    return move_metrics.MOVE_TURNS.labels(kind).value


def assert_all_are_served(fleet: NodeFleet) -> None:
    """Checks that all streams were complete."""
    assert [ending.status for ending in fleet.endings] == [200] * STREAMS


def test_runs_of_all_nodes_move_as_planned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 3)
        async with fleet.running():
            moved_before, before = moved(), turns(MoveOutcome.GO)
            running = await leave_with_streams(fleet, lambda _: None)
        assert running > 0
        assert moved() - moved_before == running
        assert turns(MoveOutcome.GO) - before == running
        assert_all_are_served(fleet)

    run_in_virtual_time(monkeypatch, scenario)


def test_runs_move_without_a_planner_that_falls_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES + 1, 3)
        async with fleet.running():
            moved_before, before = moved(), turns("unplanned")
            running = await leave_with_streams(
                fleet, lambda fleet: fleet.cut_off(find_planner(fleet))
            )
        # Some may have ended before their turn came.
        assert running >= turns("unplanned") - before > 0
        assert moved() > moved_before
        assert_all_are_served(fleet)

    run_in_virtual_time(monkeypatch, scenario)


def test_nodes_that_know_no_planner_share_the_links_with_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 3)
        async with fleet.running():
            for node in fleet.nodes[::2]:
                node._streams.moves.turns._client = None
            moved_before = moved()
            running = await leave_with_streams(fleet, lambda _: None)
        # Some may have ended before their turn came.
        assert running > 0
        assert moved() > moved_before
        assert_all_are_served(fleet)

    run_in_virtual_time(monkeypatch, scenario)


def test_runs_that_cannot_be_saved_are_made_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    given_up = move_metrics.RUNS_GIVEN_UP.labels("time")
    # Any copy ends too late.
    monkeypatch.setattr(service_moves, "NOTICE_S", 0.01)

    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 3)
        async with fleet.running():
            moved_before, before = moved(), given_up.value
            running = await leave_with_streams(
                fleet, lambda _: None, "/resumable/x"
            )
        assert running > 0
        assert given_up.value - before == running
        assert moved() == moved_before
        assert_all_are_served(fleet)

    run_in_virtual_time(monkeypatch, scenario)


def test_runs_that_may_run_once_only_stay_though_they_are_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(service_moves, "NOTICE_S", 0.01)

    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 3)
        async with fleet.running():
            moved_before = moved()
            running = await leave_with_streams(fleet, lambda _: None)
        # The engine stays longer than expected.
        assert moved() - moved_before == running > 0
        assert_all_are_served(fleet)

    run_in_virtual_time(monkeypatch, scenario)


def test_run_whose_engine_stops_before_its_turn_goes_on_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def decide(self: ServiceMoves, conditions: PlanConditions) -> DecidedMoves:
        return DecidedMoves(plan_moves([], {}, {}), [])

    monkeypatch.setattr(ServiceMoves, "decide", decide)

    async def scenario() -> None:
        fleet = NodeFleet(MIN_NODES, 3)
        async with fleet.running():
            moved_before = moved()
            running = await leave_with_streams(
                fleet, lambda _: None, "/resumable/x", notice_s=0.5
            )
        assert running > 0
        assert moved() == moved_before
        # They would end too late if their nodes waited for a move.
        assert_all_are_served(fleet)

    run_in_virtual_time(monkeypatch, scenario)
