"""Control bytes and processor time a node, and how fast a mark spreads.

Run: python -m bench.peers [nodes ...]

The nodes run in a few processes, with one link each over loopback. Bytes are
frames with their websocket headers, without TCP and IP. The log is taken
as up: every node is given a proof of its tail each half second.
"""

import itertools
import multiprocessing
import statistics
import sys
import threading
import time
from multiprocessing.connection import Connection
from typing import NamedTuple

from tests.peers.cluster import LoopNode, join

from savorylift.identity import NodeRef

SIZES = (3, 9, 27, 81)
FULL_SIZE = 350
WARM_UP_S = 8.0
RUN_S = 10.0
PROOF_S = 0.5
MARKS = 10
MARK_PAUSE_S = 0.3
SETTLE_S = 1.0
NODES_PER_PROCESS = 14
HEADER_BYTES = 5  # two to four, and four of mask on half of the frames
BUDGET_BYTES_S = 16 * 1024
BUDGET_CORE = 0.032


class Part(NamedTuple):
    """What the nodes of one process used and saw.

    Attributes:
        bytes_s: Bytes sent a second.
        messages_s: Messages sent a second.
        core: Share of a core.
        marked_s: Monotonic time at which each mark was made here.
        seen_s: Mark and monotonic time, for each node that learned of it.
    """

    bytes_s: float
    messages_s: float
    core: float
    marked_s: dict[str, float]
    seen_s: list[tuple[str, float]]


class Usage(NamedTuple):
    """What one node uses, averaged over all."""

    nodes: int
    bytes_s: float
    messages_s: float
    core: float
    mark_p50_s: float
    mark_p99_s: float


def main() -> None:
    """Prints a line for each size and the slope to the full size."""
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    rows = []
    for size in sizes:
        rows.append(measure(size))
        print(describe(rows[-1]), flush=True)
    if len(rows) > 1:
        print(describe_slope(rows))


def measure(size: int) -> Usage:
    """Runs `size` nodes and returns what one of them uses."""
    context = multiprocessing.get_context("spawn")
    pipes = []
    for first in range(0, size, NODES_PER_PROCESS):
        here, there = context.Pipe()
        names = [f"n{i}" for i in range(size)][first:][:NODES_PER_PROCESS]
        context.Process(target=run_nodes, args=(names, there)).start()
        pipes.append(here)
    infos = [info for pipe in pipes for info in pipe.recv()]
    for pipe in pipes:
        pipe.send(infos)
    parts: list[Part] = [pipe.recv() for pipe in pipes]
    started_s = parts[0].marked_s
    spread_s = sorted(
        seen_s - started_s[vm] for part in parts for vm, seen_s in part.seen_s
    )
    return Usage(
        nodes=size,
        bytes_s=sum(part.bytes_s for part in parts) / size,
        messages_s=sum(part.messages_s for part in parts) / size,
        core=sum(part.core for part in parts) / size,
        mark_p50_s=statistics.median(spread_s),
        mark_p99_s=spread_s[int(len(spread_s) * 0.99)],
    )


def run_nodes(names: list[str], pipe: Connection) -> None:
    """Runs some of the nodes in a process of their own."""
    nodes = [LoopNode(NodeRef(name, "1")) for name in names]
    pipe.send([node.info for node in nodes])
    join(nodes, pipe.recv())
    stop = threading.Event()
    threading.Thread(target=prove, args=(nodes, stop)).start()
    time.sleep(WARM_UP_S)
    before = totals(nodes)
    cpu_s, wall_s = time.process_time(), time.monotonic()
    time.sleep(RUN_S)
    cpu_s = time.process_time() - cpu_s
    wall_s = time.monotonic() - wall_s
    after = totals(nodes)
    marked_s, seen_s = spread_marks(nodes, is_marker="n0" in names)
    stop.set()
    sent, messages = (b - a for a, b in zip(before, after, strict=True))
    part = Part(
        bytes_s=(sent + messages * HEADER_BYTES) / wall_s,
        messages_s=messages / wall_s,
        core=cpu_s / wall_s,
        marked_s=marked_s,
        seen_s=seen_s,
    )
    pipe.send(part)
    for node in nodes:
        node.peers.stop()
        node.link.stop()


def prove(nodes: list[LoopNode], stop: threading.Event) -> None:
    """Gives every node proofs, as its reader of the log would."""
    for node in itertools.cycle(nodes):
        if stop.wait(PROOF_S / len(nodes)):
            return
        node.peers.on_tail_proof(time.monotonic(), node.offset + 1)


def totals(nodes: list[LoopNode]) -> tuple[float, float]:
    """Returns bytes and messages sent by all nodes so far."""
    sent = 0.0
    messages = 0.0
    for node in nodes:
        for family in node.registry.collect():
            for sample in family.samples:
                if sample.labels.get("direction") != "sent":
                    continue
                if sample.name == "savorylift_peer_bytes_total":
                    sent += sample.value
                if sample.name == "savorylift_peer_messages_total":
                    messages += sample.value
    return sent, messages


def spread_marks(
    nodes: list[LoopNode], *, is_marker: bool
) -> tuple[dict[str, float], list[tuple[str, float]]]:
    """Returns when each mark was made here, and when each node knew of it.

    Only the marker process makes marks, each on its first node.
    """
    time.sleep(SETTLE_S)
    marked_s: dict[str, float] = {}
    seen_s: list[tuple[str, float]] = []
    for number in range(MARKS):
        vm = f"runner-{number}"
        if is_marker:
            nodes[0].peers.mark_leaving(vm, "1")
            marked_s[vm] = time.monotonic()
        waiting = nodes[1:] if is_marker else list(nodes)
        while waiting:
            time.sleep(0.005)
            reached = [n for n in waiting if is_marked(n, vm)]
            seen_s += [(vm, time.monotonic())] * len(reached)
            waiting = [n for n in waiting if n not in reached]
        time.sleep(MARK_PAUSE_S)
    return marked_s, seen_s


def is_marked(node: LoopNode, vm: str) -> bool:
    """Returns True if the node has learned of the mark."""
    return node.peers.view().marks.is_leaving(vm)


def describe(row: Usage) -> str:
    """Returns one line of the table."""
    return (
        f"{row.nodes:4d} nodes: {row.bytes_s:7.0f} B/s sent, "
        f"{row.messages_s:5.1f} messages/s, {row.core:7.2%} of a core, "
        f"mark p50 {row.mark_p50_s:.2f} s, p99 {row.mark_p99_s:.2f} s"
    )


def describe_slope(rows: list[Usage]) -> str:
    """Returns the two largest sizes drawn out to the full size."""
    small, large = rows[-2:]
    share = (FULL_SIZE - large.nodes) / (large.nodes - small.nodes)
    bytes_s = large.bytes_s + share * (large.bytes_s - small.bytes_s)
    core = large.core + share * (large.core - small.core)
    return (
        f"{FULL_SIZE:4d} nodes by slope: {bytes_s:.0f} B/s sent "
        f"({bytes_s / BUDGET_BYTES_S:.2f} of the budget), {core:.2%} of a core "
        f"({core / BUDGET_CORE:.2f} of the budget)"
    )


if __name__ == "__main__":
    main()
