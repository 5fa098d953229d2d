"""Shows that streams are lost after all nodes were killed at one moment.

Two runners of each of two software versions serve side by side all the time.
All nodes are killed and started again. Clients take their streams up again,
some of them once the nodes have been running, undisturbed, for longer than
`contactMs`. Each is refused, since the nodes have forgotten which version began
it, while new streams begin: LOST.

Without the disruption (`TROUBLE=0`) the clients lose their connections at that
moment, and all streams go on.
"""

import asyncio
import pathlib
import sys
import time

from review.rig.client import StreamClient
from review.rig.configuration import BOUNDS, configuration, stream_route
from review.rig.deployment import (
    RESTART_DELAY_S,
    Deployment,
    is_trouble,
    run,
)
from review.rig.record import Record

FOLDER = pathlib.Path(__file__).parent
STREAMS = 24
DEADLINE_S = 39.0
# Shortest waits before further tries, of clients that back off.
WAITS_S = (0.5, 1.0, 1.5, 2.5)
NODES = 3
VERSIONS = ("v1", "v1", "v2", "v2")
SETTLE_S = 2.5
RUN_S = 2.0
# Bounds of the sheet: a machine is in touch this long after its start.
CONTACT_S = 3.0
MIN_TAKE_UPS = 12
LEAST_SHARE = 0.5


def make_clients(deployment: Deployment) -> list[StreamClient]:
    """Creates the clients of the streams."""
    addresses = [deployment.address(node) for node in deployment.nodes]
    return [
        StreamClient(
            addresses, "/draft/1", DEADLINE_S, WAITS_S, deployment.record
        )
        for _ in range(STREAMS)
    ]


async def disrupt(deployment: Deployment, clients: list[StreamClient]) -> float:
    """Kills all nodes; returns from when on all are in touch."""
    if not is_trouble():
        for client in clients:
            client.cut()
        return time.monotonic()
    for node in deployment.nodes:
        node.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    for node in deployment.nodes:
        node.start()
    return time.monotonic() + CONTACT_S


async def play(deployment: Deployment) -> int:
    """Plays the case; returns the exit code."""
    for number, version in enumerate(VERSIONS):
        server = deployment.make_server(
            f"i-{number:08x}", "savory-pool", number % NODES
        )
        server.version = version
        await server.start()
        deployment.register(server)
    deployment.configure(configuration([stream_route("draft")]))
    await deployment.start()
    await asyncio.sleep(SETTLE_S)
    clients = make_clients(deployment)
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(RUN_S)
    in_touch_s = await disrupt(deployment, clients)
    await asyncio.sleep(max(in_touch_s - time.monotonic(), 0.0))
    new_clients = make_clients(deployment)
    new_tasks = [asyncio.create_task(client.run()) for client in new_clients]
    await asyncio.gather(*tasks, *new_tasks)
    return judge(deployment.record, clients, new_clients, in_touch_s)


def judge(
    record: Record,
    clients: list[StreamClient],
    new_clients: list[StreamClient],
    in_touch_s: float,
) -> int:
    """Compares take-ups at machines in touch with new streams."""
    take_ups = [
        take_up
        for client in clients
        for take_up in client.take_ups
        if take_up.sent_s >= in_touch_s
    ]
    gone_on = sum(take_up.goes_on for take_up in take_ups)
    begun = sum(bool(client.events) for client in new_clients)
    for number, client in enumerate(clients):
        record.add(
            "stream",
            client=number,
            events=len(client.events),
            whole=client.is_whole,
            statuses=[take_up.status for take_up in client.take_ups],
        )
    record.add(
        "result",
        take_ups=len(take_ups),
        gone_on=gone_on,
        new=len(new_clients),
        begun=begun,
    )
    print(
        f"taken up at nodes in touch: {len(take_ups)}, gone on: {gone_on}; "
        f"new: {len(new_clients)}, begun: {begun}; "
        f"whole in the end: {sum(c.is_whole for c in clients)} of {STREAMS}"
    )
    if len(take_ups) < MIN_TAKE_UPS:
        return 0
    share, new_share = gone_on / len(take_ups), begun / len(new_clients)
    return int(share < LEAST_SHARE * new_share)


async def main() -> int:
    """Returns the exit code."""
    deployment = Deployment(NODES, NODES, Record(FOLDER), BOUNDS)
    try:
        return await play(deployment)
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run(main()))
