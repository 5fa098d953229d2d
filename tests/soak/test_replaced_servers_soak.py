"""Soak test of engines that are replaced while they answer without framing.

The nodes are processes. Each engine's new process listens at once, under the
same ID and at the same address.
"""

import asyncio
import pathlib
import random

import pytest

from tests.front.engine_fleet import EngineProcessFleet
from tests.front.engine_process import EngineProcess
from tests.front.version_fleet import Part
from tests.soak.shape import RESUMABLE_PATH

pytestmark = pytest.mark.processes
DURATION_S = 8.0
SEED = 1
NODES = 3
EVENTS = 90
EVENT_INTERVAL_S = 1 / 60
STREAM_INTERVAL_S = 0.12
REPLACEMENT_INTERVAL_S = (0.2, 0.6)
# When the entry of a new process is read after it listens.
ENTRY_DELAYS_S = (0.0, 0.5, 2.0)
MAX_TAKE_UPS = 5
RETURN_S = 0.3


async def replace_engines(
    fleet: EngineProcessFleet, rng: random.Random
) -> None:
    """Replaces an engine now and then, until it is cancelled."""
    replaced: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(rng.uniform(*REPLACEMENT_INTERVAL_S))
        server = rng.choice(fleet.engines)
        delay_s = rng.choice(ENTRY_DELAYS_S)
        replaced.add(asyncio.ensure_future(replace(fleet, server, delay_s)))


async def replace(
    fleet: EngineProcessFleet, server: EngineProcess, entry_delay_s: float
) -> None:
    if not server.is_running:
        return
    server.kill()
    await server.start(server.port)
    await asyncio.sleep(entry_delay_s)
    fleet.publish_entry(server, "pool")


async def stream(
    fleet: EngineProcessFleet, rng: random.Random, name: str
) -> tuple[int, ...] | None:
    """Returns the events of a stream that looked complete; None if none did."""
    numbers: tuple[int, ...] = ()
    for take_up in range(MAX_TAKE_UPS + 1):
        node = rng.randrange(NODES)
        if numbers:
            seen = Part(200, ["v1"] * len(numbers), is_whole=False, took_s=0.0)
            part = await fleet.take_up(node, f"{name}-{take_up}", seen, name)
        else:
            part = await fleet.stream(node, name)
        numbers += part.numbers
        if part.is_whole and part.status == 200:
            return numbers
        if not numbers:
            return None
        await asyncio.sleep(RETURN_S)
    return None


@pytest.mark.parametrize("limit", [None, "6"])
def test_streams_of_replaced_engines_look_complete_only_with_all_events(
    limit: str | None, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> list[tuple[int, ...] | None]:
        rng = random.Random(SEED)
        fleet = EngineProcessFleet(NODES, tmp_path, RESUMABLE_PATH)
        for server in fleet.engines:
            server.resets_after = None
            server.events_per_stream = EVENTS
            server.event_interval_s = EVENT_INTERVAL_S
            server.has_unframed_streams = True
            server.named_limit = limit
        async with fleet.running():
            replacing = asyncio.ensure_future(replace_engines(fleet, rng))
            streams = []
            for number in range(round(DURATION_S / STREAM_INTERVAL_S)):
                name = f"s{number}"
                streams.append(asyncio.ensure_future(stream(fleet, rng, name)))
                await asyncio.sleep(STREAM_INTERVAL_S)
            results = await asyncio.gather(*streams)
            replacing.cancel()
        return results

    results = asyncio.run(scenario())
    complete = [numbers for numbers in results if numbers is not None]
    assert complete
    early = [n for n in complete if n != tuple(range(1, EVENTS + 1))]
    assert not early
