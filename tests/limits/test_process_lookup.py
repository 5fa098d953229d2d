"""Tests of the node that asks a limited server when it started, for all."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from savorylift.boot_clock import boot_time_s
from savorylift.fleet.membership import Membership
from savorylift.limits.permit_issuer import START_HOLD_S, PermitIssuer
from savorylift.limits.process_lookup import (
    ANSWER_S,
    QUESTION_SHARE,
    ProcessAnswer,
    ProcessLookup,
)
from tests.exchange.factories import make_server_entry
from tests.harness.virtual_time import run_in_virtual_time

IP = "127.0.0.1"
SILENT_IPS = ("127.0.0.3", "127.0.0.4")
LIMIT_PER_S = 4.0
NODES = 24
RUN_S = 20.0
POLL_S = 0.1


class Lookup:
    """A lookup and its only server, which answers after a moment."""

    def __init__(self, *, is_held: bool = False, silent_nodes: int = 0) -> None:
        self.started_ms: int | None = 5
        self.asked_s: list[float] = []
        self.issuer = PermitIssuer(
            IP,
            Membership(IP, SILENT_IPS[:silent_nodes]),
            lambda: False,
            random.Random(1),
        )
        self.lookup = ProcessLookup(
            self.issuer,
            make_server_entry,
            lambda _: is_held,
            self._read_start,
        )

    def find(self, since_s: float, *, is_probe: bool = False) -> ProcessAnswer:
        return self.lookup.find("i-1", LIMIT_PER_S, since_s, is_probe=is_probe)

    async def wait(self, since_s: float) -> ProcessAnswer:
        """Returns the answer to a question sent since a moment."""
        while True:
            found = self.find(since_s)
            if found.started_ms is not None or found.is_silent:
                return found
            await asyncio.sleep(found.wait_s)

    async def ask_beside_requests(self) -> None:
        """Asks for sound streams while requests take all permits."""
        until_s = boot_time_s() + RUN_S
        while boot_time_s() < until_s:
            self.issuer.decide("i-1", LIMIT_PER_S, 0.0, is_probe=False)
            self.find(boot_time_s(), is_probe=True)
            await asyncio.sleep(POLL_S)

    async def _read_start(self, _: tuple[str, int], __: float) -> int | None:
        self.asked_s.append(boot_time_s())
        await asyncio.sleep(ANSWER_S / 2)
        return self.started_ms


Scenario = Callable[[Lookup], Awaitable[None]]


def run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Scenario,
    *,
    is_held: bool = False,
    silent_nodes: int = 0,
) -> None:
    async def main() -> None:
        lookup = Lookup(is_held=is_held, silent_nodes=silent_nodes)
        await asyncio.sleep(START_HOLD_S)
        await scenario(lookup)

    run_in_virtual_time(monkeypatch, main)


def test_answer_holds_for_all_that_waited_before_the_question(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(lookup: Lookup) -> None:
        now_s = boot_time_s()
        found = await asyncio.gather(
            *(lookup.wait(now_s - n) for n in range(NODES))
        )
        assert {answer.started_ms for answer in found} == {5}
        assert len(lookup.asked_s) == 1

    run(monkeypatch, scenario)


def test_answer_to_another_question_holds_for_all_that_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server that was polled for draining was asked once more."""

    async def scenario(lookup: Lookup) -> None:
        since_s = boot_time_s()
        lookup.lookup.record("i-1", 7, since_s - 1.0)
        lookup.lookup.record("i-1", 6, since_s)
        lookup.lookup.record("i-1", 5, since_s - 0.5)
        assert lookup.find(since_s).started_ms == 6
        assert lookup.asked_s == []
        await asyncio.sleep(1.0)
        assert (await lookup.wait(boot_time_s())).started_ms == 5
        assert len(lookup.asked_s) == 1

    run(monkeypatch, scenario)


def test_answer_to_an_earlier_question_shows_no_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process may have been replaced since the question."""

    async def scenario(lookup: Lookup) -> None:
        lookup.find(boot_time_s())
        await asyncio.sleep(ANSWER_S / 4)
        during_s = boot_time_s()
        await asyncio.sleep(ANSWER_S)
        assert lookup.find(during_s).started_ms is None
        lookup.started_ms = 6
        assert (await lookup.wait(during_s)).started_ms == 6

    run(monkeypatch, scenario)


def test_questions_of_all_nodes_take_a_part_of_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(lookup: Lookup) -> None:
        until_s = boot_time_s() + RUN_S
        while boot_time_s() < until_s:
            for _ in range(NODES):
                lookup.find(boot_time_s())
            await asyncio.sleep(POLL_S)
        most = RUN_S * LIMIT_PER_S * QUESTION_SHARE + 2
        assert most / 2 <= len(lookup.asked_s) <= most

    run(monkeypatch, scenario)


def test_question_of_a_sound_stream_takes_what_requests_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(lookup: Lookup) -> None:
        lookup.issuer.decide("i-1", LIMIT_PER_S, 0.0, is_probe=False)
        while lookup.issuer.decide(
            "i-1", LIMIT_PER_S, 0.0, is_probe=False
        ).is_granted:
            pass
        lookup.find(boot_time_s(), is_probe=True)
        await asyncio.sleep(ANSWER_S)
        assert lookup.asked_s == []
        assert (await lookup.wait(boot_time_s())).started_ms == 5

    run(monkeypatch, scenario)


def test_questions_of_sound_streams_are_asked_beside_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Streams broke off before anything showed which process began them."""

    async def scenario(lookup: Lookup) -> None:
        await lookup.ask_beside_requests()
        most = RUN_S * LIMIT_PER_S * QUESTION_SHARE + 1
        assert most / 2 <= len(lookup.asked_s) <= most

    run(monkeypatch, scenario)


def test_server_on_hold_is_not_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(lookup: Lookup) -> None:
        for _ in range(NODES):
            lookup.find(boot_time_s())
            await asyncio.sleep(POLL_S)
        assert lookup.asked_s == []

    run(monkeypatch, scenario, is_held=True)


def test_silent_server_is_told_from_one_that_was_not_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(lookup: Lookup) -> None:
        lookup.started_ms = None
        assert (await lookup.wait(boot_time_s())).is_silent

    run(monkeypatch, scenario)


def test_questions_take_a_part_of_what_a_cut_off_issuer_lets_through(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every second permit was for a question while other nodes were silent."""

    async def scenario(lookup: Lookup) -> None:
        await lookup.ask_beside_requests()
        own_per_s = LIMIT_PER_S / (1 + len(SILENT_IPS))
        most = RUN_S * own_per_s * QUESTION_SHARE + 1
        assert most / 2 <= len(lookup.asked_s) <= most

    run(monkeypatch, scenario, silent_nodes=len(SILENT_IPS))
