"""Nodes that may miss an order, outages of the log, and a baseline."""

import threading
import time
from collections.abc import Iterator

import pytest

from tests.faults import oracle
from tests.faults.conftest import Worlds
from tests.faults.faults import CLOSED_S
from tests.faults.load import WHOLE, Got, Load
from tests.faults.world import World, wait_for

pytestmark = [pytest.mark.processes, pytest.mark.timeout(120)]
SEED = 5
STALE_AFTER_S = 2.0
NOTICE_S = 0.5  # until the test sees what a node says
RECOVERY_S = 10.0
CALLERS = 3
LENGTH = 20
NEVER_S = 60.0


class Direct:
    """Callers that send streams to one node only, until stopped."""

    def __init__(self, world: World, vm: str) -> None:
        """Prepares the callers."""
        self.got: list[Got] = []
        self._world = world
        self._vm = vm
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(CALLERS)
        ]

    def __enter__(self) -> "Direct":
        """Starts the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Lets each finish its request."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        caller = self._world.caller("rota-desk", 3.0)
        caller.use_only(self._world.deployment.nodes[self._vm].caller_url)
        while not self._is_over.is_set():
            number = next(self._world.numbers)
            self.got.append(caller.stream(number, LENGTH))


def test_node_cut_off_refuses_new_work(world: World) -> None:
    since = oracle.mark(world)
    vm = keeper_of_closed(world)
    with Direct(world, vm) as direct:
        stale_s = cut_off_during_an_order(world, vm)
    assert stale_s is not None
    assert stale_s <= STALE_AFTER_S + NOTICE_S
    finish(world)
    assert oracle.violations(world, since, direct.got) == []
    world.is_broken = False


def test_without_the_rule_the_oracle_sees_late_work(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    directory = tmp_path_factory.mktemp("never-stale")
    timing: dict[str, object] = {"stale_after_s": NEVER_S}
    with World(directory, timing=timing) as never_stale:
        since = oracle.mark(never_stale)
        vm = keeper_of_closed(never_stale)
        with Direct(never_stale, vm):
            assert cut_off_during_an_order(never_stale, vm) is None
        records = oracle.mark(never_stale).records
        orders = never_stale.orders
        assert list(oracle.late_dispatches(since.records, orders)) == []
        assert list(oracle.late_dispatches(records, orders)) != []


def test_frozen_node_that_wakes_after_an_order(world: World) -> None:
    since = oracle.mark(world)
    vm = keeper_of_closed(world)
    process = world.deployment.nodes[vm].process
    with Direct(world, vm) as direct:
        process.freeze()
        ran = world.order_out(world.plan.failure_domains[0])
        assert "accepted at" in ran.stdout, ran.stderr
        left_s = world.orders[-1].accepted_s + CLOSED_S - time.time()
        time.sleep(max(0.0, left_s))
        process.thaw()
        time.sleep(1.0)
    finish(world)
    assert oracle.violations(world, since, direct.got) == []
    world.is_broken = False


def test_log_outage_stops_no_generation(world: World) -> None:
    since = oracle.mark(world)
    domain = world.plan.failure_domains[0]
    load = generations(world)
    load.start()
    try:
        world.deployment.log.control(outage=True)
        time.sleep(STALE_AFTER_S * 2)
        ran = world.order_out(domain)
        assert "applied but not yet accepted" in ran.stdout, ran.stderr
        assert "accepted at" not in ran.stdout
        time.sleep(CLOSED_S)
        world.deployment.log.control(outage=False)
        wait_for(lambda: is_out_everywhere(world), RECOVERY_S, "accepted")
    finally:
        world.deployment.log.control(outage=False)
        got = load.stop()
    finish(world)
    assert len(got) > CALLERS
    assert [item for item in got if item.outcome != WHOLE] == []
    assert oracle.violations(world, since, got) == []
    world.is_broken = False


@pytest.fixture(autouse=True)
def _thaw(_worlds: Worlds) -> Iterator[None]:
    """Lets frozen nodes go on, so that they can be ended."""
    yield
    if _worlds.is_running:
        for node in _worlds.current_or_broken().deployment.nodes.values():
            node.process.thaw()


def keeper_of_closed(world: World) -> str:
    """Returns a node that grants permits for a server of the domain."""
    closed = world.servers_in(world.plan.failure_domains[0])
    for vm in world.plan.node_names():
        status = world.status(vm)
        servers = status["permits"]["servers"] if status else []
        if any(
            item["backend_server"] in closed
            and item["backend_server"].startswith("runner")
            and item["share"] > 0
            for item in servers
        ):
            return vm
    raise AssertionError("no keeper found")


def cut_off_during_an_order(world: World, vm: str) -> float | None:
    """Leaves one node without log and peers while an order is accepted.

    Returns:
        Seconds until it said that it takes no new work; None if it never
        did.
    """
    nodes = world.deployment.nodes
    others = [node for name, node in nodes.items() if name != vm]
    link = world.deployment.links[f"{vm}>log"]
    stale_s: float | None = None
    try:
        link.cut()
        for other in others:
            other.process.freeze()
        began_s = time.monotonic()
        ordered = threading.Thread(
            target=world.order_out, args=(world.plan.failure_domains[0],)
        )
        ordered.start()
        while time.monotonic() - began_s < CLOSED_S + RECOVERY_S:
            if stale_s is None and not nodes[vm].is_ready():
                stale_s = time.monotonic() - began_s
            if not ordered.is_alive() and is_past_bound(world):
                break
            time.sleep(0.05)
        ordered.join()
        time.sleep(1.0)
    finally:
        for other in others:
            other.process.thaw()
        link.heal()
    return stale_s


def is_past_bound(world: World) -> bool:
    """Returns True once the order's bound has passed by a second."""
    accepted_s = world.orders[-1].accepted_s if world.orders else time.time()
    return time.time() > accepted_s + CLOSED_S


def is_out_everywhere(world: World) -> bool:
    """Returns True if all nodes have an order that is on the log."""
    statuses = [world.status(vm) for vm in world.deployment.nodes]
    return all(
        status is not None
        and any(order["offset"] >= 0 for order in status["out_of_service"])
        for status in statuses
    )


def generations(world: World) -> Load:
    """Returns a load of generations alone."""
    return world.load(SEED, CALLERS, kinds=("stream", "whole"))


def finish(world: World) -> None:
    """Brings back what is out and waits until the world is healthy."""
    world.close_orders(CLOSED_S)
    world.wait_healthy()
