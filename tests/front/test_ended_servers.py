"""Tests of servers that end before it is known what they served.

They start again under their ID, at another version or at the earlier one.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from savorylift.fleet.version_recorder import START_DELAY_S
from tests.front.version_fleet import Part, VersionFleet, mixed
from tests.standins.platform_server import PlatformServer

RESTART_S = 0.3
ENTRY_DELAY_S = 0.3
# Time in which an entry is read and told.
READ_S = 0.7
STREAMS = 6
ENDLESS_EVENTS = 400
CLOSE_INTERVAL_S = 0.003
TAKE_UP_INTERVAL_S = 0.01
TAKE_UPS = 60
SEEN = Part(200, ["v2"] * 4, is_whole=False, took_s=0.0)
Scenario = Callable[[VersionFleet], Coroutine[Any, Any, None]]


async def start_again(server: PlatformServer, version: str) -> None:
    """Ends a server; another process of it serves, without an entry."""
    server.stop()
    server.abort_all()
    server.forget_runs()
    server.software_version = version
    server.born += 1
    await asyncio.sleep(RESTART_S)
    await server.start(server.port)


def test_stream_isnt_taken_for_one_of_the_process_that_follows() -> None:
    """The node asked until a process answered, which was the next one."""

    async def scenario(fleet: VersionFleet) -> None:
        for server in fleet.pool[1:]:
            server.rejects_all = True
        server = fleet.pool[0]
        has_begun = asyncio.Event()
        server.on_event = lambda _: has_begun.set()
        stream = asyncio.ensure_future(fleet.stream(0, "s1"))
        await has_begun.wait()
        await start_again(server, "v2")
        await asyncio.sleep(ENTRY_DELAY_S)
        fleet.publish_entry(server, "pool")
        await asyncio.sleep(READ_S)
        for other in fleet.pool[1:]:
            other.rejects_all = False
        part = await stream
        rest = await fleet.take_up(1, "t1", part, "s1")
        assert part.versions == ["v1"]
        assert mixed(part.versions + rest.versions) == []

    run_in_fleet(scenario, ("v1", "v1", "v2", "v2"))


@pytest.mark.parametrize("versions", [("v2",), ("v2", "v1")])
def test_stream_of_unknown_origin_waits_as_soon_as_an_entry_is_read(
    versions: tuple[str, ...],
) -> None:
    """A version, or a restart, counted up to 0.2 s after its entry was read."""

    async def scenario(fleet: VersionFleet) -> None:
        await asyncio.sleep(START_DELAY_S)
        for version in versions:
            await start_again(fleet.pool[0], version)
        fleet.publish_entry(fleet.pool[0], "pool")
        rests = []
        for number in range(TAKE_UPS):
            rest = fleet.take_up(0, f"t{number}", SEEN, f"s{number}")
            rests.append(asyncio.ensure_future(rest))
            await asyncio.sleep(TAKE_UP_INTERVAL_S)
        found = [rest.versions for rest in await asyncio.gather(*rests)]
        assert mixed(*(SEEN.versions + events for events in found)) == []

    run_in_fleet(scenario, ("v1",) * 4)


@pytest.mark.parametrize("is_silent", [False, True])
def test_stream_of_a_process_that_was_never_read_goes_on_nowhere(
    *, is_silent: bool
) -> None:
    """Only the processes that served at the take-up counted."""

    async def scenario(fleet: VersionFleet) -> None:
        await asyncio.sleep(START_DELAY_S)
        server = fleet.pool[0]
        for other in fleet.pool[1:]:
            other.rejects_all = True
        await start_again(server, "v2")
        fleet.cut_off(0)
        part = await fleet.stream(0, "s1")
        assert set(part.versions) == {"v2"}
        for other in fleet.pool[1:]:
            other.rejects_all = False
        if is_silent:
            server.stop()
            server.abort_all()
        else:
            await start_again(server, "v1")
            fleet.publish_entry(server, "pool")
            await asyncio.sleep(READ_S)
        rest = await fleet.take_up(1, "t1", part, "s1")
        assert mixed(part.versions + rest.versions) == []

    run_in_fleet(scenario, ("v1",) * 4)


def test_streams_of_a_process_that_closes_them_in_turn_do_not_look_whole() -> (
    None
):
    async def scenario(fleet: VersionFleet) -> None:
        for other in fleet.pool[1:]:
            fleet.publish_entry(other, "pool", "draining")
        await asyncio.sleep(READ_S)
        server = fleet.pool[0]
        server.has_unframed_streams = True
        server.resets_after = None
        server.events_per_stream = ENDLESS_EVENTS
        streams = asyncio.ensure_future(fleet.streams(STREAMS))
        await asyncio.sleep(READ_S)
        server.stop()
        await server.end_all(CLOSE_INTERVAL_S)
        parts = await streams
        assert all(part.versions for part in parts)
        assert not [part for part in parts if part.is_whole]

    run_in_fleet(scenario, ("v1",) * 4)


def run_in_fleet(scenario: Scenario, versions: tuple[str, ...]) -> None:
    async def main() -> None:
        fleet = VersionFleet()
        fleet.set_versions(*versions)
        async with fleet.running():
            await scenario(fleet)

    asyncio.run(main())
