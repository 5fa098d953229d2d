"""Measures what whole nodes spend on control; `python -m bench.nodes`.

Starts deployments of several sizes on loopback and reads each node's
processor time, memory and control traffic while no caller asks for anything.
"""

import pathlib
import re
import sys
import tempfile
import time
from typing import NamedTuple

from tests.harness import answers
from tests.harness.deployment import Deployment
from tests.harness.node import Node
from tests.harness.plans import AJLOUN

from bench.processes import read_usage, slope

SIZES = (3, 6, 12, 24)
SECONDS = 8.0
SETTLE_S = 5.0
READY_TIMEOUT_S = 60.0
PEER_BYTES = re.compile(
    r'^savorylift_peer_bytes_total\{direction="sent"[^}]*\} (\S+)', re.MULTILINE
)


class Spent(NamedTuple):
    """What the average node spent.

    Attributes:
        core_share: Processor time as a share of one core.
        resident_mib: Memory resident, in MiB.
        sent_bytes_s: Bytes sent to other nodes a second, without framing.
    """

    core_share: float
    resident_mib: float
    sent_bytes_s: float


def main() -> None:
    """Prints a row a size and the slopes."""
    sizes = tuple(int(text) for text in sys.argv[1:]) or SIZES
    print("nodes  core share  resident  sent to nodes")
    rows = [(size, measure(size)) for size in sizes]
    for name, part in (
        ("core share", 0),
        ("resident MiB", 1),
        ("sent bytes/s", 2),
    ):
        rate, base = slope([(size, spent[part]) for size, spent in rows])
        print(f"{name}: {base:.4g} + {rate:.4g} a node")


def measure(size: int) -> Spent:
    """Runs one deployment and returns its average node's spending."""
    plan = AJLOUN._replace(nodes=size)
    with (
        tempfile.TemporaryDirectory() as directory,
        Deployment(plan, pathlib.Path(directory)) as deployment,
    ):
        deployment.put_first_rules()
        deployment.start_nodes(timeout_s=READY_TIMEOUT_S)
        time.sleep(SETTLE_S)
        spent = _watch(list(deployment.nodes.values()))
    print(
        f"{size:5}  {100 * spent.core_share:8.2f} %  "
        f"{spent.resident_mib:5.0f} MiB  {spent.sent_bytes_s:7.0f} B/s",
        flush=True,
    )
    return spent


def _watch(nodes: list[Node]) -> Spent:
    began_s = time.monotonic()
    before = [read_usage(node.process.pid).cpu_s for node in nodes]
    sent_before = [_sent_bytes(node) for node in nodes]
    time.sleep(SECONDS)
    took_s = time.monotonic() - began_s
    after = [read_usage(node.process.pid) for node in nodes]
    sent_after = [_sent_bytes(node) for node in nodes]
    cpu_s = sum(item.cpu_s for item in after) - sum(before)
    resident = sum(item.resident_bytes for item in after)
    sent = sum(sent_after) - sum(sent_before)
    count = len(nodes)
    return Spent(
        cpu_s / took_s / count,
        resident / count / 2**20,
        sent / took_s / count,
    )


def _sent_bytes(node: Node) -> float:
    text = answers.request("GET", f"{node.operator_url}/metrics").body
    return sum(float(value) for value in PEER_BYTES.findall(text.decode()))


if __name__ == "__main__":
    main()
