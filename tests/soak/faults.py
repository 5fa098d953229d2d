"""Faults that the soak brings about from outside the programs."""

import itertools
import random
import signal
import threading
import time
from collections.abc import Callable, Iterator

from tests.harness.deployment import Deployment
from tests.harness.link import Link, Way
from tests.harness.node import Node

# Faults come in series and overlap.
GAP_S = (0.1, 1.2)
SHORT_S = (0.2, 1.0)
LONG_S = (0.5, 3.0)
DELAY_S = 0.15
ORDERED_S = 20.0
# Done, or done with nodes that have not confirmed.
WRITTEN = (0, 3)
WHO = ("--author", "soak", "--cause", "soak")

Fault = Callable[[], str]


class Troubles:
    """Draws faults, brings them about and takes them back."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Draws from `seed`."""
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._over = threading.Event()
        self._ends: list[threading.Thread] = []
        self._versions = itertools.count(2)
        self._down: set[str] = set()
        self.done: list[str] = []

    def run(self, for_s: float) -> None:
        """Brings faults about for a while; all have ended afterwards."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            fault = self._rng.choice(list(self._kinds()))
            began_s = time.monotonic()
            self.done.append(f"{until_s - began_s:5.1f} s left: {fault()}")
            time.sleep(self._rng.uniform(*GAP_S))
        self._over.set()
        for end in self._ends:
            end.join()

    def _kinds(self) -> Iterator[Fault]:
        yield from (self._kill, self._freeze, self._stop, self._reload)
        yield from (self._engine, self._engine, self._service)
        yield from (self._link, self._link, self._store)
        yield from (self._order, self._publish)

    def _later(
        self, undo: Callable[[], None], within: tuple[float, float]
    ) -> None:
        """Takes a fault back after a while, beside the others."""
        wait_s = self._rng.uniform(*within)

        def end() -> None:
            self._over.wait(wait_s)
            undo()

        thread = threading.Thread(target=end)
        thread.start()
        self._ends.append(thread)

    def _node(self) -> Node:
        """Returns a node; at least one other stays untouched."""
        names = [n for n in self._deployment.nodes if n not in self._down]
        return self._deployment.nodes[self._rng.choice(names)]

    def _take_down(self, node: Node) -> bool:
        is_last = len(self._down) + 1 >= len(self._deployment.nodes)
        if not is_last:
            self._down.add(node.place.vm)
        return not is_last

    def _bring_back(self, node: Node) -> None:
        node.start()
        self._down.discard(node.place.vm)

    def _kill(self) -> str:
        node = self._node()
        if not self._take_down(node):
            return "nothing"
        node.process.kill()
        self._later(lambda: self._bring_back(node), SHORT_S)
        return f"{node.place.vm} killed"

    def _stop(self) -> str:
        node = self._node()
        if not self._take_down(node):
            return "nothing"
        node.process.terminate()

        def back() -> None:
            node.process.wait(15.0)
            self._bring_back(node)

        self._later(back, SHORT_S)
        return f"{node.place.vm} stopped"

    def _freeze(self) -> str:
        node = self._node()
        if not self._take_down(node):
            return "nothing"
        node.process.freeze()

        def back() -> None:
            node.process.thaw()
            self._down.discard(node.place.vm)

        self._later(back, LONG_S)
        return f"{node.place.vm} frozen"

    def _reload(self) -> str:
        node = self._node()
        if node.process.is_running:
            node.process._signal(signal.SIGHUP)
        return f"{node.place.vm} reloads"

    def _engine(self) -> str:
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

        def back() -> None:
            runner.control(stall=False, leaving=False, hang_when_dead=False)

        self._later(back, LONG_S)
        return f"{name} {change}"

    def _service(self) -> str:
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
        self._later(lambda: instance.control(leaving=False), LONG_S)
        return f"{name} {change}"

    def _link(self) -> str:
        name, link = self._rng.choice(list(self._deployment.links.items()))
        breakages: dict[str, Callable[[Link], None]] = {
            "silent": Link.silence_open,
            "reset": Link.reset_open,
            "cut": Link.cut,
            "cut towards the target": lambda one: one.cut(Way.TO_TARGET),
            "cut from the target": lambda one: one.cut(Way.FROM_TARGET),
            "closed": Link.refuse,
            "slow": lambda one: one.delay(DELAY_S),
        }
        kind = self._rng.choice(list(breakages))
        breakages[kind](link)

        def back() -> None:
            link.heal()
            link.delay(0.0)

        self._later(back, LONG_S)
        return f"link {name} {kind}"

    def _store(self) -> str:
        store = self._deployment.store
        kind = self._rng.choice(["silent", "busy", "trimmed", "frozen"])
        if kind == "frozen":
            store.process.freeze()
            self._later(store.process.thaw, LONG_S)
        elif kind == "trimmed":
            store.control(trim=True)
        elif store.process.is_running:
            if kind == "silent":
                store.control(is_silent=True)
            else:
                store.control(status=503)
            self._later(lambda: store.control(), LONG_S)
        return f"store {kind}"

    def _order(self) -> str:
        domain = self._rng.choice(self._deployment.plan.failure_domains)
        self._command("domain", "out", domain, *WHO)
        self._later(lambda: self._bring_domain_back(domain), LONG_S)
        return f"{domain} out of service"

    def _publish(self) -> str:
        path = self._deployment.rules_path
        number = next(self._versions)
        text = path.read_text() + f"set version {number} # soak\n"
        changed = path.with_name(f"rules-{number}.txt")
        changed.write_text(text)
        self._command("rules", "publish", str(changed), "--author", "soak")
        return f"rules published ({number})"

    def _bring_domain_back(self, domain: str) -> None:
        """Orders until the store has taken it, as an operator would."""
        until_s = time.monotonic() + ORDERED_S
        while time.monotonic() < until_s:
            if self._command("domain", "back", domain, *WHO) in WRITTEN:
                return

    def _command(self, *words: str) -> int:
        settings = next(iter(self._deployment.nodes.values())).settings_path
        ran = self._deployment.command(*words, "--settings", str(settings))
        return ran.returncode
