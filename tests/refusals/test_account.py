"""Each refusal is counted once, whatever dies and however often it is told."""

import random
import time

import msgspec
import pytest
from freezegun import freeze_time
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from savorylift.log_service.log import REFUSALS_STREAM, LogRecord
from savorylift.refusals import account, keeper, query, roll_up
from savorylift.refusals.fold import Fresh, RefusalFold
from savorylift.refusals.messages import (
    BATCH_KIND,
    HOURS_STREAM,
    Batch,
    Checkpoint,
)
from tests.refusals.world import NODES, World, run_history

SEED = 20261204
HISTORIES = 2_000
NAIVE_HISTORIES = 300
STEPS = 100
NUMBERS = st.integers(0, NODES - 1)


@pytest.fixture(autouse=True)
def _few_rows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes short histories long enough for rows to be merely counted."""
    monkeypatch.setattr(account, "MAX_ROWS", 4)
    monkeypatch.setattr(account, "BATCH_ROWS", 3)
    monkeypatch.setattr(keeper, "MAX_ROWS_PER_NODE", 4)
    monkeypatch.setattr(keeper, "BATCH_ROWS", 3)


class Unnumbered(RefusalFold):
    """Counts every row of every batch."""

    def apply(self, record: LogRecord) -> Fresh:
        fresh = super().apply(record)
        if record.kind != BATCH_KIND:
            return fresh
        batch = msgspec.json.decode(record.body, type=Batch)
        return fresh._replace(rows=batch.rows)


class Forgetful(RefusalFold):
    """Starts from a checkpoint without its sequence numbers."""

    def __init__(self, checkpoint: Checkpoint | None = None) -> None:
        super().__init__(None)


def explore(
    histories: int, *, makes_copies: bool = True
) -> tuple[int, int, int]:
    """Runs seeded histories.

    Returns:
        Refusals given, histories in which the log forgot batches, and those
        in which it forgot roll-ups.
    """
    refused = batches = hours = 0
    with freeze_time("2026-01-01") as frozen:

        def tick(seconds: float) -> None:
            frozen.tick(seconds)

        for number in range(histories):
            world = World(makes_copies)
            run_history(world, random.Random(f"{SEED}/{number}"), STEPS, tick)
            refused += len(world.refused)
            batches += world.has_forgotten(REFUSALS_STREAM)
            hours += world.has_forgotten(HOURS_STREAM)
    return refused, batches, hours


def test_each_refusal_is_counted_once() -> None:
    started_s = time.perf_counter()
    refused, batches, hours = explore(HISTORIES)
    took_s = time.perf_counter() - started_s
    print(f"seed {SEED}, {HISTORIES} histories, {refused=}, {took_s:.0f} s")
    print(f"histories that forgot batches {batches}, hours {hours}")
    assert refused > HISTORIES
    assert batches > 50
    assert hours > 50


@pytest.mark.parametrize("fold", [Unnumbered, Forgetful])
def test_without_sequence_numbers_some_count_twice(
    monkeypatch: pytest.MonkeyPatch, fold: type[RefusalFold]
) -> None:
    monkeypatch.setattr(query, "RefusalFold", fold)
    monkeypatch.setattr(roll_up, "RefusalFold", fold)
    with pytest.raises(AssertionError, match="counted twice"):
        explore(NAIVE_HISTORIES)


def test_without_copies_some_are_lost() -> None:
    with pytest.raises(AssertionError, match="lost"):
        explore(NAIVE_HISTORIES, makes_copies=False)


class AccountMachine(RuleBasedStateMachine):
    """The same world, with histories that hypothesis can shrink."""

    def __init__(self) -> None:
        super().__init__()
        self.freezer = freeze_time("2026-01-01")
        self.frozen = self.freezer.start()
        self.world = World()

    def teardown(self) -> None:
        self.world.heal(self.tick)
        self.world.check()
        self.freezer.stop()

    def tick(self, seconds: float) -> None:
        self.frozen.tick(seconds)

    @rule(node=NUMBERS, times=st.integers(1, 6))
    def write(self, node: int, times: int) -> None:
        for _ in range(times):
            self.world.write(node)

    @rule(choice=st.integers(0, 98))
    def deliver(self, choice: int) -> None:
        self.world.deliver(choice)

    @rule(node=NUMBERS, fault=st.integers(0, 6), is_own=st.booleans())
    def append(self, node: int, fault: int, *, is_own: bool) -> None:
        act = self.world.append if is_own else self.world.publish
        act(node, fault)

    @rule(node=NUMBERS, is_listed=st.booleans())
    def kill(self, node: int, *, is_listed: bool) -> None:
        self.world.kill(node, is_listed=is_listed)

    @rule(fault=st.integers(0, 6))
    def roll_up(self, fault: int) -> None:
        self.world.roll_up(fault)
        self.world.trim()

    @rule(is_down=st.booleans())
    def disturb_log(self, *, is_down: bool) -> None:
        self.world.log.deliver_late()
        self.world.log.set_down(is_down=is_down)

    @rule(seconds=st.sampled_from((0.5, 4.0, 19.0, 35.0)))
    def wait(self, seconds: float) -> None:
        self.world.tick(self.tick, seconds)


TestAccountMachine = AccountMachine.TestCase
TestAccountMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
