"""Tests of planners of moves that stand still for a while, or are killed.

Others plan meanwhile, or the nodes order their moves by themselves. The old
planner wakes with runs that waited, a plan that is due, messages that it hasn't
read, and news of the engines from before.
"""

import asyncio
import random
import time
from collections.abc import Callable, Mapping

import pytest

from savorylift.fleet.move_messages import (
    MoveMessage,
    MoveOutcome,
    MoveReply,
    MoveRequest,
)
from savorylift.moves.copy_schedule import copy_duration_s
from savorylift.moves.move_inputs import Destination
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.plan_client import SILENT_PLANNER_S, PlanClient
from savorylift.moves.planner import MovePlanner
from savorylift.moves.planner_choice import PlannerChoice
from savorylift.moves.service_moves import PlanConditions
from savorylift.rooms.engine_groups import EngineGroups
from savorylift.rooms.keeper_choice import KeeperChoice
from tests.fleet.test_membership import state
from tests.harness.virtual_time import run_in_virtual_time
from tests.moves.factories import (
    LINK_TOKENS_PER_S,
    SERVICE,
    make_destination,
    make_move_request,
    make_source,
)
from tests.rooms.factories import NODES, ip_of, make_membership

MESSAGE_S = 0.003
UPDATE_S = 0.2
# Loads at engines are told to the nodes this often.
NEWS_S = 1.0
# A node without a planner looks again for an engine with room after this time.
RETRY_S = 0.15
LOST_S = 1.0
MOVE_S = 2.5
RUN_TOKENS = 3000
ROOM_TOKENS = make_move_request(0, tokens=RUN_TOKENS).expected_tokens


class Engines:
    """Engines that runs are copied to, each with room for a few."""

    def __init__(self, count: int, runs: int) -> None:
        """Creates empty engines.

        Args:
            count: Number of engines.
            runs: How many runs each has room for.
        """
        self.free = {f"d{n}": runs * ROOM_TOKENS for n in range(count)}
        # Where copies of each run have begun.
        self.begun: dict[str, list[str]] = {}
        self.most_beyond = 0

    def begin(self, attempt_id: str, server_id: str) -> None:
        """Takes the room of a run."""
        self.begun.setdefault(attempt_id, []).append(server_id)
        self.free[server_id] -= ROOM_TOKENS
        self.most_beyond = max(self.most_beyond, -self.free[server_id])

    def find_emptiest(self) -> str | None:
        """Returns the engine to copy a run to without a plan."""
        server_id = max(self.free, key=self.free.__getitem__)
        return server_id if self.free[server_id] >= ROOM_TOKENS else None


class Site:
    """The engines, as a node heard of them last."""

    def __init__(self, engines: Engines) -> None:
        """Hears of them."""
        self._engines = engines
        self._free: Mapping[str, int] = dict(engines.free)
        self.held: dict[str, int] = {}

    def hear(self) -> None:
        """Hears of them again."""
        self._free = dict(self._engines.free)

    def look(self, service: str) -> PlanConditions | None:
        """Returns what plans depend on."""
        destinations: dict[str, Destination] = {
            server_id: make_destination(free_tokens=free)
            for server_id, free in self._free.items()
        }
        return PlanConditions(destinations, LINK_TOKENS_PER_S, ())

    def find_announced(self) -> tuple[PlannedMove, ...]:
        """Returns the moves that nodes have announced."""
        return ()

    def hold(self, service: str, tokens: dict[str, int]) -> None:
        """Keeps room for moves."""
        self.held = tokens


class Node:
    """A node that can stand still."""

    def __init__(self, number: int, fleet: "Fleet") -> None:
        """Creates a node that knows the others."""
        self.ip = ip_of(number)
        self.members = make_membership(number)
        self.choice = PlannerChoice(
            KeeperChoice(self.ip, self.members, lambda: False, is_enabled=True),
            EngineGroups(lambda _: 2),
        )
        self.site = Site(fleet.engines)
        self.is_frozen = False
        self._unread: list[tuple[MoveMessage, str]] = []
        self._late: list[Callable[[], None]] = []

        def send(message: MoveMessage, ip: str) -> None:
            fleet.send(message, self.ip, ip)

        self.planner = MovePlanner(
            self.choice, self.members, self.site, send, lambda: UPDATE_S
        )
        self._hold_up_timers()
        self.client = PlanClient(self.choice, send, random.Random(number))

    def _hold_up_timers(self) -> None:
        """Has its timers call when it wakes, if it is frozen."""
        timers = self.planner._timers
        run = timers._run

        def run_when_awake() -> None:
            if self.is_frozen:
                self._late.append(run)
            else:
                run()

        timers._run = run_when_awake  # type: ignore[method-assign]

    def receive(self, message: MoveMessage, ip: str) -> None:
        """Handles a message, unless it is frozen."""
        if self.is_frozen:
            self._unread.append((message, ip))
        elif isinstance(message, MoveReply):
            self.client.receive(message, ip)
        else:
            self.planner.receive(message, ip)

    def update(self) -> None:
        """Does what is done periodically."""
        if not self.is_frozen:
            self.planner.update()

    def wake(self, *, reads_first: bool) -> None:
        """Goes on with its timers and messages."""
        self.is_frozen = False
        unread, self._unread = self._unread, []
        late, self._late = self._late, []

        def read() -> None:
            for message, ip in unread:
                self.receive(message, ip)

        for step in [read, *late] if reads_first else [*late, read]:
            step()


