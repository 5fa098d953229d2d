"""Stateful fuzzing of several nodes against the engines' own counts."""

import random
from typing import ClassVar

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from savorylift.permits.gate import Permit
from savorylift.permits.options import PermitOptions
from savorylift.permits.policies import SAFE, Policies
from tests.permits.baselines import STATIC_SPLIT, TIME_BASED
from tests.permits.driver import Driver
from tests.permits.fakes import UNUSED, Cluster, FakeNode, server

LAG_S = 0.5
CFG = PermitOptions(load_lag_s=LAG_S, cancel_after_s=1.0, query_after_s=1.0)
MAX_JOINS = 8
# The search ends with the first fault. What it draws also depends on names
# and constants all over the package, so that a few hundred may miss it.
MOST_EXAMPLES_UNTIL_CAUGHT = 5_000
pick = st.integers(0, 10_000)


class Machine(RuleBasedStateMachine):
    """Nodes, engines and faults in any order."""

    policies: ClassVar[Policies] = SAFE

    def __init__(self) -> None:
        super().__init__()
        self._freezer = freezegun.freeze_time("2026-01-01")
        clock = self._freezer.start()
        assert isinstance(clock, FrozenDateTimeFactory)
        self.clock = clock
        self.joins = 3

    @initialize(cold=st.integers(1, 4), extra=st.integers(0, 5))
    def start(self, cold: int, extra: int) -> None:
        self.cluster = Cluster(
            server("runner-1", cold, cold + extra),
            server("crew-1", 2, 2, model=None),
            cfg=CFG,
            policies=self.policies,
        )
        self.cluster.settle(self.clock, 3)
        self.driver = Driver(self.cluster, self.clock)

    @property
    def running(self) -> list[tuple[FakeNode, Permit]]:
        return self.driver.running

    def live(self, number: int) -> FakeNode:
        nodes = self.cluster.live()
        return nodes[number % len(nodes)]

    @rule(number=pick, both=st.booleans())
    def acquire(self, number: int, *, both: bool) -> None:
        node = self.live(number)
        names = ("crew-1", "runner-1") if both else ("runner-1",)
        self.driver.acquire(node, *names)

    @rule(number=pick, keep=st.booleans())
    def deliver(self, number: int, *, keep: bool) -> None:
        if self.cluster.pool:
            place = number % len(self.cluster.pool)
            self.cluster.deliver(place, keep=keep)

    @rule(number=pick, count=st.integers(1, 6))
    def burst(self, number: int, count: int) -> None:
        for _ in range(count):
            self.acquire(number, both=False)
        self.cluster.deliver_all()
        self.dispatch()

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def calm(self, seconds: float) -> None:
        if not self.driver.killed:
            self.cluster.settle(self.clock, seconds)

    @rule(seed=pick)
    def deliver_all(self, seed: int) -> None:
        self.cluster.deliver_all(random.Random(seed))

    @rule(number=pick)
    def drop(self, number: int) -> None:
        if self.cluster.pool:
            self.cluster.pool.pop(number % len(self.cluster.pool))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0]))
    def pass_time(self, seconds: float) -> None:
        for engine in self.cluster.engines.values():
            engine.sample()
        self.clock.tick(seconds)
        self.cluster.tick()

    @rule(number=pick)
    def see_roster(self, number: int) -> None:
        self.cluster.sync(self.live(number))

    @rule(number=pick)
    def see_load(self, number: int) -> None:
        node = self.live(number)
        for name, engine in self.cluster.engines.items():
            node.node.load(name, engine.late_report(LAG_S))

    @rule()
    def dispatch(self) -> None:
        self.driver.dispatch()

    @precondition(lambda self: self.running)
    @rule(number=pick, is_sure=st.booleans())
    def finish(self, number: int, *, is_sure: bool) -> None:
        node, permit = self.running[number % len(self.running)]
        is_answered = permit.permit_id in node.answers
        if node not in self.cluster.live() or not is_answered:
            return
        self.running.remove((node, permit))
        if not node.node.holder.holdings.is_held(permit.permit_id):
            return  # taken over
        if is_sure:
            self.cluster.finish(node, permit)
        else:
            use = UNUSED._replace(finished=False)
            node.node.holder.holdings.release(permit, use)

    @precondition(lambda self: self.running)
    @rule(number=pick)
    def first_token(self, number: int) -> None:
        node, permit = self.running[number % len(self.running)]
        engine = self.cluster.engines[permit.backend_server]
        is_there = permit.stream_id in engine.running
        if node in self.cluster.live() and is_there:
            self.cluster.first_token(node, permit)

    @precondition(lambda self: self.running)
    @rule(number=pick)
    def finish_at_engine(self, number: int) -> None:
        _, permit = self.running[number % len(self.running)]
        engine = self.cluster.engines[permit.backend_server]
        engine.running.pop(permit.stream_id, None)

    @rule(name=st.sampled_from(["runner-1", "crew-1"]))
    def warm_up(self, name: str) -> None:
        self.cluster.engines[name].warm_up()

    @rule(is_restart=st.booleans())
    def turn_cold(self, *, is_restart: bool) -> None:
        engine = self.cluster.engines["runner-1"]
        if is_restart:
            engine.restart()
        else:
            engine.cool_down()

    @precondition(lambda self: len(self.cluster.live()) > 1)
    @rule(number=pick)
    def kill(self, number: int) -> None:
        self.driver.kill(self.live(number))

    @precondition(lambda self: self.driver.killed)
    @rule(number=pick, is_restart=st.booleans())
    def replace(self, number: int, *, is_restart: bool) -> None:
        ref = self.driver.killed.pop(number % len(self.driver.killed))
        if is_restart and ref.vm in self.cluster.roster.members:
            self.cluster.join(ref.vm)
        else:
            self.cluster.gone(ref)

    @precondition(lambda self: self.joins < MAX_JOINS)
    @rule()
    def join(self) -> None:
        self.cluster.join(f"vm-{self.joins}")
        self.joins += 1

    @precondition(lambda self: len(self.cluster.live()) > 2)
    @rule(number=pick)
    def leave(self, number: int) -> None:
        ref = self.live(number).ref
        self.cluster.leave(ref)

    @precondition(lambda self: len(self.cluster.live()) > 1)
    @rule(number=pick)
    def freeze(self, number: int) -> None:
        self.live(number).is_frozen = True

    @rule()
    def wake(self) -> None:
        for node in self.cluster.nodes.values():
            node.is_frozen = False

    @rule(one=pick, other=pick)
    def cut(self, one: int, other: int) -> None:
        pair = (self.live(one).ref.vm, self.live(other).ref.vm)
        if pair[0] != pair[1]:
            self.cluster.cut.add(pair)

    @rule()
    def heal(self) -> None:
        self.cluster.cut.clear()

    @precondition(lambda self: self.running)
    @rule(number=pick, other=pick)
    def resume_elsewhere(self, number: int, other: int) -> None:
        node, permit = self.running[number % len(self.running)]
        resumer = self.live(other)
        if resumer is node or permit.permit_id in resumer.answers:
            return
        resumer.node.holder.holdings.take_over(permit)
        resumer.answers[permit.permit_id] = Success(permit)  # needs no answer
        self.running.append((resumer, permit))

    @invariant()
    def engines_bear_their_work(self) -> None:
        self.driver.assert_safe()

    def teardown(self) -> None:
        try:
            if hasattr(self, "driver") and self.policies is SAFE:
                self.driver.recover()
        finally:
            self._freezer.stop()


def run(policies: Policies, examples: int) -> None:
    machine = type("Machine", (Machine,), {"policies": policies})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=60,
            phases=(Phase.explicit, Phase.generate),
        ),
    )


def test_no_fault_gives_a_cold_server_too_much() -> None:
    run(SAFE, 150)


@pytest.mark.parametrize("policies", [STATIC_SPLIT, TIME_BASED])
def test_naive_rules_are_caught(policies: Policies) -> None:
    with pytest.raises(AssertionError, match=r"while cold|at once"):
        run(policies, MOST_EXAMPLES_UNTIL_CAUGHT)
