"""Graceful shutdown cuts nothing, also when all nodes are replaced."""

import threading
import time

import pytest

from tests.faults import oracle
from tests.faults.load import WHOLE
from tests.faults.steps import Step, reach
from tests.faults.world import PROBE_TEAM, World, wait_for

pytestmark = [pytest.mark.processes, pytest.mark.timeout(120)]
SEED = 4
LONG = 400  # tokens, so that a stream outlives the second signal
DRAIN_TIMEOUT_S = 20.0
REACH_TIMEOUT_S = 8.0
STOP_NOW = "--second-signal-stops"


def test_rolling_restart_under_load(world: World) -> None:
    print(f"seed {SEED}, records in {world.deployment.directory}")
    since = oracle.mark(world)
    load = world.load(SEED)
    load.start()
    try:
        for node in world.deployment.nodes.values():
            node.process.terminate()
            assert node.process.wait(DRAIN_TIMEOUT_S) == 0
            node.start()
            node.wait_ready(DRAIN_TIMEOUT_S)
    finally:
        got = load.stop()
    assert [item for item in got if item.outcome != WHOLE] == []
    assert oracle.violations(world, since, got) == []
    world.is_broken = False


def test_second_signal_cuts_nothing_by_itself(world: World) -> None:
    since = oracle.mark(world)
    place = reach(world, Step.MID_STREAM)
    node = world.deployment.nodes[place.node]
    node.process.terminate()
    wait_for(lambda: _is_leaving(world, place.node), 5.0, "leaving")
    node.process.terminate()
    (got,) = place.finish()
    assert (got.outcome, got.resumes) == (WHOLE, 0)
    assert node.process.wait(DRAIN_TIMEOUT_S) == 0
    world.wait_healthy()
    assert oracle.violations(world, since, [got]) == []
    world.is_broken = False


def test_second_signal_ends_at_once_if_told_so(world: World) -> None:
    vm = world.plan.node_names()[0]
    node = world.deployment.nodes[vm]
    node.process.stop()
    settings = str(world.deployment.directory / f"{vm}.json")
    node.process.start(
        "-m", "savorylift", "node", "--settings", settings, STOP_NOW
    )
    node.wait_ready(DRAIN_TIMEOUT_S)
    caller = world.caller(PROBE_TEAM)
    caller.use_only(node.caller_url)
    event = threading.Event()
    thread = threading.Thread(
        target=caller.stream, args=(next(world.numbers), LONG, {0: event})
    )
    thread.start()
    assert event.wait(REACH_TIMEOUT_S)
    node.process.terminate()
    wait_for(lambda: _is_leaving(world, vm), REACH_TIMEOUT_S, "leaving")
    told_s = time.monotonic()
    node.process.terminate()
    assert node.process.wait(DRAIN_TIMEOUT_S) != 0
    assert time.monotonic() - told_s < 1.0
    thread.join()
    world.wait_healthy()
    world.is_broken = False


def _is_leaving(world: World, vm: str) -> bool:
    status = world.status(vm)
    return status is not None and status["phase"] in ("leaving", "draining")
