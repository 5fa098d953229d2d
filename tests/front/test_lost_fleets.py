"""Tests of streams taken up after nodes were killed at the same moment."""

import asyncio
import pathlib

import pytest

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
