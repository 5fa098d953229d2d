"""The staleness rule: who may dispatch while orders may be missing."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest
from freezegun import freeze_time
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.peers.world import WHOLE, Baseline, World

PASS_S = 0.5  # after each change in the state machine

NAIVE = {
    "no rule": Baseline(has_rule=False),
    "counted from arrival": Baseline(counts_from_sending=False),
}


@contextmanager
def world(count: int, baseline: Baseline = WHOLE) -> Iterator[World]:
    with freeze_time("2026-01-01") as clock:
        made = World(clock.tick, count, baseline)
        made.advance(6.0)
        yield made


def cut_off(w: World, vm: str) -> None:
    """Cuts a node from the log and from all others."""
    w.nodes[vm].has_log = False
    w.cuts |= {(vm, other) for other in w.nodes}
    w.cuts |= {(other, vm) for other in w.nodes}


def minority_without_log(w: World) -> None:
    cut_off(w, "n0")
    w.order()
    w.advance(6.0)


def frozen_then_woken(w: World) -> None:
    w.freeze("n0")
    w.order()
    w.advance(5.0)
    w.thaw("n0")
    w.advance(6.0)


def answer_held_up(w: World) -> None:
    """Answers that were made before an order arrive long after it."""
    w.nodes["n0"].has_log = False
    w.delays = {(vm, "n0"): 4.0 for vm in w.nodes}
    w.advance(1.0)
    w.cuts = {("n0", vm) for vm in w.nodes}
    w.order()
    w.advance(6.0)


SCENARIOS: list[Callable[[World], None]] = [
    minority_without_log,
    frozen_then_woken,
    answer_held_up,
]


@pytest.mark.parametrize("count", [2, 3, 5, 9])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_dispatch_against_an_order(
    scenario: Callable[[World], None], count: int
) -> None:
    with world(count) as w:
        scenario(w)


@pytest.mark.parametrize(
    ("name", "scenario"),
    [
        ("no rule", minority_without_log),
        ("no rule", frozen_then_woken),
        ("counted from arrival", answer_held_up),
    ],
)
def test_naive_rules_break_the_promise(
    name: str, scenario: Callable[[World], None]
) -> None:
    with (
        world(3, NAIVE[name]) as w,
        pytest.raises(AssertionError, match="dispatch against an order"),
    ):
        scenario(w)


@pytest.mark.parametrize("count", [1, 2, 3, 9, 100])
def test_a_plain_log_outage_stops_nobody(count: int) -> None:
    with world(count) as w:
        w.order()
        w.advance(0.1)
        w.is_log_up = False
        before = w.dispatches
        w.advance(10.0)
        assert w.dispatches - before == 100 * count


def test_a_node_without_the_log_lives_on_its_peers_proofs() -> None:
    with world(9) as w:
        w.nodes["n3"].has_log = False
        for _ in range(5):
            w.order()
            w.advance(2.0)
        assert w.nodes["n3"].offset == 4


def test_two_nodes_need_each_other_in_an_outage() -> None:
    with world(2) as w:
        w.is_log_up = False
        w.cuts = {("n0", "n1")}
        w.advance(4.5)
        assert not any(node.may_dispatch() for node in w.nodes.values())
        w.cuts.clear()
        w.advance(6.0)


def test_a_starting_node_waits_for_the_log_or_a_majority() -> None:
    with freeze_time("2026-01-01") as clock:
        w = World(clock.tick, 3)
        w.is_log_up = False
        w.cuts = {("n0", vm) for vm in w.nodes}
        w.advance(4.0)
        refused = w.nodes["n0"].guard.may_dispatch().failure()
        assert refused.reason == "node_starting"
        assert w.nodes["n1"].may_dispatch()


def test_a_short_pause_in_an_outage_needs_a_majority_heard_anew() -> None:
    with world(3) as w:
        w.is_log_up = False
        w.advance(6.0)
        w.freeze("n0")
        w.advance(1.2)
        w.thaw("n0")
        assert not w.nodes["n0"].may_dispatch()
        w.nodes["n0"].core.tick()
        assert not w.nodes["n0"].may_dispatch()
        w.advance(2.0)
        assert w.nodes["n0"].may_dispatch()


def test_what_stays_exposed_majority_without_the_log() -> None:
    """A majority that lost the log goes on; the minority's order waits."""
    with world(3) as w:
        w.nodes["n0"].has_log = w.nodes["n1"].has_log = False
        w.cuts = {(a, b) for a in w.nodes for b in w.nodes if "n2" in (a, b)}
        w.order()
        w.advance(4.8)
        assert w.nodes["n0"].may_dispatch()
        assert w.nodes["n0"].offset == -1
        assert w.nodes["n2"].offset == 0