class Fleet:
    """Nodes that move runs to the same engines."""

    def __init__(self, engines: Engines) -> None:
        """Creates nodes that know each other."""
        self.engines = engines
        # Turns that were given: by which node, and for which request.
        self.given: list[tuple[str, int]] = []
        self.nodes = {ip_of(n): Node(n, self) for n in range(1, NODES + 1)}
        self.dead: set[str] = set()

    def send(self, message: MoveMessage, source: str, ip: str) -> None:
        """Delivers a message."""
        if isinstance(message, MoveReply) and message.outcome == MoveOutcome.GO:
            self.given.append((source, message.number))
        if ip not in self.dead:
            loop = asyncio.get_running_loop()
            loop.call_later(MESSAGE_S, self.nodes[ip].receive, message, source)

    def find_planner(self) -> Node:
        """Returns the node that plans."""
        ip = self.nodes[ip_of(1)].choice.find(SERVICE)
        assert ip is not None
        return self.nodes[ip]

    def find_others(self, planner: Node) -> list[Node]:
        """Returns the other nodes."""
        return [node for node in self.nodes.values() if node is not planner]

    def show(self, node: Node, *, is_live: bool, sequence: int) -> None:
        """Has the others count a node among the live ones, or not."""
        number = next(n for n in range(1, NODES + 1) if ip_of(n) == node.ip)
        shown = state(number)._replace(
            interval_s=100.0, is_leaving=not is_live, sequence=sequence
        )
        for other in self.find_others(node):
            other.members.update_peer(shown, time.monotonic())

    async def run(self) -> None:
        """Updates the nodes periodically, and tells them of the engines."""
        next_news_s = 0.0
        while True:
            await asyncio.sleep(UPDATE_S)
            is_news = time.monotonic() >= next_news_s
            if is_news:
                next_news_s = time.monotonic() + NEWS_S
            for node in self.nodes.values():
                if is_news and not node.is_frozen:
                    node.site.hear()
                node.update()

    async def move(
        self, node: Node, req: MoveRequest, planner: Node | None = None
    ) -> None:
        """Moves a run as its node does."""
        leave_s = time.monotonic() + MOVE_S
        while time.monotonic() < leave_s:
            ip = node.client.find_planner(SERVICE)
            if planner is not None:
                ip = planner.ip
            reply = None
            if ip is not None:
                reply = await node.client.ask(ip, lambda: req, leave_s)
            server_id = self.engines.find_emptiest()
            if reply is not None:
                server_id = reply.destination_id
            if server_id is not None:
                await self._copy(req, server_id)
                if ip is not None and reply is not None:
                    node.client.end(ip, reply.number, server_id)
                return
            await asyncio.sleep(RETRY_S)

    async def _copy(self, req: MoveRequest, server_id: str) -> None:
        self.engines.begin(req.attempt_id, server_id)
        takes_s = copy_duration_s(
            req.tokens, make_source("z0"), make_destination("z0")
        )
        await asyncio.sleep(takes_s)


def make_requests(first: int, count: int, source: str) -> list[MoveRequest]:
    """Returns runs on an engine that leaves."""
    return [
        make_move_request(number, source, RUN_TOKENS)
        for number in range(first, first + count)
    ]


def start_moves(
    fleet: Fleet,
    nodes: list[Node],
    requests: list[MoveRequest],
    planner: Node | None = None,
) -> list[asyncio.Task[None]]:
    """Has each of some nodes move a run."""
    return [
        asyncio.ensure_future(fleet.move(node, req, planner))
        for node, req in zip(nodes, requests, strict=False)
    ]


def check_copies(engines: Engines) -> None:
    """Checks that each run was copied once, to where there was room."""
    assert all(len(places) == 1 for places in engines.begun.values())
    assert engines.most_beyond == 0


