"""Measures time to force of edits; `python -m bench.force`.

Edits are published as operators do it, to six nodes on loopback, healthy and
with one fault at a time. Times count from the read-back of the edit, and from
the log's own time of its record; for a frozen node from its waking, if that
was later.
"""

import contextlib
import os
import pathlib
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import urllib3
from prometheus_client import CollectorRegistry
from tests.harness import answers
from tests.harness.deployment import Deployment, Options
from tests.harness.node import Node
from tests.harness.plans import AJLOUN

from bench.processes import percentile
from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import ClientConfig
from savorylift.log_service.log import RULES_STREAM
from savorylift.log_service.log_client import HttpLog
from savorylift.rules.operations import Published, PublishRequest, publish

EDITS = 30
EDITS_PER_FREEZE = 5
FREEZE_S = 2.2  # longer than `stale_after_s`
POLL_S = 0.01
STATUS_TIMEOUT_S = 0.5
PAUSE_S = 0.1  # between edits
SETTLE_S = 2.5  # after a fault has begun
FORCE_TIMEOUT_S = 20.0
LOG_DELAY_S = 0.3
HEALTHY_TARGET_S = 1.0
FAULT_TARGET_S = 3.0
MISSING_S = float("inf")


class Times(NamedTuple):
    """Seconds until one edit was in force on every node."""

    since_read_back_s: float
    since_record_s: float


class Edit(NamedTuple):
    """An accepted edit, with wall-clock times.

    Attributes:
        offset: Its log offset.
        read_back_s: When its publisher had read it back.
    """

    offset: int
    read_back_s: float


