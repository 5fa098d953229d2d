"""Plays roll-outs over a fleet of nodes without a network, in virtual time."""

import asyncio
import heapq
import itertools
import json
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.fleet.rollout_messages import RolloutMessage
from savorylift.platform.rollouts import encode_status
from savorylift.platform.store import STATUS_TOPIC
from savorylift.rendezvous import rank
from savorylift.rollouts.agent import RolloutAgent
from savorylift.rollouts.answer_log import Outcome
from savorylift.rollouts.answers import AnswerObserver
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.order import RolloutLimits, RolloutOrder
from savorylift.rollouts.order_clock import BootTime
from savorylift.rollouts.recorder import StageRecorder
from savorylift.rollouts.rollout_site import FleetView
from tests.exchange.factories import make_server_entry
from tests.rollouts.behaviours import FAILED, Answer, Asked, Behaviour, sound
from tests.rollouts.memory_store import MemoryStore, MemoryStoreClient

LIMITS = RolloutLimits(share=0.1, slack=50.0, rollback_s=5.0)
SERVICE = "s"
OLD, NEW = "v1", "v2"
ROUTES = ("draft", "summary")
STEP_S = 0.05
UPDATE_S = 0.2
SPEEDS = (1.0, 1.0, 1.3)  # times that servers take, by their machines
LOSS = 0.02  # of the messages between nodes
SILENT_S = 4.0  # after which a node counts as gone
BAD_ANSWERS = 50  # from which on a roll-back is due
ORDERED_S = 3.0  # after the beginning
AFTER_S = 4.0  # that a play goes on after the deadline


class Due(NamedTuple):
    """Something that happens to a request later.

    Attributes:
        at_s: When.
        number: Tells requests apart.
        node: The node that sent it.
        attempt_id: ID of the request.
        answer: Its answer.
        is_new: Whether the new version runs it.
        is_first: Whether its answer begins then.
        is_end: Whether it ends then.
    """

    at_s: float
    number: int
    node: "PlayNode"
    attempt_id: str
    answer: Answer
    is_new: bool
    is_first: bool
    is_end: bool


class PlayNode:
    """One node: its part in roll-outs, and what it sees of the fleet.

    Attributes:
        ip: Its address.
        board: What it knows.
        answers: Follows its requests.
        agent: Its part in roll-outs.
        store: Its client of the store.
        is_running: Whether it runs; frozen and killed nodes don't.
        is_cut: Whether it is cut off from the other nodes.
        inbox: Messages that came while it was frozen.
        heard_s: When it last heard each other node.
    """

    def __init__(self, play: "Play", ip: str, source: int) -> None:
        self._play = play
        self.ip = ip
        self.board = RolloutBoard(LIMITS)
        self.answers = AnswerObserver()
        self.store = MemoryStoreClient(play.store)
        self.agent = RolloutAgent(
            LIMITS,
            self.board,
            self.answers,
            StageRecorder(self.store, encode_status),
            self,
            source,
        )
        self.is_running = True
        self.is_cut = False
        self.inbox: list[RolloutMessage] = []
        self.heard_s: dict[str, float] = {}
        self._orders: list[RolloutOrder] = []
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        await self.agent.run()

    def read_orders(self) -> list[RolloutOrder] | None:
        if self._orders == self._play.orders:
            return None
        self._orders = list(self._play.orders)
        return self._orders

    def is_known(self) -> bool:
        return True

    def find_servers(self, service: str) -> Iterable[ServerEntry]:
        return self._play.servers

    def has_engines(self, service: str) -> bool:
        return True

    def view_fleet(self, service: str) -> FleetView:
        now_s = time.monotonic()
        live = [ip for ip, s in self.heard_s.items() if now_s - s < SILENT_S]
        able = [ip for ip in live if ip not in self._play.faulty]
        if self.ip not in self._play.faulty or not able:
            able.append(self.ip)
        decider = rank(service, able)[0]
        return FleetView(
            decider,
            decider == self.ip,
            (1 + len(live)) / len(self._play.nodes) > 0.5,
            self._play.other_builds,
        )

    def read_boot_clock(self) -> BootTime | None:
        now_s = time.monotonic() + self._play.suspended_s
        return BootTime(f"{self.ip} boot 1", now_s)

    def send(self, message: RolloutMessage, ip: str | None) -> None:
        self._play.deliver(self, message, ip)

    def choose(self, attempt_id: str, route: str) -> ServerEntry | None:
        """Returns the server that this node sends a request to."""
        rule = self.board.find_rule(
            SERVICE, attempt_id, route=route, is_repeat=False
        )
        servers = self._play.servers
        if rule is not None:
            servers = [entry for entry in servers if rule.allows(entry)]
            servers = [e for e in servers if rule.prefers(e)] or servers
        return self._play.rng.choice(servers) if servers else None


