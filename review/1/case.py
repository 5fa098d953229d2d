"""Shows that a runner that sends line ends without end hangs the nodes.

One of three runners of the engines' service is in trouble: its streams are
bytes that are no answer, without end. Each node that passes such a stream on
does nothing else any more until the client leaves: calls to the other service
get no answer at their route's `timeoutMs` and half a second after it: CONFIG.

Without the disruption (`TROUBLE=0`) the third runner is sound.
"""

import asyncio
import os
import pathlib
import random
import subprocess
import sys

from review.rig.client import Attempt, send
from review.rig.configuration import (
    BOUNDS,
    configuration,
    route,
    stream_route,
)
from review.rig.deployment import ROOT, Deployment, is_trouble, run
from review.rig.record import Record
from review.rig.server import Server

FOLDER = pathlib.Path(__file__).parent
NODES = 3
RUNNERS = 3
CALL_SERVERS = 4
SETTLE_S = 2.5
TRAFFIC_S = 12.0
STREAMS_PER_S = 2.0
CALLS_PER_S = 20.0
TIMEOUT_S = 3.0
# Clients wait a little longer than the operator wants them kept waiting.
CALL_DEADLINE_S = 5.0
# Clients abandon a stream after a gap of four times the objective of 1.8 s.
STREAM_PATIENCE_S = 7.2
FINAL_SLACK_S = 0.5
MIN_LATE = 8
READY_INTERVAL_S = 1.0
STREAM_HEADERS = {
    "X-Savorylift-Model": "m",
    "X-Savorylift-Token-Counts": "300,40",
    "X-Savorylift-Prompt-Prefix": "5c1e07a2:200,7d00:100",
}


async def start_servers(
    deployment: Deployment,
) -> subprocess.Popen[bytes] | None:
    """Starts all servers; returns the process of the one in trouble."""
    for number in range(CALL_SERVERS):
        deployment.make_server(f"c-{number}", "crew-app", number % NODES)
    for number in range(RUNNERS):
        runner = deployment.make_server(
            f"i-{number}", "savory-pool", number % NODES
        )
        runner.events, runner.interval_s = 10, 0.03
    process = None
    for server in deployment.servers:
        if is_trouble() and server is deployment.servers[-1]:
            process = start_endless(server)
        else:
            await server.start()
        deployment.register(server)
    return process


def start_endless(server: Server) -> subprocess.Popen[bytes]:
    """Starts the runner in trouble and waits until it listens."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "review.1.endless",
            server.address,
            server.server_id,
        ],
        cwd=ROOT,
        env=dict(os.environ),
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    assert process.stdout.readline() == b"ready\n"
    return process


async def call(deployment: Deployment) -> Attempt:
    """Sends a call to a node drawn at random."""
    node = random.choice(deployment.nodes)
    address = deployment.address(node)
    return await send(
        address, "GET", "/look/1", CALL_DEADLINE_S, deployment.record
    )


async def stream(deployment: Deployment) -> Attempt:
    """Sends a request for a stream to a node drawn at random."""
    node = random.choice(deployment.nodes)
    return await send(
        deployment.address(node),
        "POST",
        "/summary/1",
        STREAM_PATIENCE_S,
        deployment.record,
        STREAM_HEADERS,
        b"report",
    )


async def press(deployment: Deployment) -> list[Attempt]:
    """Sends calls and streams; returns how the calls ended."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + TRAFFIC_S
    calls: list[asyncio.Task[Attempt]] = []
    streams: list[asyncio.Task[Attempt]] = []
    while (now_s := loop.time()) < until_s:
        begun_s = now_s - (until_s - TRAFFIC_S)
        if len(streams) < begun_s * STREAMS_PER_S:
            streams.append(asyncio.create_task(stream(deployment)))
        calls.append(asyncio.create_task(call(deployment)))
        await asyncio.sleep(1 / CALLS_PER_S)
    await asyncio.gather(*streams)
    return list(await asyncio.gather(*calls))


async def watch_readiness(deployment: Deployment) -> None:
    """Asks each node for its readiness once a second, as the platform does."""
    while True:
        for node in deployment.nodes:
            is_ready = await deployment.is_ready(node)
            deployment.record.add("readiness", node=node.ip, ready=is_ready)
        await asyncio.sleep(READY_INTERVAL_S)


async def play(deployment: Deployment) -> list[Attempt]:
    """Plays the case; returns how the calls ended."""
    routes = [
        stream_route(
            "summary",
            targetLatencyMs=1800,
            streamResumption=False,
            maxAttempts=1,
        ),
        route("look", "safe", "crew-app", timeoutMs=TIMEOUT_S * 1000),
    ]
    process = await start_servers(deployment)
    try:
        deployment.configure(configuration(routes))
        await deployment.start()
        await asyncio.sleep(SETTLE_S)
        watch = asyncio.create_task(watch_readiness(deployment))
        calls = await press(deployment)
        watch.cancel()
    finally:
        if process is not None:
            process.kill()
            process.wait()
    return calls


async def main() -> int:
    """Returns the exit code."""
    record = Record(FOLDER)
    deployment = Deployment(NODES, NODES, record, BOUNDS)
    try:
        calls = await play(deployment)
    finally:
        deployment.stop()
    open_at_timeout = sum(c.took_s > TIMEOUT_S for c in calls)
    late = sum(c.took_s > TIMEOUT_S + FINAL_SLACK_S for c in calls)
    record.add(
        "result",
        calls=len(calls),
        open_at_timeout=open_at_timeout,
        no_final_answer=late,
    )
    print(
        f"calls: {len(calls)}, unanswered at timeoutMs: {open_at_timeout}, "
        f"half a second later: {late}"
    )
    return int(late >= MIN_LATE and late > open_at_timeout / 2)


if __name__ == "__main__":
    sys.exit(run(main()))
