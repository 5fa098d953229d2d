"""Control bytes and processor time a node, and how fast a mark spreads.

Run: python -m bench.peers [nodes ...]

All nodes run in this process, with one link each over loopback. Bytes are
frames with their websocket headers, without TCP and IP. The log is taken
as up: every node is given a proof of its tail each half second.
"""

import itertools
import statistics
import sys
import threading
import time
from typing import NamedTuple

from tests.peers.cluster import LoopNode, cluster

SIZES = (3, 9, 27, 81)
FULL_SIZE = 350
WARM_UP_S = 8.0
RUN_S = 10.0
PROOF_S = 0.5
MARKS = 10
HEADER_BYTES = 5  # two to four, and four of mask on half of the frames
BUDGET_BYTES_S = 16 * 1024
BUDGET_CORE = 0.032


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
    rows = [measure(size) for size in sizes]
    for row in rows:
        print(describe(row))
    if len(rows) > 1:
        print(describe_slope(rows))


def measure(size: int) -> Usage:
    """Runs `size` nodes and returns what one of them uses."""
    with cluster(size) as nodes:
        stop = threading.Event()
        prover = threading.Thread(target=prove, args=(nodes, stop))
        prover.start()
        time.sleep(WARM_UP_S)
        before = totals(nodes)
        cpu_s, wall_s = time.process_time(), time.monotonic()
        time.sleep(RUN_S)
        cpu_s = time.process_time() - cpu_s
        wall_s = time.monotonic() - wall_s
        after = totals(nodes)
        spread_s = sorted(spread_marks(nodes))
        stop.set()
        prover.join()
    sent, messages = (b - a for a, b in zip(before, after, strict=True))
    return Usage(
        nodes=size,
        bytes_s=(sent + messages * HEADER_BYTES) / wall_s / size,
        messages_s=messages / wall_s / size,
        core=cpu_s / wall_s / size,
        mark_p50_s=statistics.median(spread_s),
        mark_p99_s=spread_s[int(len(spread_s) * 0.99)],
    )


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


def spread_marks(nodes: list[LoopNode]) -> list[float]:
    """Returns how long each mark took to each other node."""
    times_s = []
    for number in range(MARKS):
        vm = f"runner-{number}"
        waiting = list(nodes)
        waiting.pop(number % len(nodes)).peers.mark_leaving(vm, "1")
        start_s = time.monotonic()
        while waiting:
            time.sleep(0.005)
            reached = [n for n in waiting if is_marked(n, vm)]
            times_s += [time.monotonic() - start_s] * len(reached)
            waiting = [n for n in waiting if n not in reached]
    return times_s


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
