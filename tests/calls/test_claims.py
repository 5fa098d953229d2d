"""A call with a key runs at most once, and `not_run` is true."""

import random
import time
from collections import Counter
from functools import partial

import pytest
from freezegun import freeze_time
from freezegun.api import (
    FrozenDateTimeFactory,
    StepTickTimeFactory,
    TickingDateTimeFactory,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Result, Success

from savorylift.calls.claim_fold import ClaimFold
from savorylift.calls.claim_shard import ClaimShard
from savorylift.calls.key import KeyWindow
from savorylift.calls.messages import ClaimAnswer, ClaimBody, ClaimState
from savorylift.log_service.log import LogFault
from tests.calls.world import World, run_history

SEED = 20261204
HISTORIES = 10_000
STEPS = 90
NAIVE_HISTORIES = 400
CHOICES = st.integers(0, 98)


Clock = FrozenDateTimeFactory | TickingDateTimeFactory | StepTickTimeFactory


class NoReadBack(ClaimShard):
    """Takes an accepted append for a won claim."""

    def note_appended(self, result: Result[int, LogFault]) -> None:
        for entry in self._in_flight if isinstance(result, Success) else ():
            waiting = self._waiting.pop(entry.record_id, None)
            if waiting is not None:
                waiting.reply(ClaimAnswer(ClaimState.WON))
        super().note_appended(result)


class LeaseFold(ClaimFold):
    """Lets a claim lapse by the clock."""

    def __init__(self, window: KeyWindow) -> None:
        super().__init__(window)
        self._since_ms: dict[bytes, int] = {}

    def _apply_claim(self, claim_id: str, body: ClaimBody) -> None:
        entry = self._entry_or_new(body.key)
        since_ms = self._since_ms.get(body.key, self._now_ms)
        if entry.outcome_offset < 0 and self._now_ms - since_ms > 500:
            entry.holder = ""
        super()._apply_claim(claim_id, body)
        if entry.holder == claim_id:
            self._since_ms[body.key] = self._now_ms


class Lease(ClaimShard):
    """Keeps claims as leases."""

    def __init__(self, window: KeyWindow) -> None:
        super().__init__(window)
        self._fold = LeaseFold(window)


class TrustingFold(ClaimFold):
    """Takes the records that are left for all there were."""

    def cover_from(self, time_ms: int | None) -> None:
        super().cover_from(0)


class Trusting(ClaimShard):
    """Starts and crosses gaps without regard to what was forgotten."""

    def __init__(self, window: KeyWindow) -> None:
        super().__init__(window)
        self._fold = TrustingFold(window)


def _tick(frozen: Clock, seconds: float) -> None:
    frozen.tick(seconds)


def explore(
    histories: int,
    shard_type: type[ClaimShard] = ClaimShard,
    *,
    forgives: bool = False,
    retention_ms: int = 90_000,
) -> Counter[str]:
    """Runs seeded histories; returns how their tries ended."""
    seen: Counter[str] = Counter()
    with freeze_time("2026-01-01") as frozen:
        for number in range(histories):
            rng = random.Random(f"{SEED}/{number}")
            world = World(shard_type, forgives, retention_ms)
            run_history(world, rng, STEPS, partial(_tick, frozen))
            for attempt in world.tries:
                refusal = attempt.refusal
                seen[refusal.reason if refusal else attempt.state] += 1
                seen["replay"] += attempt.replay is not None
            seen["run"] += sum(world.runs.values())
    return seen


def test_each_key_runs_at_most_once() -> None:
    started_s = time.perf_counter()
    seen = explore(HISTORIES)
    took_s = time.perf_counter() - started_s
    print(f"seed {SEED}, {HISTORIES} histories, {took_s:.0f} s, {dict(seen)}")
    wanted = {"run", "replay", "key_in_use", "claim_unsure", "key_mismatch"}
    wanted |= {"log_unavailable", "answer_lost", "key_too_old", "killed"}
    assert wanted <= {name for name, count in seen.items() if count > 100}


def run_after_early_trim(shard_type: type[ClaimShard]) -> World:
    """Retries a key after the log forgot its claim inside the window."""
    with freeze_time("2026-01-01") as frozen:
        world = World(shard_type, retention_ms=2_000)
        for _ in range(2):
            world.begin(0, 0)
            world.heal()
            frozen.tick(10)
            world.trim()
            for server in range(3):
                world.restart(server)
                world.heal()
    return world


def test_key_whose_claim_may_be_forgotten_is_refused() -> None:
    world = run_after_early_trim(ClaimShard)
    world.check()
    refusal = world.tries[1].refusal
    assert refusal is not None
    assert (refusal.ending, refusal.reason) == ("not_run", "key_too_old")


def test_trusting_a_trimmed_log_runs_twice() -> None:
    with pytest.raises(AssertionError, match="a call ran twice"):
        run_after_early_trim(Trusting).check()


@pytest.mark.parametrize(
    "shard_type",
    [pytest.param(NoReadBack, id="no_read_back"), pytest.param(Lease)],
)
def test_naive_claims_run_twice(shard_type: type[ClaimShard]) -> None:
    with pytest.raises(AssertionError, match="a call ran twice"):
        explore(NAIVE_HISTORIES, shard_type)


def test_naive_ending_of_a_lost_answer_is_false() -> None:
    with pytest.raises(AssertionError, match="not_run was false"):
        explore(NAIVE_HISTORIES, forgives=True)


class ClaimMachine(RuleBasedStateMachine):
    """The same world, with histories that hypothesis can shrink."""

    def __init__(self) -> None:
        super().__init__()
        self.freezer = freeze_time("2026-01-01")
        self.frozen = self.freezer.start()
        self.world = World()

    def teardown(self) -> None:
        self.world.heal()
        self.world.check()
        self.freezer.stop()

    @rule(key=st.integers(0, 2), body=st.integers(0, 1))
    def begin(self, key: int, body: int) -> None:
        self.world.begin(key, body)

    @rule(choice=CHOICES, kind=st.integers(0, 5))
    def move_message(self, choice: int, kind: int) -> None:
        world = self.world
        moves = (world.drop, world.repeat, world.deliver)
        moves[min(kind, 2)](choice)

    @rule(choice=CHOICES, kind=st.integers(0, 2))
    def fail_try(self, choice: int, kind: int) -> None:
        world = self.world
        (world.time_out, world.give_up, world.kill_claimant)[kind](choice)

    @rule(server=st.integers(0, 2), fault=st.integers(0, 6))
    def append(self, server: int, fault: int) -> None:
        self.world.learn_append(server)
        self.world.append(server, fault)

    @rule(server=st.integers(0, 2))
    def read(self, server: int) -> None:
        self.world.read(server)

    @rule(server=st.integers(0, 2))
    def restart(self, server: int) -> None:
        self.world.restart(server)

    @rule(choice=CHOICES, how=st.integers(0, 3))
    def dispatch(self, choice: int, how: int) -> None:
        self.world.dispatch(choice, how)

    @rule(is_down=st.booleans())
    def disturb_log(self, *, is_down: bool) -> None:
        self.world.log.deliver_late()
        self.world.trim()
        self.world.log.set_down(is_down=is_down)

    @rule(seconds=st.sampled_from((0.3, 20.0, 70.0)))
    def wait(self, seconds: float) -> None:
        self.frozen.tick(seconds)
        self.world.new_key()

    @invariant()
    def outcomes_are_true(self) -> None:
        self.world.check()


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
