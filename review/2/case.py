"""Shows that a stream goes on at another software version after a herd kill.

Two runners of version v1 serve streams that may be resumed. They are replaced
by two of version v2 (planned work). While the clients wait to take their
streams up again, all nodes are killed at the same moment and started again.
The streams then go on at v2, though v1 began them: ORDER.

Without the disruption (`TROUBLE=0`) the nodes refuse to go on at v2.
"""

import asyncio
import pathlib
import sys

from review.rig.client import StreamClient
from review.rig.configuration import (
    BOUNDS,
    DRAIN_S,
    configuration,
    stream_route,
)
from review.rig.deployment import (
    RESTART_DELAY_S,
    Deployment,
    is_trouble,
    run,
)
from review.rig.record import Record

FOLDER = pathlib.Path(__file__).parent
STREAMS = 12
# The longest stream that the sheet allows would take longer.
DEADLINE_S = 39.0
# Shortest waits before further tries; an answer may ask for longer ones.
WAITS_S = (0.2, 0.2, 0.2, 0.2, 0.2)
NODES = 3
SETTLE_S = 2.5
# Streams run for this long before the release begins.
RUN_S = 2.0
# The new runner starts first; the old ones drain after this time.
OVERLAP_S = 1.0
# A runner goes on for `drainMs` and a little longer, and then exits.
LINGER_S = 0.5
KILL_AFTER_S = 0.5
# More than this many streams break the rule.
MAX_MIXED = 2


async def release(deployment: Deployment) -> None:
    """Replaces the runners of v1 by those of v2."""
    old, new = deployment.servers[:2], deployment.servers[2:]
    for server in new:
        await server.start()
        deployment.register(server)
    await asyncio.sleep(OVERLAP_S)
    for server in old:
        deployment.register(server, "draining")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    for server in old:
        deployment.unregister(server)
        server.end()


async def kill_all(deployment: Deployment) -> None:
    """Kills all nodes at the same moment; they start again."""
    for node in deployment.nodes:
        node.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    for node in deployment.nodes:
        node.start()


async def play(deployment: Deployment) -> int:
    """Plays the case; returns how many streams mix versions."""
    for number in range(4):
        server = deployment.make_server(
            f"i-{number:08x}", "savory-pool", number % 2
        )
        server.version = "v1" if number < 2 else "v2"
    for server in deployment.servers[:2]:
        await server.start()
        deployment.register(server)
    deployment.configure(configuration([stream_route("draft")]))
    await deployment.start()
    await asyncio.sleep(SETTLE_S)
    addresses = [deployment.address(node) for node in deployment.nodes]
    clients = [
        StreamClient(
            addresses, "/draft/1", DEADLINE_S, WAITS_S, deployment.record
        )
        for _ in range(STREAMS)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(RUN_S)
    await release(deployment)
    await asyncio.sleep(KILL_AFTER_S)
    if is_trouble():
        await kill_all(deployment)
    await asyncio.gather(*tasks)
    return judge(deployment.record, clients)


def judge(record: Record, clients: list[StreamClient]) -> int:
    """Returns how many clients have events of two versions."""
    mixed = 0
    for number, client in enumerate(clients):
        versions = [event.data.split(" ")[0] for event in client.events]
        counts = {v: versions.count(v) for v in sorted(set(versions))}
        record.add(
            "stream", client=number, events=counts, whole=client.is_whole
        )
        mixed += len(counts) > 1
    assert all(client.events for client in clients), "a stream never began"
    return mixed


async def main() -> int:
    """Returns the exit code."""
    record = Record(FOLDER)
    deployment = Deployment(NODES, NODES, record, BOUNDS)
    try:
        mixed = await play(deployment)
    finally:
        deployment.stop()
    record.add("result", mixed=mixed, allowed=MAX_MIXED)
    print(f"streams with events of two versions: {mixed} of {STREAMS}")
    return int(mixed > MAX_MIXED)


if __name__ == "__main__":
    sys.exit(run(main()))
