"""Tests of streams that another node serves, as one of the two ends."""

import asyncio
import pathlib
import random

import pytest

from tests.front.stream_callers import Habits, KeepingCaller
from tests.front.version_fleet import VersionProcessFleet
from tests.soak.version_logs import lines

pytestmark = pytest.mark.processes
STREAMS = 8
# Longer than a node serves after SIGTERM.
EVENTS = 400
EVENT_INTERVAL_S = 0.02
# Only these show a node that it reaches no server.
EARLIER_STREAMS = 4
BEGUN_S = 0.8
HANDING_OVER, SERVING = 0, 1


@pytest.mark.parametrize("is_unframed", [False, True])
@pytest.mark.parametrize("ended", [HANDING_OVER, SERVING])
def test_handed_over_stream_that_a_node_cuts_off_does_not_look_whole(
    ended: int,
    is_unframed: bool,  # noqa: FBT001
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        fleet = VersionProcessFleet(2, tmp_path)
        caller = KeepingCaller(random.Random(1), Habits(earlier_share=1.0))
        fleet.caller = caller
        fleet.set_versions("v1", "v1", "v1", "v1")
        for server in fleet.pool:
            server.resets_after = None
            server.event_interval_s = EVENT_INTERVAL_S
            server.has_unframed_streams = is_unframed
        async with fleet.running():
            fleet.cut_off_servers(fleet.ips[HANDING_OVER])
            for number in range(EARLIER_STREAMS):
                await fleet.stream(HANDING_OVER, f"e{number}")
            for server in fleet.pool:
                server.events_per_stream = EVENTS
            streams = asyncio.ensure_future(
                fleet.streams(STREAMS, HANDING_OVER)
            )
            await asyncio.sleep(BEGUN_S)
            fleet.processes[fleet.ips[ended]].terminate()
            parts = await streams
        serving = f"vm-{fleet.ips[SERVING]}"
        handed_over = {
            line["request"]
            for line in lines(tmp_path)
            if line["event"] == "sent" and line["vm"] == serving
        }
        begun = {
            f"s{number}": part
            for number, part in enumerate(parts)
            if part.versions
        }
        assert len(begun) > 1
        assert set(begun) <= handed_over
        assert all(len(part.versions) < EVENTS for part in begun.values())
        assert not [name for name, part in begun.items() if part.is_whole]

    asyncio.run(scenario())
