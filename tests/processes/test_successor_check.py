"""Tests of asking servers that started again whether they leave."""

import asyncio
import random
from collections.abc import Coroutine

import pytest

from savorylift.backends.registry import Registry
from savorylift.backends.server_start import NO_REPORT, NO_START
from savorylift.exchange.notice_recorder import NoticeRecorder
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_notice import NO_NOTICE, ServerNotice
from savorylift.processes.process_witness import Proof
from savorylift.processes.server_life import ServerLife
from savorylift.processes.successor_check import MAX_CLOSED_S, SuccessorCheck
from tests.exchange.factories import make_server_entry
from tests.harness.virtual_time import run_in_virtual_time
from tests.processes.test_server_life import Gate, Witness

LEAVES = ServerNotice(is_leaving=True)
EARLIER = make_server_entry()._replace(started_ms=2)
SUCCESSOR = EARLIER._replace(started_ms=5)
# Questions of one check, at most: its pauses grow.
MAX_QUESTIONS = 30


class Parts:
    """A check, and the server that it asks."""

    def __init__(
        self, started_ms: int | None, notice: ServerNotice = NO_NOTICE
    ) -> None:
        """Puts the server in doubt.

        Args:
            started_ms: What it answers; see `StartReader`.
            notice: What it says of its plans.
        """
        self.started_ms = started_ms
        self.notice = notice
        self.asked = 0
        self.changes = 0
        self.gate = Gate(grants=True)
        self.registry = Registry()
        self.registry.put(EARLIER, 0.0)
        holds = ServerHolds(random.Random(1))
        self.recorder = NoticeRecorder(self.registry, holds, lambda: None)
        self.held = False
        life = ServerLife(
            self.gate,  # type: ignore[arg-type]
            lambda _: self.held,
            self._read_start,
            lambda _: None,
            Witness(Proof.SHOWN),  # type: ignore[arg-type]
            lambda _: None,
        )
        self._tasks: set[asyncio.Future[None]] = set()
        self.check = SuccessorCheck(
            self.registry,
            life,
            lambda _: self.held,
            self._spawn,
            self._count_change,
        )
        self.recorder.record(self.registry.servers["i-1"], LEAVES)
        self.registry.put(SUCCESSOR, 1.0)

    def is_open(self) -> bool:
        """Whether the server may get requests."""
        return not self.registry.servers["i-1"].entry.is_leaving

    async def run_for(self, duration_s: float) -> None:
        """Lets the check run, as often as changes and time call for it."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        while loop.time() < until_s:
            self.check.update()
            await asyncio.sleep(0.01)

    async def _read_start(
        self, address: tuple[str, int], _: float
    ) -> int | None:
        self.asked += 1
        await asyncio.sleep(0.001)
        if self.started_ms is None:
            return None
        is_named = self.started_ms not in (NO_START, NO_REPORT)
        self.recorder.record_at(
            address, self.started_ms if is_named else None, self.notice
        )
        return self.started_ms

    def _spawn(self, coro: Coroutine[object, object, None]) -> None:
        self._tasks.add(asyncio.ensure_future(coro))

    def _count_change(self) -> None:
        self.changes += 1


@pytest.mark.parametrize("started_ms", [5, 6, NO_START, NO_REPORT])
def test_sound_successor_opens_after_one_question(
    started_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        parts = Parts(started_ms)
        assert not parts.is_open()
        await parts.run_for(0.02)
        assert parts.is_open()
        await parts.run_for(1.0)
        assert (parts.asked, parts.changes) == (1, 1)

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("started_ms", [5, 6, NO_START, NO_REPORT])
def test_successor_that_leaves_stays_closed_after_one_question(
    started_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        parts = Parts(started_ms, LEAVES)
        await parts.run_for(2 * MAX_CLOSED_S)
        assert not parts.is_open()
        assert parts.asked == 1
        assert parts.registry.said_leaving["i-1"] >= SUCCESSOR.started_ms

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("started_ms", [None, 4])
def test_server_that_tells_nothing_is_asked_again_and_opens_in_the_end(
    started_ms: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        parts = Parts(started_ms)
        await parts.run_for(MAX_CLOSED_S - 1.0)
        assert not parts.is_open()
        await parts.run_for(2.0)
        assert parts.is_open()
        assert 2 < parts.asked <= MAX_QUESTIONS

    run_in_virtual_time(monkeypatch, scenario)


def test_answer_that_comes_late_closes_or_opens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        parts = Parts(None)
        await parts.run_for(1.0)
        parts.started_ms = 5
        await parts.run_for(0.6)
        assert parts.is_open()

    run_in_virtual_time(monkeypatch, scenario)


def test_server_on_hold_is_not_asked_and_stays_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        parts = Parts(5)
        parts.held = True
        await parts.run_for(2 * MAX_CLOSED_S)
        assert not parts.is_open()
        assert parts.asked == 0
        parts.held = False
        await parts.run_for(0.6)
        assert parts.is_open()

    run_in_virtual_time(monkeypatch, scenario)


def test_server_without_a_permit_stays_closed_for_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        parts = Parts(5)
        parts.gate._grants = False
        await parts.run_for(MAX_CLOSED_S - 1.0)
        assert not parts.is_open()
        assert parts.asked == 0
        await parts.run_for(2.0)
        assert parts.is_open()

    run_in_virtual_time(monkeypatch, scenario)


def test_doubt_ends_when_the_entry_goes_or_another_node_knows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        parts = Parts(None)
        await parts.run_for(0.2)
        parts.registry.remove("i-1", 2.0)
        await parts.run_for(1.0)
        asked = parts.asked
        await parts.run_for(MAX_CLOSED_S)
        assert parts.asked == asked
        parts.registry.put(SUCCESSOR._replace(sequence=2), 3.0)
        assert not parts.is_open()
        parts.started_ms = 5
        await parts.run_for(0.1)
        assert parts.is_open()

    run_in_virtual_time(monkeypatch, scenario)
