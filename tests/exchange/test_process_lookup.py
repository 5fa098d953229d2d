"""Tests of the node that asks a limited server when it started, for all."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from savorylift.boot_clock import boot_time_s
from savorylift.exchange.known_processes import KnownProcesses
from savorylift.exchange.process_lookup import (
    ANSWER_S,
    QUESTION_SHARE,
    WITNESS_INTERVAL_S,
    ProcessAnswer,
    ProcessLookup,
)
from savorylift.exchange.process_witnesses import ProcessWitnesses
from savorylift.fleet.limit_messages import LifeQuery, LifeReply, LimitMessage
from savorylift.fleet.membership import Membership
from savorylift.fleet.permit_issuer import START_HOLD_S, PermitIssuer
from tests.exchange.factories import make_server_entry
from tests.harness.virtual_time import run_in_virtual_time

IP = "127.0.0.1"
OTHER_IP = "127.0.0.2"
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
        self.connections = KnownProcesses()
        self.queries: list[LifeQuery] = []
        # For how long another node has had a connection that brings events.
        self.open_s: float | None = None
        self.witnesses = ProcessWitnesses(
            self._send, self.connections, random.Random(1)
        )
        self.lookup = ProcessLookup(
            self.issuer,
            lambda server_id: make_server_entry(server_id)._replace(
                started_ms=5
            ),
            lambda _: is_held,
            self._read_start,
            self.connections,
            self.witnesses,
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

    def _send(self, message: LimitMessage, ip: str | None) -> None:
        assert isinstance(message, LifeQuery)
        assert ip == OTHER_IP
        self.queries.append(message)
        if self.open_s is not None:
            reply = LifeReply(message.number, self.open_s)
            self.witnesses.receive(reply, OTHER_IP)

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
        until_s = boot_time_s() + RUN_S
        while boot_time_s() < until_s:
            lookup.issuer.decide("i-1", LIMIT_PER_S, 0.0, is_probe=False)
            lookup.find(boot_time_s(), is_probe=True)
            await asyncio.sleep(POLL_S)
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


def test_streams_of_one_process_take_no_question_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A quarter of a limit went into questions which process it still is."""

    async def scenario(lookup: Lookup) -> None:
        lookup.witnesses.add("i-1", OTHER_IP)
        assert (await lookup.wait(boot_time_s())).started_ms == 5
        began_s = boot_time_s()
        while boot_time_s() < began_s + RUN_S:
            lookup.open_s = boot_time_s() - began_s + 1.0
            assert (await lookup.wait(boot_time_s())).started_ms == 5
            await asyncio.sleep(POLL_S)
        assert len(lookup.asked_s) == 1

    run(monkeypatch, scenario)


@pytest.mark.parametrize("open_s", [None, 0.5])
def test_connection_that_was_opened_later_shows_no_process(
    monkeypatch: pytest.MonkeyPatch, open_s: float | None
) -> None:
    """It may lead to a process that started since the last answer."""

    async def scenario(lookup: Lookup) -> None:
        lookup.witnesses.add("i-1", OTHER_IP)
        await lookup.wait(boot_time_s())
        await asyncio.sleep(1.0)
        lookup.open_s, lookup.started_ms = open_s, 6
        assert (await lookup.wait(boot_time_s())).started_ms == 6
        assert lookup.queries

    run(monkeypatch, scenario)


def test_connections_show_no_process_of_another_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(lookup: Lookup) -> None:
        lookup.witnesses.add("i-1", OTHER_IP)
        lookup.open_s, lookup.started_ms = RUN_S, 6
        await lookup.wait(boot_time_s())
        assert (await lookup.wait(boot_time_s())).started_ms == 6
        assert len(lookup.asked_s) == 2

    run(monkeypatch, scenario)


def test_other_nodes_that_know_nothing_are_asked_now_and_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(lookup: Lookup) -> None:
        lookup.witnesses.add("i-1", OTHER_IP)
        await lookup.wait(boot_time_s())
        until_s = boot_time_s() + RUN_S
        while boot_time_s() < until_s:
            for _ in range(NODES):
                lookup.find(boot_time_s())
            await asyncio.sleep(POLL_S)
        assert len(lookup.queries) <= RUN_S / WITNESS_INTERVAL_S + 1

    run(monkeypatch, scenario)


def test_questions_take_a_part_of_what_a_cut_off_issuer_lets_through(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every second permit was for a question while other nodes were silent."""

    async def scenario(lookup: Lookup) -> None:
        until_s = boot_time_s() + RUN_S
        while boot_time_s() < until_s:
            lookup.issuer.decide("i-1", LIMIT_PER_S, 0.0, is_probe=False)
            lookup.find(boot_time_s(), is_probe=True)
            await asyncio.sleep(POLL_S)
        own_per_s = LIMIT_PER_S / (1 + len(SILENT_IPS))
        most = RUN_S * own_per_s * QUESTION_SHARE + 1
        assert most / 2 <= len(lookup.asked_s) <= most

    run(monkeypatch, scenario, silent_nodes=len(SILENT_IPS))
