"""Every fault at every step of a change, and pairs of faults from a seed.

A step claims what it knows; when the faults are over, the log must bear
the claim out and every node must mean what the oracle means.
"""

import itertools
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.log_service.log import RULES_STREAM
from savorylift.rules.inbox import OrderAction, OrderState, SubmitOrder
from savorylift.rules.operations import (
    NotWritten,
    OrderAccepted,
    OrderRequest,
    Published,
    PublishOutcome,
    PublishRequest,
    RaceLost,
    Unknown,
    order,
    publish,
)
from savorylift.rules.pending import PendingOrders
from tests.log_service.fakes import AppendFault
from tests.rules.fakes import Fleet
from tests.rules.naive import AnySnapshotStream, LastWriteWinsFold
from tests.rules.oracle import interpret

PAIR_SEED = 20300101
PAIRS = 60
DOMAIN = "failure_domain anjara in region jo # noor: first\n"
BASE = DOMAIN + "set a 0 # noor: base\n"


class Scene(NamedTuple):
    """Three nodes in step with the log, and a paused clock."""

    fleet: Fleet
    clock: FrozenDateTimeFactory

    def pause(self, seconds: float) -> None:
        self.clock.tick(seconds)

    def publish(self, value: int, author: str = "noor") -> PublishOutcome:
        text = DOMAIN + f"set a {value} # {author}: change\n"
        deadline_s = time.monotonic() + 1
        req = PublishRequest(text, "r", author, deadline_s)
        return publish(self.fleet.log, req, self.pause)

    def run(self, rounds: int = 4) -> None:
        for _ in range(rounds):
            self.clock.tick(0.5)
            self.fleet.poll_all()
            for node in self.fleet.nodes.values():
                node.node.tick()

    def snapshot(self, vm: str = "e1") -> None:
        entries = self.fleet.nodes[vm].stream.snapshot()
        self.fleet.log.append(RULES_STREAM, entries)

    def trim(self, kept: int) -> None:
        log = self.fleet.log
        log.trim(RULES_STREAM, log.tail(RULES_STREAM) - kept)


Check = Callable[[], None]
Step = Callable[[Scene], Check]
Fault = Callable[[Scene], Check]


# Steps


def published(scene: Scene) -> Check:
    outcome = scene.publish(1)
    scene.run()

    def check() -> None:
        records = scene.fleet.log.all_records(RULES_STREAM)
        winners = dict(interpret(records, len(records)).winners)
        authors = [r.body for r in records if '"noor"' in r.body]
        if isinstance(outcome, Published):
            assert outcome.version in winners.values()
        elif isinstance(outcome, RaceLost):
            assert outcome.winners[0].author == "tariq"
        elif isinstance(outcome, NotWritten):
            assert len(authors) == 1  # the base alone
        else:
            assert isinstance(outcome, Unknown)

    return check


def ordered_on_log(scene: Scene) -> Check:
    deadline_s = time.monotonic() + 1
    req = OrderRequest(
        OrderAction.OUT, "anjara", True, "noor", "works", deadline_s
    )
    outcome = order(scene.fleet.log, req, scene.pause)
    scene.run()

    def check() -> None:
        for node in scene.fleet.nodes.values():
            is_out = "anjara" in node.view().out_of_service
            if isinstance(outcome, OrderAccepted):
                assert is_out
            elif isinstance(outcome, NotWritten):
                assert not is_out
            else:
                assert isinstance(outcome, Unknown)

    return check


def ordered_on_node(scene: Scene) -> Check:
    node = scene.fleet.nodes["e1"]
    req = SubmitOrder(OrderAction.OUT, "anjara", True, "noor", "works")
    receipt = node.node.submit(req)
    assert receipt.state is OrderState.APPLIED
    assert "anjara" in node.view().out_of_service
    for _ in range(4):
        scene.run(1)
        assert "anjara" in node.view().out_of_service

    def check() -> None:
        state = node.node.order_state(receipt.record_id).state
        assert state is OrderState.ACCEPTED
        for other in scene.fleet.nodes.values():
            assert other.view().out_of_service["anjara"].offset >= 0

    return check


def read(scene: Scene) -> Check:
    scene.publish(2, "ada")
    before = {vm: n.view().offset for vm, n in scene.fleet.nodes.items()}
    for _ in range(4):
        scene.run(1)
        for vm, node in scene.fleet.nodes.items():
            assert node.view().offset >= before.get(vm, -1) or vm == "e2"

    return lambda: None


def snapshot_written(scene: Scene) -> Check:
    entries = scene.fleet.nodes["e1"].stream.snapshot()
    scene.publish(3, "ada")
    scene.fleet.log.append(RULES_STREAM, entries)
    scene.run()
    return lambda: None


def started(scene: Scene) -> Check:
    node = scene.fleet.start("e4")
    scene.run()
    for sent_s, next_offset in node.proofs:
        assert sent_s <= time.monotonic()
        assert next_offset <= scene.fleet.log.tail(RULES_STREAM)
    return lambda: None


# Faults: each returns what ends it.


def nothing(scene: Scene) -> Check:
    return lambda: None


def log_down(scene: Scene) -> Check:
    scene.fleet.log.set_down(is_down=True)
    return lambda: scene.fleet.log.set_down(is_down=False)


def append_fault(fault: AppendFault, count: int) -> Fault:
    def inject(scene: Scene) -> Check:
        scene.fleet.log.append_faults.extend([fault] * count)

        def end() -> None:
            scene.fleet.log.append_faults.clear()
            for _ in range(count):
                scene.fleet.log.deliver_late()

        return end

    return inject


def node_frozen(scene: Scene) -> Check:
    """Nothing goes in or out of e2; it wakes with its old state."""
    node = scene.fleet.nodes["e2"]
    node.is_cut, node.can_read = True, False

    def end() -> None:
        node.is_cut, node.can_read = False, True

    return end


