"""Measures what a node adds to streams; `python -m bench.relay`.

Reads streams from one engine stand-in, directly and through one node, in the
same run, at four numbers of streams. Prints delays, processor time a token
and memory a stream.
"""

import asyncio
import itertools
import json
import pathlib
import tempfile
import time
from typing import NamedTuple

from tests.harness.deployment import Deployment, Options
from tests.harness.plans import AJLOUN, Plan

from bench.processes import percentile, read_usage, slope

SIZES = (25, 50, 100, 200)
TOKENS_PER_S = 30
SECONDS = 6
STAGGER_S = 0.01
PLAN: Plan = AJLOUN._replace(runners=1, instances=1, nodes=1)
LIMIT = 1024
KV_TOKENS = 10_000_000


class Measured(NamedTuple):
    """Delays of many streams in seconds, and the tokens they carried."""

    first: list[float]
    gaps: list[float]
    tokens: int


async def main() -> None:
    """Runs every size and prints the tables."""
    engine = {
        "interval_s": 1 / TOKENS_PER_S,
        "first_token_s": 0.02,
        "starts_cold": False,
        "max_running": LIMIT,
        "kv_tokens": KV_TOKENS,
    }
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        with Deployment(PLAN, path, Options(engine=engine)) as deployment:
            _raise_limits(deployment)
            deployment.put_first_rules()
            deployment.start_nodes()
            await asyncio.sleep(3.5)  # the keeper's first load report
            await _measure_all(deployment)


def _raise_limits(deployment: Deployment) -> None:
    path = deployment.rules_path
    text = path.read_text()
    text = text.replace(
        "cold 4 warm 32 kv 8192", f"cold {LIMIT} warm {LIMIT} kv {KV_TOKENS}"
    )
    path.write_text(text)


async def _measure_all(deployment: Deployment) -> None:
    engine = deployment.runners["runner-1"]
    node = deployment.nodes["entry-1"]
    memory: list[tuple[float, float]] = []
    cpu: list[tuple[float, float]] = []
    print("streams  path     first p50  first p95  gap p50  gap p95  gap p99")
    for size in SIZES:
        direct = await _read_all(engine.address, size, "direct")
        before = read_usage(node.process.pid)
        task = asyncio.create_task(
            _read_all(node.place.caller_address, size, "relayed")
        )
        await asyncio.sleep(SECONDS / 2)
        during = read_usage(node.process.pid)
        relayed = await task
        after = read_usage(node.process.pid)
        _print_row(size, "direct", direct)
        _print_row(size, "relayed", relayed)
        _print_added(size, direct, relayed)
        cpu.append((relayed.tokens, after.cpu_s - before.cpu_s))
        memory.append((size, during.resident_bytes))
    cpu_slope, _ = slope(cpu)
    memory_slope, memory_base = slope(memory)
    print(f"processor time a token: {cpu_slope * 1e6:.0f} us")
    print(f"tokens a second at one core: {1 / cpu_slope:.0f}")
    print(
        f"memory a stream: {memory_slope / 1024:.0f} KiB, "
        f"base {memory_base / 2**20:.0f} MiB"
    )


def _print_row(size: int, path: str, got: Measured) -> None:
    shares = [
        percentile(got.first, 0.5),
        percentile(got.first, 0.95),
        percentile(got.gaps, 0.5),
        percentile(got.gaps, 0.95),
        percentile(got.gaps, 0.99),
    ]
    cells = "  ".join(f"{1000 * value:7.2f}ms" for value in shares)
    print(f"{size:7}  {path:8} {cells}")


def _print_added(size: int, direct: Measured, relayed: Measured) -> None:
    first = percentile(relayed.first, 0.95) - percentile(direct.first, 0.95)
    gap95 = percentile(relayed.gaps, 0.95) - percentile(direct.gaps, 0.95)
    gap99 = percentile(relayed.gaps, 0.99) - percentile(direct.gaps, 0.99)
    for name, value, target_s in (
        ("first token p95", first, 0.010),
        ("gap p95", gap95, 0.001),
        ("gap p99", gap99, 0.003),
    ):
        verdict = "met" if value <= target_s else "missed"
        print(
            f"{size:7}  added {name}: {1000 * value:.2f} ms, "
            f"target {1000 * target_s:.0f} ms: {verdict}"
        )


async def _read_all(address: str, size: int, label: str) -> Measured:
    tasks = []
    for number in range(size):
        tasks.append(asyncio.create_task(_read_one(address, number, label)))
        await asyncio.sleep(STAGGER_S)
    results = await asyncio.gather(*tasks)
    return Measured(
        [result.first[0] for result in results],
        [gap for result in results for gap in result.gaps],
        sum(result.tokens for result in results),
    )


async def _read_one(address: str, number: int, label: str) -> Measured:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    began_s = time.monotonic()
    writer.write(_request(number, label))
    times: list[float] = []
    async for line in reader:
        # Both forms name a token's text in one line an event.
        if b'"token"' in line or b'"text"' in line:
            times.append(time.monotonic())
        if b"[DONE]" in line:
            break
    writer.close()
    gaps = [after - before for before, after in itertools.pairwise(times)]
    return Measured([times[0] - began_s], gaps, len(times))


def _request(number: int, label: str) -> bytes:
    length = TOKENS_PER_S * SECONDS
    body = json.dumps(
        {
            "model": PLAN.model,
            "version": PLAN.version,
            "prompt": f"{label} {number} len={length}",
            "max_tokens": length,
            "stream": True,
            "seed": number,
            "generation_id": f"{label}-{number}-{time.monotonic_ns()}",
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"X-Team: {PLAN.teams[0].name}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


if __name__ == "__main__":
    asyncio.run(main())
