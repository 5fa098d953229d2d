"""Tests of nodes that have missed that servers of another version joined.

Callers take streams of these servers up there.
"""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from savorylift.fleet.reader_choice import READERS_KEY
from savorylift.fleet.version_recorder import START_DELAY_S
from savorylift.rendezvous import rank
from tests.front.test_ended_servers import start_again
from tests.front.version_fleet import (
    EVENTS,
    Part,
    VersionProcessFleet,
    join,
    mixed,
)

NODES = 3
STREAMS = 16
# More than a node in touch takes to read a new entry, and less than one that
# hears no other takes to read the store itself.
NOTICE_S = 0.5
# By then a node has handled a signal.
SIGNAL_S = 0.1
# More than a node takes to hear others and the store again.
HEAL_S = 3.0

pytestmark = pytest.mark.processes


def late_node(fleet: VersionProcessFleet) -> int:
    """Returns the number of the node that reads the store by others."""
    names = {f"vm-{ip}": number for number, ip in enumerate(fleet.ips)}
    return names[rank(READERS_KEY, names)[-1]]


async def cut_off(fleet: VersionProcessFleet) -> list[Part]:
    """The node hears no other node; the store is in reach."""
    fleet.cut_off_nodes([fleet.ips[late_node(fleet)]])
    return await begin_at_joined_server(fleet)


async def cut_off_with_store(fleet: VersionProcessFleet) -> list[Part]:
    """The node hears neither other nodes nor the store."""
    ip = fleet.ips[late_node(fleet)]
    fleet.cut_off_nodes([ip])
    fleet.cut_off_store(ip)
    return await begin_at_joined_server(fleet)


async def stand_still(fleet: VersionProcessFleet) -> list[Part]:
    """The node stands still, and hears nobody yet as it goes on."""
    ip = fleet.ips[late_node(fleet)]
    fleet.cut_off_nodes([ip])
    fleet.cut_off_store(ip)
    await asyncio.sleep(SIGNAL_S)
    fleet.processes[ip].pause()
    parts = await begin_at_joined_server(fleet)
    fleet.processes[ip].resume()
    return parts


async def begin_at_joined_server(fleet: VersionProcessFleet) -> list[Part]:
    """A server of another version joins; returns streams that broke off."""
    joined = fleet.pool[0]
    joined.software_version = "v2"
    fleet.restart_under_other_id(joined, "pool")
    await asyncio.sleep(NOTICE_S)
    node = (late_node(fleet) + 1) % NODES
    parts = await fleet.broken_streams(STREAMS, node)
    assert any("v2" in part.versions for part in parts)
    return parts


def run_in_fleet(
    directory: pathlib.Path,
    scenario: Callable[[VersionProcessFleet], Coroutine[Any, Any, None]],
) -> None:
    """Runs a scenario once all nodes know that v1 alone has ever served."""

    async def main() -> None:
        fleet = VersionProcessFleet(NODES, directory)
        fleet.set_versions("v1", "v1", "v1", "v1")
        async with fleet.running():
            await asyncio.sleep(START_DELAY_S)
            await scenario(fleet)

    asyncio.run(main())


@pytest.mark.parametrize(
    "fall_behind", [cut_off, cut_off_with_store, stand_still]
)
def test_node_out_of_step_continues_no_stream_at_a_version_that_it_knows(
    fall_behind: Callable[[VersionProcessFleet], Awaitable[list[Part]]],
    tmp_path: pathlib.Path,
) -> None:
    """The one version that the node had read passed for the only one."""

    async def scenario(fleet: VersionProcessFleet) -> None:
        parts = await fall_behind(fleet)
        rests = await fleet.take_up_all(late_node(fleet), parts)
        assert mixed(*join(parts, rests)) == []

    run_in_fleet(tmp_path, scenario)


def test_node_that_hears_no_other_continues_no_stream_of_an_unread_process(
    tmp_path: pathlib.Path,
) -> None:
    """Those who knew of the process kept it to themselves."""

    async def scenario(fleet: VersionProcessFleet) -> None:
        late, server = late_node(fleet), fleet.pool[0]
        fleet.cut_off_nodes([fleet.ips[late]])
        await start_again(server, "v2")
        parts = await fleet.broken_streams(STREAMS, (late + 1) % NODES)
        server.stop()
        server.abort_all()
        await asyncio.sleep(NOTICE_S)
        fleet.remove_entry(server)
        await asyncio.sleep(HEAL_S)
        rests = await fleet.take_up_all(late, parts)
        assert any("v2" in part.versions for part in parts)
        assert mixed(*join(parts, rests)) == []

    run_in_fleet(tmp_path, scenario)


def test_streams_go_on_once_the_node_is_in_step_again(
    tmp_path: pathlib.Path,
) -> None:
    """The other side of the same: what it has missed it learns."""

    async def scenario(fleet: VersionProcessFleet) -> None:
        parts = await cut_off_with_store(fleet)
        fleet.heal_nodes()
        await asyncio.sleep(HEAL_S)
        joined = join(parts, await fleet.take_up_all(late_node(fleet), parts))
        assert mixed(*joined) == []
        assert [len(events) for events in joined] == [EVENTS] * STREAMS

    run_in_fleet(tmp_path, scenario)
