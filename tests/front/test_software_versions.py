"""Tests of streams while servers of several software versions serve.

Every event says the version of the server that wrote it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.front.version_fleet import (
    BREAK_AFTER,
    EVENTS,
    Part,
    VersionFleet,
    join,
    mixed,
)

STREAMS = 16
# A refusal that rests on what is known comes within this time.
AT_ONCE_S = 0.6


def test_broken_stream_goes_on_at_the_version_that_began_it() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        parts = await asyncio.gather(
            *(fleet.stream(n % 2, f"s{n}") for n in range(STREAMS))
        )
        assert mixed(*(part.versions for part in parts)) == []
        assert all(part.is_whole for part in parts)

    run_in_fleet(scenario)


def test_moved_stream_goes_on_at_the_version_that_began_it() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        for server in fleet.pool:
            server.resets_after = None
            server.events_per_stream = 100
        streams = [
            asyncio.ensure_future(fleet.stream(n % 2, f"s{n}"))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(0.4)
        fleet.publish_entry(fleet.pool[0], "pool", "draining")
        parts = await asyncio.gather(*streams)
        assert fleet.pool[0].stopped
        assert mixed(*(part.versions for part in parts)) == []
        assert all(part.is_whole for part in parts)

    run_in_fleet(scenario)


def test_stream_whose_version_is_gone_breaks_off() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        for server in fleet.pool[:2]:
            server.events_per_stream = 100
            server.resets_after = None
        streams = [
            asyncio.ensure_future(fleet.stream(n % 2, f"s{n}"))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(0.4)
        for server in fleet.pool[:2]:
            server.stop()
            server.abort_all()
        parts = await asyncio.gather(*streams)
        old = [part for part in parts if "v1" in part.versions]
        assert old
        assert mixed(*(part.versions for part in parts)) == []
        assert not any(part.is_whole for part in old)

    run_in_fleet(scenario)


def test_stream_taken_up_elsewhere_goes_on_at_its_version() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        parts = await fleet.broken_streams(STREAMS)
        rests = await fleet.take_up_all(1, parts)
        joined = join(parts, rests)
        assert mixed(*joined) == []
        assert [len(events) for events in joined] == [EVENTS] * STREAMS

    run_in_fleet(scenario)


def test_stream_taken_up_twice_goes_on_at_its_version() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        (part,) = await fleet.broken_streams(1)
        for server in fleet.pool:
            server.resets_from = BREAK_AFTER + 2
        second = await fleet.take_up(1, "t0", part, "s0")
        for server in fleet.pool:
            server.resets_from = None
        events = part.versions + second.versions
        assert not second.is_whole
        third = await fleet.take_up(
            0, "u0", Part(200, events, is_whole=False, took_s=0.0), "s0"
        )
        events += third.versions
        assert mixed(events) == []
        assert len(events) == EVENTS

    run_in_fleet(scenario)


def test_taken_up_stream_is_refused_at_once_when_its_version_is_gone() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        parts = await fleet.broken_streams(STREAMS)
        begun = {part.versions[0] for part in parts}
        assert begun == {"v1", "v2"}
        for server in fleet.pool[:2]:
            fleet.publish_entry(server, "pool", "draining")
        await asyncio.sleep(0.5)
        for number, part in enumerate(parts):
            if part.versions[0] == "v2":
                continue
            rest = await fleet.take_up(1, f"t{number}", part, f"s{number}")
            assert rest.status == 503
            assert rest.took_s < AT_ONCE_S
            assert float(rest.retry_after or "0") > 0

    run_in_fleet(scenario)


def test_take_up_of_an_unknown_stream_is_refused_while_versions_differ() -> (
    None
):
    async def scenario(fleet: VersionFleet) -> None:
        part = Part(200, ["v1"] * 4, is_whole=False, took_s=0.0)
        rest = await fleet.take_up(1, "t0", part, "nobody-knows")
        assert rest.status == 503
        assert rest.took_s < AT_ONCE_S
        assert float(rest.retry_after or "0") > 0
        assert all("t0" not in server.runs for server in fleet.pool)

    run_in_fleet(scenario)


def test_take_up_of_an_unknown_stream_goes_on_while_one_version_serves() -> (
    None
):
    async def scenario(fleet: VersionFleet) -> None:
        part = Part(200, ["v1"] * 4, is_whole=False, took_s=0.0)
        rest = await fleet.take_up(1, "t0", part, "nobody-knows")
        assert rest.is_whole
        assert len(rest.versions) == EVENTS - 4

    run_in_fleet(scenario, "v1", "v1", "v1", "v1")


def test_server_that_restarts_at_another_version_continues_no_stream() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        parts = await fleet.broken_streams(STREAMS)
        for server in fleet.pool[:2]:
            server.software_version = "v3"
            fleet.publish_entry(server, "pool")
        await asyncio.sleep(0.5)
        rests = await fleet.take_up_all(1, parts)
        for part, rest in zip(parts, rests, strict=True):
            assert mixed(part.versions + rest.versions) == []
            assert rest.status == (503 if part.versions[0] == "v1" else 200)

    run_in_fleet(scenario)


def test_queued_stream_is_refused_once_its_version_is_gone() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        (part,) = await fleet.broken_streams(1)
        for server in fleet.pool:
            server.resets_after = None
            server.events_per_stream = 150
        full = [
            asyncio.ensure_future(fleet.stream(0, f"o{n}", counts="9400,900"))
            for n in range(len(fleet.pool))
        ]
        await asyncio.sleep(0.3)
        waiting = asyncio.ensure_future(fleet.take_up(1, "t0", part, "s0"))
        await asyncio.sleep(0.3)
        assert not waiting.done()
        for server in fleet.pool:
            if server.software_version == part.versions[0]:
                fleet.publish_entry(server, "pool", "draining")
        rest = await waiting
        assert rest.status == 503
        assert rest.took_s < 0.3 + AT_ONCE_S
        await asyncio.gather(*full)

    run_in_fleet(scenario)


@pytest.mark.parametrize("lost_home", [2, 3, 4])
def test_stream_is_taken_up_at_its_version_after_nodes_were_cut_off(
    lost_home: int,
) -> None:
    async def scenario(fleet: VersionFleet) -> None:
        parts = await fleet.broken_streams(STREAMS)
        await asyncio.sleep(0.3)
        fleet.cut_off(0)
        fleet.cut_off(lost_home)
        await asyncio.sleep(1.5)
        rests = await fleet.take_up_all(1, parts)
        joined = join(parts, rests)
        assert mixed(*joined) == []
        assert [rest.is_whole for rest in rests] == [True] * STREAMS

    run_in_fleet(scenario, nodes=6)


def run_in_fleet(
    scenario: Callable[[VersionFleet], Coroutine[Any, Any, None]],
    *engine_versions: str,
    nodes: int = 2,
) -> None:
    """Runs a scenario with two engines of each version, or those given."""

    async def main() -> None:
        fleet = VersionFleet(nodes)
        if engine_versions:
            fleet.set_versions(*engine_versions)
        async with fleet.running():
            await scenario(fleet)

    asyncio.run(main())
