"""Tests of the idle connections to servers that answer without framing."""

import asyncio

import pytest

from savorylift.exchange import idle_connections
from savorylift.exchange.idle_connections import IdleConnections
from savorylift.exchange.process_connections import (
    ProcessConnections,
    ProcessPlace,
)
from savorylift.wire.channel import Channel, connect
from tests.wire.loopback import run_with_timeout, serve_bytes

KEEP_S = 0.2
OPENED_S = 0.05
SERVICE = "pool"


class Acceptor:
    """Accepts connections and counts them.

    Attributes:
        place: Where it listens.
        accepted: Connections so far.
        closes: Whether it closes each at once.
    """

    def __init__(self) -> None:
        self.accepted: list[Channel] = []
        self.closes = False

    async def start(self) -> None:
        _, port = await serve_bytes(self._serve)
        address = ("127.0.0.1", port)
        self.place = ProcessPlace("i-1", address, frozenset({1}))

    async def _serve(self, channel: Channel) -> None:
        self.accepted.append(channel)
        if self.closes:
            channel.close()
            return
        await channel.peer_closed.wait()

    @property
    def open_count(self) -> int:
        return sum(not channel.is_peer_closed for channel in self.accepted)


@pytest.fixture
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_connections, "KEEP_S", KEEP_S)
    monkeypatch.setattr(idle_connections, "LOOK_INTERVAL_S", KEEP_S / 4)


@pytest.mark.parametrize(
    ("framings", "count"),
    [
        ([], 1),
        ([False], 0),
        ([True], 1),
        ([False, True], 1),
        ([True, False], 1),
    ],
    ids=["none yet", "framed", "unframed", "unframed lately", "framed since"],
)
def test_service_that_may_answer_without_framing_gets_a_connection(
    framings: list[bool], count: int
) -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        for is_close_delimited in framings:
            idle.record_head(SERVICE, is_close_delimited=is_close_delimited)
        for _ in range(5):
            idle.prepare(server.place, SERVICE)
        await asyncio.sleep(OPENED_S)
        assert len(server.accepted) == count

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
def test_connection_is_kept_as_long_as_an_answer_is_under_way() -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        answer = await connect(*server.place.address, 1.0)
        idle.begin(server.place, answer)
        await asyncio.sleep(3 * KEEP_S)
        assert server.open_count == 2
        answer.abort()
        await asyncio.sleep(KEEP_S / 2)
        assert server.open_count == 1
        await asyncio.sleep(2 * KEEP_S)
        assert server.open_count == 0
        assert not idle._tasks
        assert not idle._under_way
        assert not idle._needed_s

    run_with_timeout(scenario())


def test_server_that_closes_it_at_once_gets_one_connection_an_answer() -> None:
    async def scenario() -> None:
        server = Acceptor()
        server.closes = True
        await server.start()
        idle = IdleConnections(ProcessConnections())
        for _ in range(3):
            idle.prepare(server.place, SERVICE)
            await asyncio.sleep(OPENED_S)
        assert len(server.accepted) == 3

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
def test_connection_that_the_server_closes_later_is_opened_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "MIN_LIFE_S", 0.01)

    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        answer = await connect(*server.place.address, 1.0)
        idle.begin(server.place, answer)
        await asyncio.sleep(OPENED_S)
        server.accepted[1].close()
        await asyncio.sleep(OPENED_S)
        assert len(server.accepted) == 3
        assert server.open_count == 2
        answer.abort()

    run_with_timeout(scenario())


def test_services_that_are_gone_take_a_bounded_memory() -> None:
    idle = IdleConnections(ProcessConnections())
    for number in range(2 * idle_connections.MAX_SERVICES):
        idle.record_head(f"s{number}", is_close_delimited=number % 2 == 0)
    assert len(idle._unframed_s) <= idle_connections.MAX_SERVICES
