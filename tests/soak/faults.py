"""Fault injection of the soak test, from outside the node processes."""

import itertools
import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tests.harness.deployment import Deployment
from tests.harness.link import Direction, Link
from tests.harness.node import Node

# Ranges of random times. The next fault is often injected before the earlier
# ones have been undone, so that faults overlap.
FAULT_INTERVAL_RANGE_S = (0.1, 1.2)
SHORT_FAULT_RANGE_S = (0.2, 1.0)
LONG_FAULT_RANGE_S = (0.5, 3.0)
LINK_DELAY_S = 0.15
DOMAIN_BACK_TIMEOUT_S = 20.0
# Exit codes of a command that wrote to the store: 0 if every node has confirmed
# the change, 3 if some have not.
WRITTEN_EXIT_CODES = (0, 3)
AUDIT_OPTIONS = ("--author", "soak", "--cause", "soak")

FaultAction = Callable[[], str]


class PlannedStop(NamedTuple):
    """Time in which a node was stopped on purpose, by SIGTERM.

    Attributes:
        vm: Name of its VM.
        began_s: Wall-clock time of the signal.
        ended_s: Wall-clock time at which its process was seen to be gone.
    """

    vm: str
    began_s: float
    ended_s: float


class FaultInjector:
    """Injects random faults into a deployment and undoes them.

    Attributes:
        injected: Descriptions of the faults injected so far.
        planned_stops: Planned stops that have ended.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Creates an injector; `seed` determines the choice of faults."""
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._undo_threads: list[threading.Thread] = []
        self._rules_versions = itertools.count(2)
        self._nodes_down: set[str] = set()
        self.injected: list[str] = []
        self.planned_stops: list[PlannedStop] = []

    def run(self, duration_s: float) -> None:
        """Injects faults for `duration_s`, then undoes those that remain."""
        deadline_s = time.monotonic() + duration_s
        while time.monotonic() < deadline_s:
            inject = self._rng.choice(list(self._fault_actions()))
            began_s = time.monotonic()
            self.injected.append(
                f"{deadline_s - began_s:5.1f} s left: {inject()}"
            )
            time.sleep(self._rng.uniform(*FAULT_INTERVAL_RANGE_S))
        self._stopped.set()
        for thread in self._undo_threads:
            thread.join()

    def _fault_actions(self) -> Iterator[FaultAction]:
        yield from (
            self._kill_node,
            self._pause_node,
            self._terminate_node,
            self._reload_node,
        )
        yield from (
            self._disturb_engine,
            self._disturb_engine,
            self._disturb_service,
        )
        yield from (self._disturb_link, self._disturb_link, self._disturb_store)
        yield from (self._take_domain_out, self._publish_rules)

    def _undo_later(
        self, undo: Callable[[], None], delay_range_s: tuple[float, float]
    ) -> None:
        """Calls `undo` on a thread after a random delay, or when `run` ends."""
        delay_s = self._rng.uniform(*delay_range_s)

        def wait_and_undo() -> None:
            self._stopped.wait(delay_s)
            undo()

        thread = threading.Thread(target=wait_and_undo)
        thread.start()
        self._undo_threads.append(thread)

    def _random_node(self) -> Node:
        """Returns a random node that is not marked as down."""
        names = [n for n in self._deployment.nodes if n not in self._nodes_down]
        return self._deployment.nodes[self._rng.choice(names)]

    def _mark_down(self, node: Node) -> bool:
        """Marks a node as down; returns False if no other one would be up."""
        is_last = len(self._nodes_down) + 1 >= len(self._deployment.nodes)
        if not is_last:
            self._nodes_down.add(node.location.vm)
        return not is_last

    def _restart_node(self, node: Node) -> None:
        node.start()
        self._nodes_down.discard(node.location.vm)

    def _kill_node(self) -> str:
        node = self._random_node()
        if not self._mark_down(node):
            return "nothing"
        node.process.kill()
        self._undo_later(lambda: self._restart_node(node), SHORT_FAULT_RANGE_S)
        return f"{node.location.vm} killed"

    def _terminate_node(self) -> str:
        node = self._random_node()
        if not self._mark_down(node):
            return "nothing"
        began_s = time.time()
        node.process.terminate()

        def undo() -> None:
            node.process.wait(15.0)
            stop = PlannedStop(node.location.vm, began_s, time.time())
            self.planned_stops.append(stop)
            self._restart_node(node)

        self._undo_later(undo, SHORT_FAULT_RANGE_S)
        return f"{node.location.vm} terminated"

    def _pause_node(self) -> str:
        node = self._random_node()
        if not self._mark_down(node):
            return "nothing"
        node.process.pause()

        def undo() -> None:
            node.process.resume()
            self._nodes_down.discard(node.location.vm)

        self._undo_later(undo, LONG_FAULT_RANGE_S)
        return f"{node.location.vm} paused"

    def _reload_node(self) -> str:
        node = self._random_node()
        if node.process.is_running:
            node.process.send_signal(signal.SIGHUP)
        return f"{node.location.vm} reloads its settings"

    def _disturb_engine(self) -> str:
        name = self._rng.choice(list(self._deployment.runners))
        change: dict[str, object] = self._rng.choice(
            [
                {"die_s": 1.0},
                {"die_s": 1.0, "hang_when_dead": True},
                {"stall": True},
                {"silence_open": True},
                {"drop_connections": True},
                {"lose_answers": 2},
                {"wrong_ids": 2},
                {"cross_answers": 1},
                {"leaving": True},
                {"turn_cold": True, "cold_grace_s": 2.0},
            ]
        )
        runner = self._deployment.runners[name]
        runner.control(**change)

        def undo() -> None:
            runner.control(stall=False, leaving=False, hang_when_dead=False)

        self._undo_later(undo, LONG_FAULT_RANGE_S)
        return f"{name} {change}"

    def _disturb_service(self) -> str:
        name = self._rng.choice(list(self._deployment.instances))
        change: dict[str, object] = self._rng.choice(
            [
                {"die_s": 1.0},
                {"lose_answers": 2},
                {"lose_requests": 2},
                {"delay_answers": 2, "delay_s": 1.0},
                {"wrong_ids": 1},
                {"leaving": True},
            ]
        )
        instance = self._deployment.instances[name]
        instance.control(**change)
        self._undo_later(
            lambda: instance.control(leaving=False), LONG_FAULT_RANGE_S
        )
        return f"{name} {change}"

    def _disturb_link(self) -> str:
        name, link = self._rng.choice(list(self._deployment.links.items()))
        link_faults: dict[str, Callable[[Link], None]] = {
            "silent": Link.silence_open,
            "reset": Link.reset_open,
            "cut": Link.cut,
            "cut to the target": lambda chosen: chosen.cut(Direction.TO_TARGET),
            "cut from the target": lambda chosen: chosen.cut(
                Direction.FROM_TARGET
            ),
            "closed": Link.refuse,
            "slow": lambda chosen: chosen.delay(LINK_DELAY_S),
        }
        kind = self._rng.choice(list(link_faults))
        link_faults[kind](link)

        def undo() -> None:
            link.heal()
            link.delay(0.0)

        self._undo_later(undo, LONG_FAULT_RANGE_S)
        return f"link {name} {kind}"

    def _disturb_store(self) -> str:
        store = self._deployment.store
        kind = self._rng.choice(["silent", "busy", "trimmed", "frozen"])
        if kind == "frozen":
            store.process.pause()
            self._undo_later(store.process.resume, LONG_FAULT_RANGE_S)
        elif kind == "trimmed":
            store.control(trim=True)
        elif store.process.is_running:
            if kind == "silent":
                store.control(is_silent=True)
            else:
                store.control(status=503)
            # A call without fields resets every setting to its default.
            self._undo_later(lambda: store.control(), LONG_FAULT_RANGE_S)
        return f"store {kind}"

    def _take_domain_out(self) -> str:
        domain = self._rng.choice(self._deployment.plan.failure_domains)
        self._run_command("domain", "out", domain, *AUDIT_OPTIONS)
        self._undo_later(
            lambda: self._bring_domain_back(domain), LONG_FAULT_RANGE_S
        )
        return f"{domain} out of service"

    def _publish_rules(self) -> str:
        path = self._deployment.rules_path
        number = next(self._rules_versions)
        text = path.read_text() + f"set version {number} # soak\n"
        changed_path = path.with_name(f"rules-{number}.txt")
        changed_path.write_text(text)
        self._run_command(
            "rules", "publish", str(changed_path), "--author", "soak"
        )
        return f"rules published ({number})"

    def _bring_domain_back(self, domain: str) -> None:
        """Retries the command until it writes to the store, as operators would.

        Gives up after DOMAIN_BACK_TIMEOUT_S.
        """
        deadline_s = time.monotonic() + DOMAIN_BACK_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if (
                self._run_command("domain", "back", domain, *AUDIT_OPTIONS)
                in WRITTEN_EXIT_CODES
            ):
                return

    def _run_command(self, *arguments: str) -> int:
        settings = next(iter(self._deployment.nodes.values())).settings_path
        process = self._deployment.run_command(
            *arguments, "--settings", str(settings)
        )
        return process.returncode
