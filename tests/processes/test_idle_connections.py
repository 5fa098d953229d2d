"""Tests of the idle connections to servers that answer without framing."""

import asyncio
import time

import pytest

from savorylift.processes import idle_connections
from savorylift.processes.idle_connections import (
    IdleConnections,
    ProcessPlace,
)
from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.purpose import Purpose
from tests.wire.loopback import run_with_timeout, serve_bytes

KEEP_S = 0.2
OPENED_S = 0.05
RETRY_S = 0.1
SILENCE_S = 0.05
ANSWERS = 300
# Processor time that the end of one answer may take.
MAX_ANSWER_S = 0.001
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
        self._listener: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self._listener, port = await serve_bytes(self._serve, port)
        address = ("127.0.0.1", port)
        self.place = ProcessPlace("i-1", address, frozenset({1}))

    async def _serve(self, channel: Channel) -> None:
        self.accepted.append(channel)
        if self.closes:
            channel.close()
            return
        await channel.peer_closed.wait()

    def end(self) -> None:
        """Closes all, as a process that ends."""
        assert self._listener is not None
        self._listener.close()
        for channel in self.accepted:
            channel.close()

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
    monkeypatch.setattr(idle_connections, "JUDGE_S", KEEP_S)
    monkeypatch.setattr(idle_connections, "RETRY_S", RETRY_S)


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
        idle = IdleConnections()
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
        idle = IdleConnections()
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
        idle = IdleConnections()
        for _ in range(10):
            channel = await answer(idle, server)
            await asyncio.sleep(idle_connections.LOOK_INTERVAL_S * 0.9)
            channel.abort()
            await asyncio.sleep(idle_connections.LOOK_INTERVAL_S * 0.9)
            assert server.open_count == 1
            idle.end(server.place, channel)
            await server.all_closed()

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
def test_server_that_closes_it_at_once_gets_another_one_now_and_then() -> None:
    async def scenario() -> None:
        server = Acceptor()
        server.closes = True
        await server.start()
        idle = IdleConnections()
        channel = await answer(idle, server)
        await asyncio.sleep(5.5 * RETRY_S)
        assert 3 <= len(server.accepted) - 1 <= 6
        channel.abort()

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
def test_connection_that_failed_once_is_tried_again_for_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A lost packet as a long answer began left nothing to judge it by."""
    tries: list[str] = []

    async def fail_once(
        host: str, port: int, timeout_s: float, purpose: Purpose
    ) -> Channel:
        tries.append(host)
        if len(tries) == 1:
            raise TimeoutError
        return await connect(host, port, timeout_s, purpose)

    async def scenario() -> None:
        monkeypatch.setattr(idle_connections, "connect", fail_once)
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channel = await answer(idle, server)
        await asyncio.sleep(2 * RETRY_S)
        assert await idle.stays_open(channel, SILENCE_S)
        channel.abort()

    run_with_timeout(scenario())


@pytest.mark.usefixtures("_short_times")
def test_connection_that_the_server_closes_is_opened_again() -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channel = await answer(idle, server)
        await asyncio.sleep(OPENED_S)
        server.accepted[1].close()
        await asyncio.sleep(2 * RETRY_S)
        assert server.open_count == 2
        assert await idle.stays_open(channel, SILENCE_S)
        channel.abort()

    run_with_timeout(scenario())


def test_process_that_ends_closes_its_idle_connection() -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channel = await answer(idle, server)
        await asyncio.sleep(OPENED_S)
        assert await idle.stays_open(channel, SILENCE_S)
        loop = asyncio.get_running_loop()
        loop.call_later(SILENCE_S / 2, server.end)
        assert not await idle.stays_open(channel, SILENCE_S)

    run_with_timeout(scenario())


@pytest.mark.parametrize("has_unread", [False, True])
def test_connection_to_the_next_process_speaks_for_no_answer_of_the_last(
    has_unread: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        first = Acceptor()
        await first.start()
        channel = await connect(*first.place.address, 1.0)
        await asyncio.sleep(OPENED_S)
        if has_unread:
            first.accepted[0].write(b"event")
        first.end()
        second = Acceptor()
        await second.start(first.place.address[1])
        idle = IdleConnections()
        idle.begin(second.place, SERVICE, channel)
        await asyncio.sleep(2 * OPENED_S)
        assert second.open_count == 1
        assert not await idle.stays_open(channel, SILENCE_S)

    run_with_timeout(scenario())


def test_answer_is_matched_as_soon_as_none_of_it_is_unread() -> None:
    """An event that was unread at one moment made an answer not known."""

    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channel = await connect(*server.place.address, 1.0)
        await asyncio.sleep(OPENED_S)
        server.accepted[0].write(b"event")
        await asyncio.sleep(OPENED_S)
        idle.begin(server.place, SERVICE, channel)
        await asyncio.sleep(OPENED_S)
        assert not await idle.stays_open(channel, SILENCE_S)
        await channel.read()
        await asyncio.sleep(2 * idle_connections.MAX_MATCH_INTERVAL_S)
        assert await idle.stays_open(channel, SILENCE_S)
        channel.abort()

    run_with_timeout(scenario())


def test_answers_that_end_together_take_little_time() -> None:
    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channels = [await answer(idle, server) for _ in range(ANSWERS)]
        await asyncio.sleep(OPENED_S)
        began_s = time.process_time()
        found = await asyncio.gather(
            *(idle.stays_open(channel, SILENCE_S) for channel in channels)
        )
        took_s = time.process_time() - began_s
        assert all(found)
        assert took_s / ANSWERS < MAX_ANSWER_S
        for channel in channels:
            channel.abort()

    run_with_timeout(scenario())


def test_answer_that_begins_as_the_last_one_is_done_gets_a_connection() -> None:
    """It was given to a task that had just ended."""

    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channel = await answer(idle, server)
        keeper = idle._keepers[server.place]
        await asyncio.sleep(OPENED_S)
        channel.abort()
        assert keeper._task is not None
        later = await connect(*server.place.address, 1.0)
        idle.end(server.place, channel)
        while not keeper._task.done():
            await asyncio.sleep(0)
        idle.begin(server.place, SERVICE, later)
        await asyncio.sleep(OPENED_S)
        assert await idle.stays_open(later, SILENCE_S)
        later.abort()

    run_with_timeout(scenario())


def test_services_that_are_gone_take_a_bounded_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "MAX_SERVICES", 3)

    async def scenario() -> None:
        server = Acceptor()
        await server.start()
        idle = IdleConnections()
        channel = await connect(*server.place.address, 1.0)
        for number in range(9):
            idle.begin(server.place, f"s{number}", channel)
        assert list(idle._unframed_s) == ["s6", "s7", "s8"]
        channel.abort()

    run_with_timeout(scenario())
