"""Measures how nodes heed servers that leave or want a pause.

Run as `python -m tests.soak.notice_figures --nodes 6 [--source TREE/src]`.
"""

import argparse
import asyncio
import pathlib
import statistics
import tempfile
import time

from tests.front.node_fleet import Ending, NodeFleet
from tests.front.process_fleet import ProcessFleet
from tests.front.version_fleet import SOURCE_VARIABLE
from tests.standins.platform_server import PlatformServer

PATH = "/safe/x"
SERVERS = 3
PER_S = 30.0
WARM_UP_S = 1.0
DRAIN_S = 2.0
JUDGED_S = 3.0
HOLD_S = 5.0
# Requests may still reach a server for this long after it asked for a pause.
HOLD_REACTION_S = 0.5
# A server has its share back once it gets half of it within this time.
SHARE_WINDOW_S = 1.0
SHARE_BACK = 0.5 * PER_S / SERVERS * SHARE_WINDOW_S
BACK_TIMEOUT_S = 12.0
REFUSALS = 20


def main() -> None:
    """Prints one line for each case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, default=2)
    parser.add_argument("--source", type=pathlib.Path, default=None)
    parser.add_argument("--one-process", action="store_true")
    cfg = parser.parse_args()
    with tempfile.TemporaryDirectory(dir="/var/tmp") as directory:
        fleet = NodeFleet(cfg.nodes, SERVERS)
        if not cfg.one_process:
            fleet = _process_fleet(cfg, pathlib.Path(directory))
        asyncio.run(_measure(fleet))


def _process_fleet(
    cfg: argparse.Namespace, directory: pathlib.Path
) -> ProcessFleet:
    fleet = ProcessFleet(cfg.nodes, SERVERS, directory)
    if cfg.source is not None:
        for process in fleet.processes.values():
            process.environment[SOURCE_VARIABLE] = str(cfg.source)
    return fleet


async def _measure(fleet: NodeFleet) -> None:
    async with fleet.running():
        await fleet.call_for(PATH, WARM_UP_S, PER_S)
        await _measure_leaving(fleet)
        await _measure_hold(fleet)
        await _measure_refusals(fleet)


async def _measure_leaving(fleet: NodeFleet) -> None:
    server = fleet.app[0]
    began_s = time.monotonic()
    server.says_leaving = True
    await fleet.call_for(PATH, DRAIN_S + JUDGED_S, PER_S)
    told_s = _first_after(server, began_s)
    late = sum(t > told_s + DRAIN_S for t in server.arrivals)
    served = _share_served(fleet.endings_since(began_s))
    server.says_leaving = False
    server.born += 1
    fleet.publish_entry(server, "app")
    back_s = await _time_until_back(fleet, server, time.monotonic())
    print(
        f"leaving: {late} requests past {DRAIN_S} s, {served:.3f} served,"
        f" share back after {back_s:.1f} s",
        flush=True,
    )


async def _measure_hold(fleet: NodeFleet) -> None:
    server = fleet.app[1]
    began_s = time.monotonic()
    server.rejects_all, server.hold = True, str(HOLD_S)
    await fleet.call_for(PATH, HOLD_S, PER_S)
    server.rejects_all, server.hold = False, None
    since_s = _first_after(server, began_s) + HOLD_REACTION_S
    within = sum(since_s < t < began_s + HOLD_S for t in server.arrivals)
    served = _share_served(fleet.endings_since(began_s))
    back_s = await _time_until_back(fleet, server, time.monotonic())
    print(
        f"hold: {within} requests within it, {served:.3f} served,"
        f" share back after {back_s:.1f} s",
        flush=True,
    )


async def _measure_refusals(fleet: NodeFleet) -> None:
    for server in fleet.app:
        server.rejects_all, server.hold = True, str(HOLD_S)
    # Each node must have been turned away by each server.
    for _ in range(2 * SERVERS):
        await asyncio.gather(
            *(fleet.call(ip, PATH, "first") for ip in fleet.ips)
        )
    refused = []
    for number in range(REFUSALS):
        ip = fleet.ips[number % len(fleet.ips)]
        refused.append(await fleet.call(ip, PATH, f"refused{number}"))
    took_ms = [ending.took_s * 1000 for ending in refused]
    returns = {ending.retry_after_s for ending in refused}
    print(
        f"all on hold: refused after {statistics.median(took_ms):.1f} ms"
        f" ({max(took_ms):.1f} at most), statuses"
        f" {sorted({ending.status for ending in refused})},"
        f" {len(returns)} different times to return",
        flush=True,
    )


async def _time_until_back(
    fleet: NodeFleet, server: PlatformServer, since_s: float
) -> float:
    """Sends requests until a server has its share back."""
    load = asyncio.ensure_future(fleet.call_for(PATH, BACK_TIMEOUT_S, PER_S))
    while not load.done():
        await asyncio.sleep(0.05)
        now_s = time.monotonic()
        first_s = max(since_s, now_s - SHARE_WINDOW_S)
        if sum(t >= first_s for t in server.arrivals) >= SHARE_BACK:
            load.cancel()
            return now_s - since_s
    return float("inf")


def _first_after(server: PlatformServer, since_s: float) -> float:
    return min((t for t in server.arrivals if t >= since_s), default=since_s)


def _share_served(endings: list[Ending]) -> float:
    return sum(e.status == 200 for e in endings) / max(len(endings), 1)


if __name__ == "__main__":
    main()