def node_killed(scene: Scene) -> Check:
    scene.fleet.start("e2")
    return lambda: None


def node_cut_from_nodes(scene: Scene) -> Check:
    scene.fleet.nodes["e2"].is_cut = True

    def end() -> None:
        scene.fleet.nodes["e2"].is_cut = False

    return end


def nodes_cut_from_log(scene: Scene) -> Check:
    nodes = [scene.fleet.nodes["e2"], scene.fleet.nodes["e3"]]
    for node in nodes:
        node.can_read = False

    def end() -> None:
        for node in nodes:
            node.can_read = True

    return end


def trimmed_past_reader(scene: Scene) -> Check:
    """The log forgets what e3 has not read, after a snapshot."""
    scene.fleet.nodes["e3"].is_cut = True
    scene.fleet.nodes["e3"].can_read = False
    for value in (7, 8, 9):
        scene.publish(value, "ada")
    for vm in ("e1", "e2"):
        scene.fleet.nodes[vm].poll()
    scene.snapshot()
    scene.trim(1)

    def end() -> None:
        scene.fleet.nodes["e3"].is_cut = False
        scene.fleet.nodes["e3"].can_read = True

    return end


def late_old_snapshot(scene: Scene) -> Check:
    """A snapshot is appended long after the state that it stands for."""
    entries = scene.fleet.nodes["e1"].stream.snapshot()
    scene.publish(6, "ada")
    scene.fleet.log.append(RULES_STREAM, entries)
    return lambda: None


def two_operators(scene: Scene) -> Check:
    scene.fleet.log.before_append = lambda: scene.publish(5, "tariq")
    return lambda: None


def small_pages(scene: Scene) -> Check:
    scene.fleet.log.page_size = 1
    return lambda: None


STEPS: dict[str, Step] = {
    "published": published,
    "ordered_on_log": ordered_on_log,
    "ordered_on_node": ordered_on_node,
    "read": read,
    "snapshot_written": snapshot_written,
    "started": started,
}
FAULTS: dict[str, Fault] = {
    "nothing": nothing,
    "log_down": log_down,
    "refused": append_fault(AppendFault.REFUSED, 2),
    "refused_long": append_fault(AppendFault.REFUSED, 40),
    "answer_lost": append_fault(AppendFault.LOST_ANSWER, 2),
    "request_lost": append_fault(AppendFault.LOST_REQUEST, 2),
    "request_lost_long": append_fault(AppendFault.LOST_REQUEST, 40),
    "request_late": append_fault(AppendFault.LATE, 1),
    "requests_late": append_fault(AppendFault.LATE, 40),
    "node_frozen": node_frozen,
    "node_killed": node_killed,
    "node_cut_from_nodes": node_cut_from_nodes,
    "nodes_cut_from_log": nodes_cut_from_log,
    "trimmed_past_reader": trimmed_past_reader,
    "late_old_snapshot": late_old_snapshot,
    "two_operators": two_operators,
    "small_pages": small_pages,
}


def _pairs() -> list[tuple[str, tuple[str, ...]]]:
    every = [
        (step, pair)
        for step in STEPS
        for pair in itertools.combinations(FAULTS, 2)
    ]
    return random.Random(PAIR_SEED).sample(every, PAIRS)


def _run(
    step: str, faults: tuple[str, ...], make_fleet: Callable[[], Fleet] = Fleet
) -> None:
    with freezegun.freeze_time("2030-01-01") as clock:
        assert isinstance(clock, FrozenDateTimeFactory)
        scene = Scene(make_fleet(), clock)
        for vm in ("e1", "e2", "e3"):
            scene.fleet.start(vm)
        req = PublishRequest(BASE, "r", "noor", time.monotonic() + 1)
        assert isinstance(publish(scene.fleet.log, req), Published)
        scene.run()
        ends = [FAULTS[fault](scene) for fault in faults]
        check = STEPS[step](scene)
        for end in ends:
            end()
        scene.fleet.log.before_append = None
        scene.run(24)
        check()
        _check_all_agree(scene)


def _check_all_agree(scene: Scene) -> None:
    records = scene.fleet.log.all_records(RULES_STREAM)
    meaning = interpret(records, len(records))
    for node in scene.fleet.nodes.values():
        assert node.stream.next_offset == len(records)
        assert not node.stream.is_rebuilding
        view = node.view()
        assert view.version == meaning.version
        assert node.config.lines() == meaning.lines
        out = {
            (o.target, o.is_domain, o.offset)
            for o in view.out_of_service.values()
        }
        assert out == set(meaning.out)
        assert node.proofs[-1][1] == len(records)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_fault_at_step(step: str, fault: str) -> None:
    _run(step, (fault,))


@pytest.mark.parametrize(("step", "faults"), _pairs())
def test_pair_of_faults_at_step(step: str, faults: tuple[str, ...]) -> None:
    print(f"seed {PAIR_SEED}")
    _run(step, faults)


@pytest.mark.parametrize(
    ("step", "fault", "make_fleet"),
    [
        (
            "published",
            "two_operators",
            lambda: Fleet(make_fold=LastWriteWinsFold),
        ),
        (
            "published",
            "late_old_snapshot",
            lambda: Fleet(make_stream=AnySnapshotStream),
        ),
    ],
)
def test_naive_ways_fail(
    step: str, fault: str, make_fleet: Callable[[], Fleet]
) -> None:
    with pytest.raises(AssertionError):
        _run(step, (fault,), make_fleet)


def test_orders_that_wait_for_the_log_fail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PendingOrders, "restrictions", lambda _: {})
    with pytest.raises(AssertionError):
        _run("ordered_on_node", ("log_down",))
