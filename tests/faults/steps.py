"""Steps of a request's, an order's or a node's life, and how each is seen.

Every step is reached by an event that shows outside the nodes.
"""

import base64
import enum
import threading
import uuid
from collections.abc import Callable
from typing import NamedTuple

from savorylift.log_service.log import CLAIMS_STREAM, RULES_STREAM
from tests.demo.callers import new_key
from tests.faults.load import Got
from tests.faults.world import (
    PROBE_TEAM,
    World,
    wait_for,
)

REACH_TIMEOUT_S = 8.0
DRAIN_TIMEOUT_S = 20.0
LENGTH = 60


class Step(enum.StrEnum):
    """Where a fault strikes."""

    RECEIVED = "request received"
    PERMIT_HELD = "permit held"
    DISPATCHED = "dispatched"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    LAST_TOKEN = "last token before the end mark"
    CLAIM_APPENDED = "claim appended"
    CALL_SENT = "call sent"
    REFUSAL_WRITTEN = "refusal written"
    ORDER_PUBLISHED = "order published"
    ORDER_IN_FORCE = "order in force"
    START_UP = "start-up"
    DRAIN_BEGUN = "drain begun"


TOKEN_OF_STEP = {
    Step.FIRST_TOKEN: 0,
    Step.MID_STREAM: LENGTH // 2,
    Step.LAST_TOKEN: LENGTH - 1,
}


class Place(NamedTuple):
    """What a step was reached at, for a fault to strike there.

    Attributes:
        node: VM of a node.
        server: A backend server.
        finish: Waits for what the step began; returns what callers got.
    """

    node: str
    server: str
    finish: Callable[[], list[Got]]


def reach(world: World, step: Step) -> Place:
    """Brings the world to a step and returns where it is."""
    match step:
        case Step.ORDER_PUBLISHED | Step.ORDER_IN_FORCE:
            return _order(world, step)
        case Step.START_UP:
            return _start_up(world)
        case Step.DRAIN_BEGUN:
            return _drain(world)
        case Step.REFUSAL_WRITTEN:
            return _refusal(world)
        case Step.CLAIM_APPENDED | Step.CALL_SENT:
            return _call(world, step)
        case _:
            return _stream(world, step)


def _stream(world: World, step: Step) -> Place:
    caller = world.caller(PROBE_TEAM)
    number = next(world.numbers)
    index = TOKEN_OF_STEP.get(step)
    event = threading.Event()
    reached = {} if index is None else {index: event}
    got: list[Got] = []
    before = _probes(world)

    def work() -> None:
        got.append(caller.stream(number, LENGTH, reached))

    thread = threading.Thread(target=work)
    thread.start()
    wait_for(lambda: caller.pool.last_address, REACH_TIMEOUT_S, step)
    node = world.node_at(caller.pool.last_address)
    if step is Step.RECEIVED:
        wait_for(lambda: _in_flight(world, node), REACH_TIMEOUT_S, step)
    elif step is Step.PERMIT_HELD:
        wait_for(lambda: _permits(world, node), REACH_TIMEOUT_S, step)
    else:
        wait_for(lambda: _probes(world) - before, REACH_TIMEOUT_S, step)
    if index is not None:
        assert event.wait(REACH_TIMEOUT_S), step
    found = sorted(_probes(world) - before)
    server = found[0][0] if found else world.plan.runner_names()[0]

    def finish() -> list[Got]:
        thread.join()
        return got

    return Place(node, server, finish)


def _call(world: World, step: Step) -> Place:
    caller = world.caller(PROBE_TEAM)
    number, key = next(world.numbers), new_key()
    got: list[Got] = []
    encoded = base64.b64encode(uuid.UUID(key).bytes).decode()

    def work() -> None:
        got.append(caller.call("POST", number, key))
        got.append(caller.call("POST", number, key))

    def is_claimed() -> bool:
        records = world.deployment.log.seen(stream=CLAIMS_STREAM)["records"]
        return any(encoded in record["body"] for record in records[-50:])

    def ran_on() -> list[str]:
        return [
            name
            for name, instance in world.deployment.instances.items()
            if key in instance.seen()["runs_by_key"]
        ]

    thread = threading.Thread(target=work)
    thread.start()
    if step is Step.CLAIM_APPENDED:
        wait_for(is_claimed, REACH_TIMEOUT_S, step)
    else:
        wait_for(ran_on, REACH_TIMEOUT_S, step)
    servers = ran_on() or world.plan.instance_names()
    node = world.node_at(caller.pool.last_address)

    def finish() -> list[Got]:
        thread.join()
        return got

    return Place(node, servers[0], finish)


def _refusal(world: World) -> Place:
    node = world.plan.node_names()[0]
    caller = world.caller("nobody", first=node)
    got = caller.stream(next(world.numbers), LENGTH)
    assert got.ending, got
    node = world.node_at(got.attempts[-1].address)
    return Place(node, world.plan.runner_names()[0], lambda: [got])


def _order(world: World, step: Step) -> Place:
    domain = world.plan.failure_domains[0]
    log = world.deployment.log
    before = log.seen()["next_offsets"][RULES_STREAM]
    thread = threading.Thread(target=world.order_out, args=(domain,))
    thread.start()
    wait_for(
        lambda: log.seen()["next_offsets"][RULES_STREAM] > before,
        REACH_TIMEOUT_S,
        step,
    )
    if step is Step.ORDER_IN_FORCE:
        thread.join()

    def finish() -> list[Got]:
        thread.join()
        return []

    return Place(
        world.plan.node_names()[0], world.servers_in(domain)[0], finish
    )


def _start_up(world: World) -> Place:
    vm = world.plan.node_names()[0]
    node = world.deployment.nodes[vm]
    node.process.kill()
    node.start()
    wait_for(lambda: world.status(vm), REACH_TIMEOUT_S, "operators answered")
    return Place(vm, world.plan.runner_names()[0], list)


def _drain(world: World) -> Place:
    vm = world.plan.node_names()[0]
    node = world.deployment.nodes[vm]
    node.process.terminate()

    def has_begun() -> bool:
        status = world.status(vm)
        return status is None or status["phase"] in ("leaving", "draining")

    wait_for(has_begun, REACH_TIMEOUT_S, Step.DRAIN_BEGUN)

    def finish() -> list[Got]:
        node.process.wait(DRAIN_TIMEOUT_S)
        return []

    return Place(vm, world.plan.runner_names()[0], finish)


def _probes(world: World) -> set[tuple[str, str]]:
    """Returns the dispatches of the probes' team by server."""
    return {
        (name, str(item["generation_id"]))
        for name, runner in world.deployment.runners.items()
        for item in runner.seen()["dispatches"][-40:]
        if item["team"] == PROBE_TEAM
    }


def _in_flight(world: World, vm: str) -> bool:
    status = world.status(vm)
    return status is not None and status["in_flight"] > 0


def _permits(world: World, vm: str) -> bool:
    status = world.status(vm)
    return status is not None and status["permits"]["held"] > 0
