"""Tests of streams taken up after nodes were killed at the same moment."""

import asyncio
import pathlib

import pytest

from savorylift.exchange.origin_finder import MIN_UPTIME_S
from savorylift.fleet.version_recorder import START_DELAY_S
from tests.front.test_ended_servers import start_again
from tests.front.version_fleet import (
    EVENTS,
    VersionProcessFleet,
    join,
    mixed,
)

NODES = 3
STREAMS = 8
# More than a node takes to notice a new entry, and to write what follows.
NOTICE_S = 1.0
# Origins of streams are written within a second.
WRITTEN_S = 1.3

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("killed", [1, NODES])
def test_stream_of_a_gone_version_goes_on_at_no_other_after_kills(
    killed: int, tmp_path: pathlib.Path
) -> None:
    """Nodes that were all killed took the only version left for the first."""

    async def scenario() -> None:
        fleet = VersionProcessFleet(NODES, tmp_path)
        fleet.set_versions("v1", "v1", "v1", "v1")
        async with fleet.running():
            parts = await fleet.broken_streams(STREAMS)
            fleet.set_versions("v2", "v2", "v2", "v2")
            for server in fleet.pool:
                fleet.publish_entry(server, "pool")
            await asyncio.sleep(NOTICE_S)
            fleet.kill(killed)
            await fleet.start_again(killed)
            await asyncio.sleep(NOTICE_S)
            rests = await fleet.take_up_all(0, parts)
            assert mixed(*join(parts, rests)) == []
            assert {rest.status for rest in rests} == {503}

    asyncio.run(scenario())


@pytest.mark.parametrize("killed", [2, NODES])
def test_streams_go_on_at_their_version_after_kills(
    killed: int, tmp_path: pathlib.Path
) -> None:
    """Nodes that were all killed refused each stream while versions differ."""

    async def scenario() -> None:
        fleet = VersionProcessFleet(NODES, tmp_path)
        async with fleet.running():
            parts = await fleet.broken_streams(STREAMS)
            await asyncio.sleep(WRITTEN_S)
            fleet.kill(killed)
            await fleet.start_again(killed)
            await asyncio.sleep(NOTICE_S)
            rests = await fleet.take_up_all(1, parts)
            joined = join(parts, rests)
            assert mixed(*joined) == []
            assert [len(events) for events in joined] == [EVENTS] * STREAMS

    asyncio.run(scenario())


@pytest.mark.parametrize("is_noticed", [False, True])
def test_stream_of_a_process_without_an_entry_goes_on_nowhere_after_kills(
    *, is_noticed: bool, tmp_path: pathlib.Path
) -> None:
    """Nodes that start take the entries they find for all there ever were."""

    async def scenario() -> None:
        fleet = VersionProcessFleet(NODES, tmp_path)
        fleet.set_versions("v1", "v1", "v1", "v1")
        server = fleet.pool[0]
        async with fleet.running():
            await asyncio.sleep(START_DELAY_S + NOTICE_S)
            for other in fleet.pool[1:]:
                other.rejects_all = True
            await start_again(server, "v2")
            parts = [p for p in await fleet.streams(STREAMS) if p.versions]
            await start_again(server, "v1")
            for other in fleet.pool[1:]:
                other.rejects_all = False
            if is_noticed:
                fleet.publish_entry(server, "pool")
                await asyncio.sleep(NOTICE_S)
            fleet.kill(NODES)
            fleet.publish_entry(server, "pool")
            await fleet.start_again(NODES)
            await asyncio.sleep(MIN_UPTIME_S)
            rests = await fleet.take_up_all(0, parts)
            assert {version for p in parts for version in p.versions} == {"v2"}
            assert not any(part.is_whole for part in parts)
            assert mixed(*join(parts, rests)) == []
            assert {rest.status for rest in rests} == {503}

    asyncio.run(scenario())


def test_streams_of_unknown_origin_go_on_after_kills_where_no_server_ended(
    tmp_path: pathlib.Path,
) -> None:
    """The other side of the same: nothing but the nodes has started again."""

    async def scenario() -> None:
        fleet = VersionProcessFleet(NODES, tmp_path)
        fleet.set_versions("v1", "v1", "v1", "v1")
        async with fleet.running():
            await asyncio.sleep(START_DELAY_S + NOTICE_S)
            parts = await fleet.broken_streams(STREAMS)
            fleet.kill(NODES)
            await fleet.start_again(NODES)
            await asyncio.sleep(MIN_UPTIME_S)
            joined = join(parts, await fleet.take_up_all(0, parts))
            assert [len(events) for events in joined] == [EVENTS] * STREAMS

    asyncio.run(scenario())


def test_streams_go_on_after_kills_where_a_server_has_started_again(
    tmp_path: pathlib.Path,
) -> None:
    """Once a restart counts, what nodes know must outlive them."""

    async def scenario() -> None:
        fleet = VersionProcessFleet(NODES, tmp_path)
        fleet.set_versions("v1", "v1", "v1", "v1")
        async with fleet.running():
            await asyncio.sleep(START_DELAY_S + NOTICE_S)
            await start_again(fleet.pool[0], "v1")
            fleet.publish_entry(fleet.pool[0], "pool")
            await asyncio.sleep(NOTICE_S)
            parts = await fleet.broken_streams(STREAMS)
            await asyncio.sleep(WRITTEN_S)
            fleet.kill(NODES)
            await fleet.start_again(NODES)
            await asyncio.sleep(MIN_UPTIME_S)
            joined = join(parts, await fleet.take_up_all(0, parts))
            assert [len(events) for events in joined] == [EVENTS] * STREAMS

    asyncio.run(scenario())
