"""Tests of which connections lead to the same process of a server."""

import asyncio
import time

import pytest

from savorylift.exchange.process_connections import (
    CLOSING_S,
    MAX_CLOSING_S,
    ProcessConnections,
    ProcessPlace,
)
from savorylift.wire.channel import Channel, connect
from tests.wire.loopback import run_with_timeout, serve_bytes

SEEN_S = 0.02


class ListeningProcess:
    """A process that listens; `end` closes all that it has.

    Attributes:
        port: Its port.
    """

    def __init__(self) -> None:
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._channels: list[Channel] = []

    async def start(self, port: int = 0) -> None:
        self._listener, self.port = await serve_bytes(self._serve, port)

    async def end(self) -> None:
        assert self._listener is not None
        self._listener.close()
        for channel in self._channels:
            channel.close()
        self._channels.clear()

    async def _serve(self, channel: Channel) -> None:
        self._channels.append(channel)
        await channel.peer_closed.wait()


def place_of(port: int, start_ms: int = 1) -> ProcessPlace:
    return ProcessPlace("i-1", ("127.0.0.1", port), frozenset({start_ms}))


async def add(connections: ProcessConnections, place: ProcessPlace) -> Channel:
    channel = await connect(*place.address, 1.0)
    connections.add(place, channel)
    return channel


async def add_idle(
    connections: ProcessConnections, place: ProcessPlace, *answers: Channel
) -> Channel:
    channel = await connect(*place.address, 1.0)
    await connections.add_idle(place, channel, answers)
    return channel


def test_connection_that_stays_open_shows_that_its_process_lives() -> None:
    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        answered = await add(connections, place)
        other = await add(connections, place)
        answered.abort()
        assert await connections.any_stays_open(answered)
        other.abort()
        assert not await connections.any_stays_open(answered)

    run_with_timeout(scenario())


@pytest.mark.parametrize("is_node_late", [False, True])
def test_connection_to_the_next_process_does_not_speak_for_the_last_one(
    is_node_late: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        first = ListeningProcess()
        await first.start()
        connections = ProcessConnections()
        place = place_of(first.port)
        answered = await add(connections, place)
        await asyncio.sleep(SEEN_S)
        await first.end()
        if not is_node_late:
            await asyncio.sleep(SEEN_S)
        second = ListeningProcess()
        await second.start(first.port)
        later = await add(connections, place)
        assert not connections.others(answered)
        assert not await connections.any_stays_open(answered)
        assert later.is_known_open
        await second.end()

    run_with_timeout(scenario())


def test_end_behind_unread_input_speaks_for_no_process() -> None:
    """A full connection hid the end of its process from a later one."""

    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        unread = await add(connections, place)
        unread.limit_input(1)
        await asyncio.sleep(SEEN_S)
        process._channels[0].write(b"x" * 100)
        await process.end()
        await asyncio.sleep(SEEN_S)
        assert not unread.is_peer_closed
        assert not unread.is_known_open
        second = ListeningProcess()
        await second.start(process.port)
        later = await add(connections, place)
        assert not connections.others(unread)
        assert later.is_known_open
        await second.end()
        unread.abort()

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("server_id", "start_ms"), [("i-2", 1), ("i-1", 2)], ids=["id", "start"]
)
def test_connection_of_another_start_or_server_speaks_for_no_process(
    server_id: str, start_ms: int
) -> None:
    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        answered = await add(connections, place)
        other = await add(
            connections,
            place._replace(
                server_id=server_id, starts_ms=frozenset({start_ms})
            ),
        )
        answered.abort()
        assert not await connections.any_stays_open(answered)
        other.abort()
        await process.end()

    run_with_timeout(scenario())


def test_idle_connections_count_only_if_asked_for() -> None:
    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        answered = await add(connections, place)
        idle = await add_idle(connections, place, answered)
        assert connections.others(answered) == [idle]
        assert not connections.others(answered, counts_idle=False)
        await process.end()

    run_with_timeout(scenario())


def test_idle_connection_joins_an_answer_whose_events_come_quickly() -> None:
    """It was taken for one to another process if an event was unread."""

    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        answered = await add(connections, place)
        await asyncio.sleep(SEEN_S)
        process._channels[0].write(b"event")
        await asyncio.sleep(SEEN_S)
        assert answered.has_input
        loop = asyncio.get_running_loop()
        reading = loop.create_task(asyncio.sleep(SEEN_S))
        reading.add_done_callback(lambda _: loop.create_task(answered.read()))
        idle = await add_idle(connections, place, answered)
        assert connections.others(answered) == [idle]
        await process.end()

    run_with_timeout(scenario())


def test_idle_connection_to_the_next_process_joins_no_answer_of_the_last() -> (
    None
):
    async def scenario() -> None:
        first = ListeningProcess()
        await first.start()
        connections = ProcessConnections()
        place = place_of(first.port)
        answered = await add(connections, place)
        await asyncio.sleep(SEEN_S)
        first._channels[0].write(b"event")
        await first.end()
        second = ListeningProcess()
        await second.start(first.port)
        await add_idle(connections, place, answered)
        assert not connections.others(answered)
        await second.end()

    run_with_timeout(scenario())


def test_answers_of_one_process_share_an_idle_connection() -> None:
    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        first = await add(connections, place)
        await asyncio.sleep(SEEN_S)
        process._channels[0].write(b"event")
        await asyncio.sleep(SEEN_S)
        second = await add(connections, place)
        assert not connections.others(first)
        await first.read()
        idle = await add_idle(connections, place, first, second)
        assert idle in connections.others(first)
        assert idle in connections.others(second)
        await process.end()

    run_with_timeout(scenario())


def test_process_that_closes_connections_slowly_is_watched_to_its_end() -> None:
    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        place = place_of(process.port)
        answered = await add(connections, place)
        loop = asyncio.get_running_loop()
        for number in range(6):
            channel = await add(connections, place)
            loop.call_later(number * CLOSING_S / 2, channel.abort)
        answered.abort()
        began_s = time.monotonic()
        assert not await connections.any_stays_open(answered)
        assert time.monotonic() - began_s < MAX_CLOSING_S
        await process.end()

    run_with_timeout(scenario())


def test_connections_that_are_closed_leave_nothing_behind() -> None:
    async def scenario() -> None:
        process = ListeningProcess()
        await process.start()
        connections = ProcessConnections()
        for start_ms in range(20):
            place = place_of(process.port, start_ms)
            channel = await add(connections, place)
            channel.abort()
            del channel
            await asyncio.sleep(0)
        await asyncio.sleep(SEEN_S)
        assert not connections._processes
        assert not connections._newest
        await process.end()

    run_with_timeout(scenario())