@pytest.mark.parametrize("reads_first", [True, False])
@pytest.mark.parametrize("frozen_s", [0.2, 0.45, 0.65, 1.0, 2.0, 4.0])
def test_planner_that_wakes_gives_no_turn_of_its_old_plan(
    monkeypatch: pytest.MonkeyPatch, frozen_s: float, *, reads_first: bool
) -> None:
    async def scenario() -> None:
        engines = Engines(2, runs=8)
        fleet = Fleet(engines)
        updates = asyncio.ensure_future(fleet.run())
        planner = fleet.find_planner()
        others = fleet.find_others(planner)
        moves = start_moves(fleet, others, make_requests(0, 8, "e0"))
        await asyncio.sleep(0.05)
        # A turn is held, other runs wait, and a plan is due for another one.
        assert len(fleet.given) == 1
        moves += start_moves(fleet, others[8:], make_requests(50, 1, "e9"))
        await asyncio.sleep(0.005)
        assert planner.planner._timers._due_s
        planner.is_frozen = True
        await asyncio.sleep(min(frozen_s, LOST_S))
        is_lost = frozen_s > LOST_S
        if is_lost:
            fleet.show(planner, is_live=False, sequence=2)
            moves += start_moves(fleet, others[9:], make_requests(100, 4, "e1"))
            await asyncio.sleep(frozen_s - LOST_S)
        waiting = {n for node in others for n in node.client._exchanges}
        woken = len(fleet.given)
        planner.wake(reads_first=reads_first)
        await asyncio.sleep(1.0)
        given = [n for ip, n in fleet.given[woken:] if ip == planner.ip]
        # Only to runs whose nodes still wait for it.
        assert set(given) <= waiting
        await asyncio.gather(*moves)
        assert len(engines.begun) == 9 + 4 * is_lost
        check_copies(engines)
        updates.cancel()

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("reads_first", [True, False])
def test_planner_that_wakes_gives_no_room_that_others_took_meanwhile(
    monkeypatch: pytest.MonkeyPatch, *, reads_first: bool
) -> None:
    async def scenario() -> None:
        engines = Engines(2, runs=4)
        fleet = Fleet(engines)
        updates = asyncio.ensure_future(fleet.run())
        planner = fleet.find_planner()
        others = fleet.find_others(planner)
        # It is asked, so that it has the service in mind.
        await asyncio.gather(
            *start_moves(fleet, others[:1], make_requests(0, 1, "e0"))
        )
        planner.is_frozen = True
        await asyncio.sleep(LOST_S)
        fleet.show(planner, is_live=False, sequence=2)
        await asyncio.sleep(1.0)
        moves = start_moves(fleet, others[1:], make_requests(10, 7, "e1"))
        await asyncio.gather(*moves)
        assert len(engines.begun) == 8
        planner.wake(reads_first=reads_first)
        fleet.show(planner, is_live=True, sequence=3)
        # All engines are full, and it doesn't know yet.
        late = start_moves(
            fleet, others[10:], make_requests(20, 4, "e2"), planner
        )
        await asyncio.sleep(0.3)
        assert len(engines.begun) == 8
        check_copies(engines)
        for server_id in engines.free:
            engines.free[server_id] += 2 * ROOM_TOKENS
        await asyncio.gather(*late)
        assert len(engines.begun) == 12
        check_copies(engines)
        updates.cancel()

    run_in_virtual_time(monkeypatch, scenario)


def test_runs_of_a_planner_that_is_killed_are_moved_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        engines = Engines(2, runs=8)
        fleet = Fleet(engines)
        updates = asyncio.ensure_future(fleet.run())
        planner = fleet.find_planner()
        others = fleet.find_others(planner)
        moves = start_moves(fleet, others, make_requests(0, 8, "e0"))
        await asyncio.sleep(0.05)
        planner.is_frozen = True
        fleet.dead.add(planner.ip)
        killed = len(fleet.given)
        await asyncio.sleep(LOST_S)
        fleet.show(planner, is_live=False, sequence=2)
        await asyncio.gather(*moves)
        await asyncio.sleep(SILENT_PLANNER_S)
        # Another one plans.
        second = start_moves(fleet, others, make_requests(100, 6, "e1"))
        await asyncio.gather(*second)
        givers = {ip for ip, _ in fleet.given[killed:]}
        assert len(givers) == 1
        assert planner.ip not in givers
        assert len(engines.begun) == 14
        check_copies(engines)
        updates.cancel()

    run_in_virtual_time(monkeypatch, scenario)
