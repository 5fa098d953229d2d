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
CLOSED_S = 0.8
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

    async def all_closed(self) -> None:
        """Waits until no connection is open."""
        async with asyncio.timeout(CLOSED_S):
            while self.open_count:
                await asyncio.sleep(0.005)


@pytest.fixture
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_connections, "KEEP_S", KEEP_S)
    monkeypatch.setattr(idle_connections, "LOOK_INTERVAL_S", KEEP_S / 4)


async def answer(idle: IdleConnections, server: Acceptor) -> Channel:
    """Begins an answer without framing."""
    channel = await connect(*server.place.address, 1.0)
    idle.begin(server.place, SERVICE, channel)
    return channel


@pytest.mark.usefixtures("_short_times")
@pytest.mark.parametrize(
    ("service", "wait_s", "count"),
    [(SERVICE, 0.0, 1), ("other", 0.0, 0), (SERVICE, 2 * KEEP_S, 0)],
    ids=["unframed", "not known", "no longer"],
)
def test_service_that_answered_without_framing_gets_a_connection_before(
    service: str, wait_s: float, count: int
) -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        channel = await answer(idle, server)
        channel.abort()
        idle.end(server.place, channel)
        await asyncio.sleep(OPENED_S + wait_s)
        before = server.open_count
        for _ in range(5):
            idle.prepare(server.place, service)
        await asyncio.sleep(OPENED_S)
        assert (before, server.open_count) == (0, count)

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
@pytest.mark.parametrize("has_end", [True, False])
def test_connection_is_kept_as_long_as_an_answer_is_under_way(
    has_end: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        channel = await answer(idle, server)
        await asyncio.sleep(3 * KEEP_S)
        assert server.open_count == 2
        channel.abort()
        if has_end:
            idle.end(server.place, channel)
        await server.all_closed()
        await asyncio.sleep(OPENED_S)
        assert not idle._keepers

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
def test_connection_is_there_until_it_is_known_whether_the_process_lives() -> (
    None
):
    """The connection was closed between the end of an answer and its check."""

    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        for _ in range(10):
            channel = await answer(idle, server)
            await asyncio.sleep(idle_connections.LOOK_INTERVAL_S * 0.9)
            channel.abort()
            await asyncio.sleep(idle_connections.LOOK_INTERVAL_S * 0.9)
            assert server.open_count == 1
            idle.end(server.place, channel)
            await server.all_closed()

    run_with_timeout(scenario())


def test_server_that_closes_it_at_once_gets_one_connection_an_answer() -> None:
    async def scenario() -> None:
        server = Acceptor()
        server.closes = True
        await server.start()
        idle = IdleConnections(ProcessConnections())
        channels = []
        for _ in range(3):
            channels.append(await answer(idle, server))
            await asyncio.sleep(OPENED_S)
        assert len(server.accepted) == 2 * len(channels)

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
        channel = await answer(idle, server)
        await asyncio.sleep(OPENED_S)
        server.accepted[1].close()
        await asyncio.sleep(OPENED_S)
        assert len(server.accepted) == 3
        assert server.open_count == 2
        channel.abort()

    run_with_timeout(scenario())


def test_services_that_are_gone_take_a_bounded_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "MAX_SERVICES", 3)

    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections(ProcessConnections())
        channel = await connect(*server.place.address, 1.0)
        for number in range(9):
            idle.begin(server.place, f"s{number}", channel)
        assert list(idle._unframed_s) == ["s6", "s7", "s8"]
        channel.abort()

    run_with_timeout(scenario())