class StalenessMachine(RuleBasedStateMachine):
    """Draws faults, pairs of them too, and lets time pass between."""

    baseline = Baseline()
    number = st.integers(0, 4)

    @initialize(count=st.integers(2, 5))
    def start(self, count: int) -> None:
        self.freezer = freeze_time("2026-01-01")
        self.world = World(self.freezer.start().tick, count, self.baseline)
        self.world.advance(6.0)

    def vm(self, number: int) -> str:
        return f"n{number % len(self.world.nodes)}"

    @rule(tenths=st.integers(1, 40))
    def wait(self, tenths: int) -> None:
        self.world.advance(tenths / 10)

    @rule()
    def order(self) -> None:
        if self.world.is_log_up:
            self.world.order()
        self.world.advance(PASS_S)

    @rule(a=number, b=number, delay_s=st.sampled_from([None, 0.02, 1.0, 4.0]))
    def change_link(self, a: int, b: int, delay_s: float | None) -> None:
        link = (self.vm(a), self.vm(b))
        if delay_s is None:
            self.world.cuts.add(link)
        else:
            self.world.cuts.discard(link)
            self.world.delays[link] = delay_s
        self.world.advance(PASS_S)

    @rule(a=number)
    def isolate(self, a: int) -> None:
        cut_off(self.world, self.vm(a))
        self.world.advance(PASS_S)

    @rule(a=number)
    def hold_up_answers(self, a: int) -> None:
        """The node loses the log, and what it hears comes late."""
        vm = self.vm(a)
        self.world.nodes[vm].has_log = False
        self.world.delays |= {(o, vm): 4.0 for o in self.world.nodes}
        self.world.advance(PASS_S)

    @rule()
    def heal_links(self) -> None:
        self.world.cuts.clear()
        self.world.delays.clear()
        self.world.advance(PASS_S)

    @rule(a=number, has_log=st.booleans())
    def change_log_of(self, a: int, *, has_log: bool) -> None:
        self.world.nodes[self.vm(a)].has_log = has_log
        self.world.advance(PASS_S)

    @rule(is_up=st.booleans())
    def change_log(self, *, is_up: bool) -> None:
        self.world.is_log_up = is_up
        self.world.advance(PASS_S)

    @rule(a=number)
    def freeze_or_thaw(self, a: int) -> None:
        vm = self.vm(a)
        if self.world.nodes[vm].is_frozen:
            self.world.thaw(vm)
        else:
            self.world.freeze(vm)
        self.world.advance(PASS_S)

    def teardown(self) -> None:
        if hasattr(self, "freezer"):
            self.freezer.stop()


MACHINE = settings(
    max_examples=40, stateful_step_count=30, phases=[Phase.generate]
)
TestStaleness = StalenessMachine.TestCase
TestStaleness.settings = MACHINE


@pytest.mark.parametrize("name", sorted(NAIVE))
def test_the_machine_finds_the_naive_rules_out(name: str) -> None:
    class Naive(StalenessMachine):
        baseline = NAIVE[name]

    with pytest.raises(AssertionError, match="dispatch against an order"):
        run_state_machine_as_test(Naive, settings=MACHINE)
