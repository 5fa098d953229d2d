"""Control bytes and processor time a node, and how fast a mark spreads.

Run: python -m bench.peers [nodes ...]

The nodes run in a few processes, with one link each over loopback; processor
time is that of a node with a process to itself. Bytes are frames with their
websocket headers, without TCP and IP. While the log is up every node is given
a proof of its tail each half second; a last run of the largest size goes
without.
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
from tests.peers.world import World

from savorylift.identity import NodeRef
from savorylift.peers.messages import GossipQuestion

SIZES = (3, 9, 27, 81)
FULL_SIZE = 350
WARM_UP_S = 8.0
RUN_S = 10.0
PROOF_S = 0.5
MARKS = 10
DECIDED_S = 100  # seconds' worth of decisions
TICKS_PER_S = 5
BOARDS_PER_S = 2
NEIGHBOURS = 6
NOTHING_KNOWN = GossipQuestion(0)
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
    """What one node uses, averaged over all but for its share of a core."""

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
    outage = measure(rows[-1].nodes, has_log=False)
    print(f"log out: {describe(outage)}", flush=True)
    for size in (rows[-1].nodes, FULL_SIZE):
        print(f"{size:4d} nodes: decisions alone {decide(size):.2%} of a core")


def decide(size: int) -> float:
    """Returns the share of a core that a node's decisions alone take."""
    world = World(lambda _: None, size)
    asker, peer = world.nodes["n0"], world.nodes["n1"]
    for node in world.nodes.values():
        node.core.tick()
        answer = node.core.answer(peer.ref, GossipQuestion(0))
        peer.core.take_answer(node.ref, time.monotonic(), answer)
    asker.core.take_answer(
        peer.ref, time.monotonic(), peer.core.answer(asker.ref, NOTHING_KNOWN)
    )
    question = GossipQuestion(peer.core.answer(asker.ref, NOTHING_KNOWN).change)
    started_s = time.thread_time()
    for _ in range(DECIDED_S):
        for _ in range(TICKS_PER_S):
            asker.core.tick()
            asker.core.due_questions()
        for _ in range(NEIGHBOURS):
            answer = peer.core.answer(asker.ref, question)
            asker.core.take_answer(peer.ref, time.monotonic(), answer)
        for _ in range(BOARDS_PER_S):
            asker.core.publish_board()
    return (time.thread_time() - started_s) / DECIDED_S


def measure(size: int, *, has_log: bool = True) -> Usage:
    """Runs `size` nodes and returns what one of them uses."""
    context = multiprocessing.get_context("spawn")
    pipes = []
    for names in share_out([f"n{number}" for number in range(size)]):
        here, there = context.Pipe()
        context.Process(target=run_nodes, args=(names, there, has_log)).start()
        pipes.append(here)
    infos = [info for pipe in pipes for info in pipe.recv()]
    for pipe in pipes:
        pipe.send(infos)
    for pipe in pipes:
        pipe.recv()  # it has measured and watches for marks next
    for pipe in pipes:
        pipe.send(None)
    parts: list[Part] = [pipe.recv() for pipe in pipes]
    started_s = parts[0].marked_s
    spread_s = sorted(
        seen_s - started_s[vm] for part in parts for vm, seen_s in part.seen_s
    )
    return Usage(
        nodes=size,
        bytes_s=sum(part.bytes_s for part in parts) / size,
        messages_s=sum(part.messages_s for part in parts) / size,
        core=parts[0].core,
        mark_p50_s=statistics.median(spread_s),
        mark_p99_s=spread_s[int(len(spread_s) * 0.99)],
    )


def share_out(names: list[str]) -> list[list[str]]:
    """Returns the nodes of each process; the first has one to itself."""
    starts = range(1, len(names), NODES_PER_PROCESS)
    return [names[:1], *(names[i : i + NODES_PER_PROCESS] for i in starts)]


def run_nodes(  # positional, as a process takes its arguments
    names: list[str],
    pipe: Connection,
    has_log: bool,  # noqa: FBT001
) -> None:
    """Runs some of the nodes in a process of their own."""
    nodes = [LoopNode(NodeRef(name, "1")) for name in names]
    pipe.send([node.info for node in nodes])
    join(nodes, pipe.recv())
    stop = threading.Event()
    if has_log:
        threading.Thread(target=prove, args=(nodes, stop)).start()
    time.sleep(WARM_UP_S)
    before = totals(nodes)
    cpu_s, wall_s = time.process_time(), time.monotonic()
    time.sleep(RUN_S)
    cpu_s = time.process_time() - cpu_s
    wall_s = time.monotonic() - wall_s
    after = totals(nodes)
    pipe.send(None)
    pipe.recv()
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
    if is_marker:
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
