"""Tests of the probes whether servers that gave no answer have crashed."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.crash_probe import (
    MAX_GIVEN_UP,
    WATCH_INTERVAL_S,
    WATCH_S,
    CrashProbe,
    LostAnswer,
)
from savorylift.exchange.request_traits import RequestTraits
from tests.exchange.factories import make_server
from tests.harness.ports import free_addresses
from tests.harness.virtual_time import run_in_virtual_time

# Time within which a probe connects.
CONNECTED_S = 0.05


class Crash(NamedTuple):
    """A crash that was reported for a request."""

    attempt_id: str
    crashed_s: float


class ProbedServer:
    """A server on the loopback interface that a probe watches.

    Attributes:
        connections: Number of connections that it accepted.
        received: What it got on them.
        crashes: What the probe has reported.
        resets: Number of connections to come that it accepts and resets.
    """

    def __init__(self) -> None:
        self._probe = CrashProbe(self._record)
        (address,) = free_addresses(1)
        self._port = int(address.rpartition(":")[2])
        entry = make_server().entry
        self._server = BackendServer(
            entry._replace(address=("127.0.0.1", self._port)), 0.0
        )
        self._listener: asyncio.Server | None = None
        self.connections = 0
        self.received = b""
        self.crashes: list[Crash] = []
        self.resets = 0

    async def start(self) -> None:
        self._listener = await asyncio.start_server(
            self._accept, "127.0.0.1", self._port
        )

    def crash(self) -> None:
        assert self._listener is not None
        self._listener.close()

    def give_up(self, attempt_id: str) -> None:
        """Lets the probe watch it for a request that was just given up."""
        traits = RequestTraits(attempt_id, (), "repeat", "exact")
        now_s = time.monotonic()
        self._probe.watch(self._server, LostAnswer(traits, now_s, now_s))

    def break_off(self, attempt_id: str) -> None:
        """Lets the probe look for a request whose connection just broke."""
        traits = RequestTraits(attempt_id, (), "repeat", "exact")
        now_s = time.monotonic()
        self._probe.start(self._server, LostAnswer(traits, now_s, now_s))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.resets:
            self.resets -= 1
            writer.transport.abort()
            if not self.resets:
                self.crash()
            return
        self.received += await reader.read()
        writer.close()

    def _record(self, _server_id: str, lost: LostAnswer) -> None:
        self.crashes.append(Crash(lost.traits.attempt_id, lost.lost_s))


Run = Callable[[Callable[[], Coroutine[object, object, None]]], None]


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch) -> Run:
    return lambda scenario: run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    ("crash_after_s", "is_seen"),
    [(0.01, True), (0.2, True), (0.5, True), (0.8, True), (2.0, False)],
)
def test_server_that_crashes_soon_after_a_request_was_given_up_is_seen(
    crash_after_s: float, *, is_seen: bool, run: Run
) -> None:
    async def scenario() -> None:
        server = ProbedServer()
        await server.start()
        given_up_s = time.monotonic()
        server.give_up("a")
        await asyncio.sleep(crash_after_s)
        crashed_s = time.monotonic()
        server.crash()
        await asyncio.sleep(WATCH_S + 3 * WATCH_INTERVAL_S)
        assert [crash.attempt_id for crash in server.crashes] == (
            ["a"] if is_seen else []
        )
        for crash in server.crashes:
            assert given_up_s <= crash.crashed_s <= crashed_s
            assert crashed_s - crash.crashed_s < WATCH_INTERVAL_S + CONNECTED_S

    run(scenario)


def test_requests_given_up_at_a_server_share_its_probes(run: Run) -> None:
    async def scenario() -> None:
        server = ProbedServer()
        await server.start()
        for number in range(100):
            server.give_up(f"a{number}")
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.0)
        most = (1.0 + WATCH_S) / WATCH_INTERVAL_S + 1
        assert WATCH_S / WATCH_INTERVAL_S <= server.connections <= most
        assert not server.crashes

    run(scenario)


def test_latest_requests_given_up_at_a_server_are_reported(run: Run) -> None:
    async def scenario() -> None:
        server = ProbedServer()
        await server.start()
        for number in range(2 * MAX_GIVEN_UP):
            server.give_up(f"a{number}")
        server.crash()
        await asyncio.sleep(2.0)
        assert [crash.attempt_id for crash in server.crashes] == [
            f"a{number}" for number in range(MAX_GIVEN_UP, 2 * MAX_GIVEN_UP)
        ]

    run(scenario)


def test_request_given_up_before_the_last_sign_of_life_by_far_is_no_suspect(
    run: Run,
) -> None:
    async def scenario() -> None:
        server = ProbedServer()
        await server.start()
        server.give_up("old")
        await asyncio.sleep(WATCH_S + WATCH_INTERVAL_S / 2)
        server.give_up("new")
        server.crash()
        await asyncio.sleep(2.0)
        assert [crash.attempt_id for crash in server.crashes] == ["new"]

    run(scenario)


def test_process_that_accepts_a_connection_as_it_ends_has_crashed(
    run: Run,
) -> None:
    """A reset of that connection hid the crash."""

    async def scenario() -> None:
        server = ProbedServer()
        await server.start()
        server.resets = 1
        server.break_off("a")
        await asyncio.sleep(2.0)
        assert [crash.attempt_id for crash in server.crashes] == ["a"]

    run(scenario)


def test_server_that_breaks_off_an_answer_and_accepts_has_not_crashed(
    run: Run,
) -> None:
    async def scenario() -> None:
        server = ProbedServer()
        await server.start()
        server.break_off("a")
        await asyncio.sleep(2.0)
        assert server.connections == 1
        assert not server.received
        assert not server.crashes

    run(scenario)
