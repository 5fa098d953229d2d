"""Tests of how a node finds out that it reaches no server."""

import asyncio
import random

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.server_reach import ServerReach
from tests.exchange.factories import make_server


class Servers:
    """Servers that answer probes as a test sets it.

    Attributes:
        servers: The servers of the service `s`.
        answer: Answer to each probe; None if the server must not be asked.
        probes: Number of probes.
        changes: Number of changes that were told.
        lost: Requests that most likely didn't arrive.
    """

    def __init__(self, count: int) -> None:
        self.servers = [make_server(f"i-{number}") for number in range(count)]
        self.answer: bool | None = False
        self.probes = 0
        self.changes = 0
        self.lost: list[str] = []
        self.reach = ServerReach(
            lambda _service: self.servers,
            self._probe,
            self._count_change,
            lambda _server_id, request: self.lost.append(request),
            random.Random(1),
        )

    def _count_change(self) -> None:
        self.changes += 1

    async def _probe(self, server: BackendServer) -> bool | None:
        self.probes += 1
        return self.answer

    async def fail_all(self) -> None:
        for server in self.servers:
            self.reach.record_failure(server)
        await settle()


async def settle() -> None:
    """Lets tasks run that wait for nothing; the clock may stand still."""
    for _ in range(10):
        await asyncio.sleep(0)


@pytest.mark.parametrize("count", [1, 2, 5, 30])
def test_service_whose_servers_all_fail_is_cut_off(count: int) -> None:
    async def scenario() -> None:
        fake = Servers(count)
        await fake.fail_all()
        assert fake.reach.is_cut_off("s")
        assert fake.reach.cut_off == ("s",)
        assert fake.probes <= 6
        assert fake.changes == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("answer", [True, None])
def test_probe_decides(*, answer: bool | None) -> None:
    async def scenario() -> None:
        fake = Servers(4)
        fake.answer = answer
        await fake.fail_all()
        assert fake.probes
        assert not fake.reach.is_cut_off("s")

    asyncio.run(scenario())


def test_end_of_a_cut_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        now_s = 100.0
        monkeypatch.setattr("time.monotonic", lambda: now_s)
        fake = Servers(4)
        await fake.fail_all()
        assert fake.reach.is_cut_off("s")
        probes = fake.probes
        for _ in range(10):
            now_s += 0.2
            fake.reach.update()
            await settle()
        assert fake.reach.is_cut_off("s")
        assert fake.probes - probes <= 10
        fake.answer = True
        now_s += 0.6
        fake.reach.update()
        await settle()
        assert not fake.reach.is_cut_off("s")
        assert fake.changes == 2

    asyncio.run(scenario())


def test_request_that_waits_in_silence_puts_its_server_in_doubt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        now_s = 100.0
        monkeypatch.setattr("time.monotonic", lambda: now_s)
        fake = Servers(2)
        waits = [fake.reach.begin_wait(s, "a1") for s in fake.servers]
        now_s += 0.5
        fake.reach.update()
        await settle()
        assert not fake.probes
        now_s += 0.5
        fake.reach.update()
        await settle()
        assert fake.reach.is_cut_off("s")
        assert fake.lost == ["a1", "a1"]
        for wait in waits:
            fake.reach.end_wait(wait, has_answer=False)

    asyncio.run(scenario())


def test_service_without_servers_is_not_cut_off() -> None:
    async def scenario() -> None:
        fake = Servers(2)
        await fake.fail_all()
        fake.servers = []
        await asyncio.sleep(0.6)
        fake.reach.update()
        await asyncio.sleep(0.01)
        assert not fake.reach.is_cut_off("s")

    asyncio.run(scenario())