class Play:
    """A fleet, its servers and its callers.

    Attributes:
        nodes: The nodes by address.
        servers: Entries of the servers that are there.
        orders: Orders that stand.
        store: The store.
        faulty: Addresses of nodes that say that they miss the store.
        other_builds: Share of the nodes of other builds.
        exposed: Requests to the new version until the deadline.
        requests: All requests between the order and the deadline.
        unserved: Requests without a server.
        suspended_s: For how long the VMs were suspended, as their boot clocks
            say; other clocks stood still.
        broken: Requests that ran at the old servers as these stopped.
        last_exposed_s: When the new version last got a request.
        stop_due_s: When a roll-back was due, if it was.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        *,
        seed: int,
        nodes: int = 20,
        per_s: float = 34.0,
        duration_s: float = 12.0,
        run_s: Mapping[str, float] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryStore()
        self.orders: list[RolloutOrder] = []
        self.faulty: set[str] = set()
        self.other_builds = 0.0
        self._behaviour = behaviour
        self._per_s = per_s
        self.duration_s = duration_s
        self._numbers = itertools.count()
        # How long requests run on after their answer has begun, by route.
        self._run_s = run_s or {}
        self._due: list[Due] = []
        self._last_new = [False] * 40
        self._bad_answers = 0
        self.exposed = self.requests = self.unserved = self.broken = 0
        self.last_exposed_s = self.suspended_s = 0.0
        self.stop_due_s: float | None = None
        self.ordered_s = 0.0
        self._old = [_entry(f"o{n}", OLD) for n in range(14)]
        self._new = [_entry(f"n{n}", NEW) for n in range(14)]
        self.servers = list(self._old)
        self._speeds = {
            entry.server_id: self.rng.choice(SPEEDS)
            for entry in (*self._old, *self._new)
        }
        ips = [f"10.0.0.{number}" for number in range(nodes)]
        self.nodes = {
            ip: PlayNode(self, ip, self.rng.getrandbits(48)) for ip in ips
        }

    @property
    def statuses(self) -> list[str]:
        """What the status said, in order."""
        values = self.store.values(STATUS_TOPIC, f"rollout/{SERVICE}")
        return [json.loads(value)["state"] for value in values if value]

    @property
    def decider(self) -> PlayNode:
        """The node that decides, as most see it."""
        running = [n for n in self.nodes.values() if n.is_running]
        ips = [node.view_fleet(SERVICE).decider_ip for node in running]
        return self.nodes[max(ips, key=ips.count)]

    @property
    def bound(self) -> float:
        """Most requests that a bad version may get."""
        return LIMITS.share * self.requests + LIMITS.slack

    async def run(
        self, script: Iterable[tuple[float, Callable[["Play"], None]]] = ()
    ) -> None:
        """Plays an order to some time after its deadline.

        Args:
            script: What is done at which time, as a part of the order's.
        """
        begun_s = time.monotonic()
        self.ordered_s = begun_s + ORDERED_S
        due = sorted(script, key=lambda item: item[0])
        deadline_s = self.ordered_s + self.duration_s
        next_update_s = begun_s
        while (now_s := time.monotonic()) < deadline_s + AFTER_S:
            if (
                not self.orders
                and now_s >= self.ordered_s
                and len(self.servers) == len(self._old)
            ):
                self.order()
            while due and self._progress(now_s) >= due[0][0]:
                due.pop(0)[1](self)
            if now_s >= next_update_s:
                next_update_s += UPDATE_S
                self._update()
            self._ask_all(now_s)
            self._end_all(now_s)
            if self.statuses[-1:] == ["completed"]:
                self._stop_old()
            await asyncio.sleep(STEP_S)
        for node in self.nodes.values():
            node.task.cancel()

    def order(self) -> None:
        """Writes the order, and starts the new servers."""
        self.orders = [RolloutOrder("o1", SERVICE, NEW, self.duration_s)]
        self.servers = [*self._old, *self._new]

    def freeze(self, node: PlayNode) -> None:
        """Lets a node stand still."""
        node.is_running = False
        node.store.held.clear()

    def wake(self, node: PlayNode) -> None:
        """Lets a node go on."""
        node.is_running = True
        node.store.held.set()
        for message in node.inbox:
            node.agent.receive(message)
        node.inbox.clear()

    def kill(self, node: PlayNode) -> None:
        """Ends a node for good."""
        node.is_running = False
        node.task.cancel()

    def restart(self, node: PlayNode) -> None:
        """Starts a node anew, with nothing that it knew."""
        node.task.cancel()
        fresh = PlayNode(self, node.ip, self.rng.getrandbits(48))
        self.nodes[node.ip] = fresh

    def deliver(
        self, sender: PlayNode, message: RolloutMessage, ip: str | None
    ) -> None:
        """Carries a message, unless it is lost."""
        targets = [self.nodes[ip]] if ip else list(self.nodes.values())
        for node in targets:
            if node is sender or node.is_cut or sender.is_cut:
                continue
            if self.rng.random() < LOSS:
                continue
            if node.is_running:
                node.agent.receive(message)
            else:
                node.inbox.append(message)

    def _update(self) -> None:
        now_s = time.monotonic()
        running = [n for n in self.nodes.values() if n.is_running]
        for node in running:
            for other in running:
                if other is node or node.is_cut or other.is_cut:
                    continue
                if other.ip not in node.heard_s or self.rng.random() > LOSS:
                    node.heard_s[other.ip] = now_s
                    continue
            node.agent.update()

    def _ask_all(self, now_s: float) -> None:
        expected = self._per_s * STEP_S
        count = int(expected) + (self.rng.random() < expected % 1)
        running = [n for n in self.nodes.values() if n.is_running]
        for _ in range(count if running else 0):
            self._ask(self.rng.choice(running), now_s)

    def _ask(self, node: PlayNode, now_s: float) -> None:
        attempt_id = f"{self.rng.getrandbits(64):016x}"
        route = self.rng.choice(ROUTES)
        entry = node.choose(attempt_id, route)
        progress = self._progress(now_s)
        is_counted = 0 <= progress <= 1
        self.requests += is_counted
        if entry is None:
            self.unserved += 1
            return
        is_new = entry.software_version == NEW
        self._last_new = [*self._last_new[1:], is_new]
        if is_new:
            self.exposed += is_counted
            self.last_exposed_s = now_s
        asked = Asked(progress, sum(self._last_new) / 40, route, self.rng)
        answer = (self._behaviour if is_new else sound)(asked)
        took_s = answer.took_s * self._speeds[entry.server_id]
        node.answers.begin(entry, route, attempt_id, is_cold=False)
        begun_s = now_s + took_s
        run_s = self._run_s.get(route, 0.0) * self.rng.uniform(0.5, 1.0)
        due = Due(
            begun_s,
            next(self._numbers),
            node,
            attempt_id,
            answer,
            is_new,
            is_first=True,
            is_end=not run_s or answer.status >= FAILED,
        )
        heapq.heappush(self._due, due)
        if not due.is_end:
            end_s = begun_s + run_s
            end = due._replace(at_s=end_s, is_first=False, is_end=True)
            heapq.heappush(self._due, end)

    def _stop_old(self) -> None:
        """Stops the old servers, with all that they run."""
        if self.servers == self._new:
            return
        self.servers = list(self._new)
        old = [due for due in self._due if not due.is_new]
        for due in old:
            self.broken += due.is_end
            due.node.answers.finish(due.attempt_id, Outcome.LOST)
        self._due = [due for due in self._due if due.is_new]
        heapq.heapify(self._due)

    def _end_all(self, now_s: float) -> None:
        while self._due and self._due[0].at_s <= now_s:
            due = heapq.heappop(self._due)
            is_failure = due.answer.status >= FAILED
            if due.is_first:
                self._count_bad(due, now_s)
            if not due.is_end:
                due.node.answers.note_answer(due.attempt_id)
                continue
            outcome = Outcome.FAILED if is_failure else Outcome.SUCCEEDED
            due.node.answers.finish(due.attempt_id, outcome)

    def _count_bad(self, due: Due, now_s: float) -> None:
        if not due.is_new or not due.answer.is_bad:
            return
        self._bad_answers += 1
        if self._bad_answers == BAD_ANSWERS:
            self.stop_due_s = now_s + LIMITS.rollback_s

    def _progress(self, now_s: float) -> float:
        return (now_s - self.ordered_s) / self.duration_s


def _entry(server_id: str, version: str) -> ServerEntry:
    return make_server_entry(server_id)._replace(software_version=version)
