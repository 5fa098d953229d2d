"""Fuzzes which events reach a caller, against a plain list as oracle."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from savorylift.streams.delivery import Delivery, Verdict
from savorylift.streams.events import TokenEvent

LENGTH = 12


class NaiveDelivery:
    """Baseline that passes on whatever arrives."""

    def __init__(self) -> None:
        self.next_index = 0

    def begin_attempt(self, generation_id: str) -> None:
        pass

    def judge(self, event: TokenEvent) -> Verdict:
        self.next_index += 1
        return Verdict.DELIVER


class DeliveryMachine(RuleBasedStateMachine):
    """Attempts come and go; some engines answer differently."""

    delivery: Delivery | NaiveDelivery

    @initialize()
    def start(self) -> None:
        self.delivery = Delivery()
        self.seen: list[str] = []
        self.attempt = 0
        self.position = 0
        self.salt = "a"
        self.begin("a")

    @rule(salt=st.sampled_from("aaab"))
    def begin(self, salt: str) -> None:
        self.attempt += 1
        self.position = 0
        self.salt = salt
        self.delivery.begin_attempt(f"g{self.attempt}")

    def event(self, index: int, attempt: int) -> TokenEvent:
        return TokenEvent(f"g{attempt}", index, f"{self.salt}{index}", None)

    def give(self, event: TokenEvent) -> Verdict:
        verdict = self.delivery.judge(event)
        if verdict is Verdict.DELIVER:
            self.seen.append(event.token)
        return verdict

    @rule()
    def next_event(self) -> None:
        verdict = self.give(self.event(self.position, self.attempt))
        if verdict is Verdict.DIVERGED:
            self.begin("a")
        else:
            self.position += 1

    @rule(skip=st.integers(1, 3))
    def event_with_gap(self, skip: int) -> None:
        self.give(self.event(self.position + skip, self.attempt))

    @rule()
    def event_of_an_older_attempt(self) -> None:
        self.give(self.event(self.position, self.attempt - 1))

    @invariant()
    def tokens_are_of_one_generation_once_and_in_order(self) -> None:
        seen = getattr(self, "seen", [])
        salts = {token[0] for token in seen}
        assert len(salts) <= 1
        assert [int(token[1:]) for token in seen] == list(range(len(seen)))


class NaiveMachine(DeliveryMachine):
    """The same attempts with the baseline."""

    @initialize()
    def start(self) -> None:
        super().start()
        self.delivery = NaiveDelivery()


TestDelivery = DeliveryMachine.TestCase


def test_naive_delivery_breaks_the_oracle() -> None:
    try:
        NaiveMachine.TestCase().runTest()
    except AssertionError:
        return
    raise AssertionError("the oracle found nothing wrong with the baseline")


def test_shorter_replay_has_diverged() -> None:
    delivery = Delivery()
    delivery.begin_attempt("g1")
    for index in range(3):
        delivery.judge(TokenEvent("g1", index, f"t{index}", None))
    delivery.begin_attempt("g2")
    delivery.judge(TokenEvent("g2", 0, "t0", None))
    verdict = delivery.judge(TokenEvent("g2", 1, "", "stop"))
    assert verdict is Verdict.DIVERGED