class Watch:
    """Notes when each node first showed a rules offset; a context manager."""

    def __init__(self, nodes: Mapping[str, Node]) -> None:
        """Prepares one thread a node."""
        self.paused: set[str] = set()
        self._seen: dict[str, list[tuple[int, float]]] = {
            vm: [] for vm in nodes
        }
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=item, daemon=True)
            for item in nodes.items()
        ]

    def __enter__(self) -> "Watch":
        """Starts polling."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Ends polling."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def in_force_s(self, offset: int) -> float:
        """Waits for the offset on all nodes; infinite if it fails to come."""
        deadline_s = time.monotonic() + FORCE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            firsts = [self._first_s(vm, offset) for vm in self._seen]
            if MISSING_S not in firsts:
                return max(firsts)
            time.sleep(POLL_S)
        return MISSING_S

    def _first_s(self, vm: str, offset: int) -> float:
        times = [at_s for seen, at_s in self._seen[vm] if seen >= offset]
        return min(times, default=MISSING_S)

    def _run(self, vm: str, node: Node) -> None:
        url = f"{node.operator_url}/v1/status"
        newest = -1
        while not self._is_over.wait(POLL_S):
            if vm in self.paused:
                continue
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answer = answers.request("GET", url, timeout_s=STATUS_TIMEOUT_S)
                offset = answer.json()["rules_offset"]
                if offset > newest:
                    self._seen[vm].append((offset, time.time()))
                    newest = offset


class Fleet:
    """A running deployment that edits are published to."""

    def __init__(self, deployment: Deployment, watch: Watch) -> None:
        """Takes nodes that are ready."""
        self.deployment = deployment
        self.watch = watch
        self._number = 0
        cfg = ClientConfig((deployment.log.url,))
        counters = PlatformCounters(CollectorRegistry())
        self._log = HttpLog(cfg, counters)

    def publish(self) -> Edit:
        """Publishes the rules with one more team."""
        self._number += 1
        text = self.deployment.rules_path.read_text()
        text += f"team t-{self._number} weight 1 models *  # bench\n"
        deadline_s = time.monotonic() + FORCE_TIMEOUT_S
        outcome = publish(
            self._log, PublishRequest(text, "rules", "bench", deadline_s)
        )
        read_back_s = time.time()
        assert isinstance(outcome, Published), outcome
        return Edit(outcome.version, read_back_s)

    def times(self, edits: list[Edit], woken_s: float = 0.0) -> list[Times]:
        """Returns the times of edits, counted from `woken_s` at least."""
        shown = self.deployment.log.seen(stream=RULES_STREAM)["records"]
        recorded = {item["offset"]: item["time_ms"] / 1000 for item in shown}
        found = []
        for edit in edits:
            in_force_s = self.watch.in_force_s(edit.offset)
            found.append(
                Times(
                    max(0.0, in_force_s - max(woken_s, edit.read_back_s)),
                    max(0.0, in_force_s - max(woken_s, recorded[edit.offset])),
                )
            )
        return found


Measure = Callable[[Fleet], list[Times]]


def main() -> None:
    """Prints a row a condition."""
    print(f"{AJLOUN.nodes} nodes, {EDITS} edits, times in ms")
    print(
        f"{'condition':22}    n  read-back p50   p95   p99"
        "  record p50   p95   p99  load  target"
    )
    with _fleet(Options()) as fleet:
        _report("healthy", HEALTHY_TARGET_S, _publish_all, fleet)
        _report("log slow", FAULT_TARGET_S, _log_slow, fleet)
        _report("append answers lost", FAULT_TARGET_S, _answers_lost, fleet)
        _report("node frozen, woken", FAULT_TARGET_S, _frozen, fleet)
    with _fleet(Options(relayed=True)) as fleet:
        _report("node cut from the log", FAULT_TARGET_S, _cut_off, fleet)


@contextlib.contextmanager
def _fleet(options: Options) -> Iterator[Fleet]:
    with (
        tempfile.TemporaryDirectory() as directory,
        Deployment(AJLOUN, pathlib.Path(directory), options) as deployment,
    ):
        deployment.put_first_rules()
        deployment.start_nodes()
        with Watch(deployment.nodes) as watch:
            time.sleep(SETTLE_S)
            yield Fleet(deployment, watch)


def _report(name: str, target_s: float, measure: Measure, fleet: Fleet) -> None:
    times = measure(fleet)
    load = os.getloadavg()[0]
    read_back = [item.since_read_back_s for item in times]
    record = [item.since_record_s for item in times]
    # The record's time is the earlier one, so its target is the stricter.
    is_met = percentile(record, 0.99) < target_s
    print(
        f"{name:22} {len(times):4}       {_shares(read_back)}"
        f"      {_shares(record)}  {load:4.1f}"
        f"  p99 < {target_s:.0f} s: {'met' if is_met else 'missed'}",
        flush=True,
    )


def _shares(values: list[float]) -> str:
    shares = (percentile(values, share) for share in (0.5, 0.95, 0.99))
    return " ".join(f"{1000 * share:5.0f}" for share in shares)


def _publish_all(fleet: Fleet) -> list[Times]:
    times = []
    for _ in range(EDITS):
        times += fleet.times([fleet.publish()])
        time.sleep(PAUSE_S)
    return times


def _log_slow(fleet: Fleet) -> list[Times]:
    log = fleet.deployment.log
    log.control(read_delay_s=LOG_DELAY_S)
    times = _publish_all(fleet)
    log.control(read_delay_s=0.0)
    return times


def _answers_lost(fleet: Fleet) -> list[Times]:
    log = fleet.deployment.log
    log.control(lose_share=1.0)
    times = _publish_all(fleet)
    log.control(lose_share=0.0)
    return times


def _frozen(fleet: Fleet) -> list[Times]:
    vm = AJLOUN.node_names()[0]
    process = fleet.deployment.nodes[vm].process
    times: list[Times] = []
    while len(times) < EDITS:
        fleet.watch.paused.add(vm)
        time.sleep(STATUS_TIMEOUT_S)  # no question is left with the node
        process.freeze()
        edits = [fleet.publish() for _ in range(EDITS_PER_FREEZE)]
        time.sleep(FREEZE_S)
        process.thaw()
        woken_s = time.time()
        fleet.watch.paused.discard(vm)
        times += fleet.times(edits, woken_s)
    return times


def _cut_off(fleet: Fleet) -> list[Times]:
    link = fleet.deployment.links[f"{AJLOUN.node_names()[0]}>log"]
    link.cut()
    time.sleep(SETTLE_S)
    times = _publish_all(fleet)
    link.heal()
    return times


if __name__ == "__main__":
    main()
