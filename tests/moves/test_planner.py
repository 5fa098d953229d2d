"""Tests of planners of moves, and of the nodes that ask them for turns."""

import asyncio
import itertools
import math
import random
import time
from collections.abc import Callable

import pytest

from savorylift import standstill
from savorylift.boot_clock import boot_time_s
from savorylift.fleet.move_messages import (
    MoveEnd,
    MoveMessage,
    MoveOutcome,
    MoveReply,
    MoveRequest,
)
from savorylift.moves import plan_client
from savorylift.moves.begun_copies import MAX_COPY_S
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.plan_client import PlanClient
from savorylift.moves.plan_timers import SHARE_DELAY_S
from savorylift.moves.planner import MovePlanner
from savorylift.moves.planner_choice import PlannerChoice
from savorylift.moves.service_moves import PlanConditions
from savorylift.rooms.engine_groups import EngineGroups, RoomId
from savorylift.rooms.keeper_choice import MIN_NODES, KeeperChoice
from tests.harness.virtual_time import run_in_virtual_time
from tests.moves.factories import (
    LINK_TOKENS_PER_S,
    SERVICE,
    make_destination,
    make_move_request,
)
from tests.rooms.factories import NODES, ip_of, make_membership

WAIT_S = 3.0
MESSAGE_S = 0.003


class Engines:
    """Engines that all nodes know alike."""

    def __init__(self) -> None:
        """Creates two engines with room."""
        self.conditions: PlanConditions | None = PlanConditions(
            {f"d{n}": make_destination() for n in range(2)},
            LINK_TOKENS_PER_S,
            (),
        )
        self.held: dict[str, int] = {}
        self.count = 2
        self.looks = 0

    def look(self, service: str) -> PlanConditions | None:
        """Returns what plans depend on."""
        self.looks += 1
        return self.conditions if service == SERVICE else None

    def find_announced(self) -> tuple[PlannedMove, ...]:
        """Returns the moves that nodes have announced."""
        return ()

    def hold(self, service: str, tokens: dict[str, int]) -> None:
        """Keeps room for moves."""
        self.held = tokens


class Node:
    """A node with its own knowledge of the others."""

    def __init__(self, number: int, fleet: "Fleet", count: int) -> None:
        """Creates a node that knows the others."""
        self.ip = ip_of(number)
        self.members = make_membership(number, count)
        self.keepers = KeeperChoice(
            self.ip, self.members, lambda: False, is_enabled=True
        )
        groups = EngineGroups(lambda _: fleet.engines.count)
        self.choice = PlannerChoice(self.keepers, groups)

        def send(message: MoveMessage, ip: str) -> None:
            fleet.send(message, self.ip, ip)

        self.planner = MovePlanner(
            self.choice, self.members, fleet.engines, send, lambda: 0.2
        )
        self.client = PlanClient(self.choice, send, random.Random(number))

    def receive(self, message: MoveMessage, ip: str) -> None:
        """Handles a message."""
        if isinstance(message, MoveReply):
            self.client.receive(message, ip)
        else:
            self.planner.receive(message, ip)

    async def ask(self, req: MoveRequest) -> MoveReply | None:
        """Asks the planner for a turn."""
        ip = self.client.find_planner(req.service)
        if ip is None:
            return None
        return await self.client.ask(ip, lambda: req, time.monotonic() + WAIT_S)


class Fleet:
    """Nodes whose messages take a time, and may be lost or doubled."""

    def __init__(self, count: int = NODES) -> None:
        """Creates nodes and engines."""
        self.engines = Engines()
        self.sent: list[MoveMessage] = []
        # Nodes whose messages are lost, and those that others' don't reach.
        self.mute: set[str] = set()
        self.deaf: set[str] = set()
        self.is_lost: Callable[[MoveMessage], bool] = lambda _: False
        self.copies = 1
        self.nodes = {
            ip_of(number): Node(number, self, count)
            for number in range(1, count + 1)
        }

    def send(self, message: MoveMessage, source: str, ip: str) -> None:
        """Delivers a message, unless it is lost."""
        self.sent.append(message)
        if source in self.mute or ip in self.deaf or self.is_lost(message):
            return
        loop = asyncio.get_running_loop()
        for _ in range(self.copies):
            loop.call_later(MESSAGE_S, self.nodes[ip].receive, message, source)

    @property
    def planner(self) -> Node:
        """The node that plans."""
        node = next(iter(self.nodes.values()))
        ip = node.choice.find(SERVICE)
        assert ip is not None
        return self.nodes[ip]

    @property
    def others(self) -> list[Node]:
        """The other nodes."""
        return [n for n in self.nodes.values() if n is not self.planner]

    def end(self, node: Node, reply: MoveReply) -> None:
        """Tells the planner that a run of a node was moved in its turn."""
        ip = self.planner.ip
        node.client.end(ip, reply.number, reply.destination_id)


def is_go(reply: MoveReply | None) -> bool:
    """Whether a run may be copied."""
    return reply is not None and reply.outcome == MoveOutcome.GO


def test_runs_of_several_nodes_take_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    copy_s = 0.2

    async def scenario() -> None:
        fleet = Fleet()
        begun: list[float] = []

        async def move(node: Node, number: int) -> None:
            req = make_move_request(number, tokens=3000 + number)
            reply = await node.ask(req)
            assert reply is not None
            assert reply.destination_id is not None
            begun.append(time.monotonic())
            await asyncio.sleep(copy_s)
            fleet.end(node, reply)

        begun_s = time.monotonic()
        nodes = [fleet.planner, *fleet.others[:4]]
        await asyncio.gather(*(move(n, i) for i, n in enumerate(nodes)))
        took_s = time.monotonic() - begun_s
        assert len(begun) == 5
        pairs = itertools.pairwise(begun)
        assert all(b - a >= copy_s for a, b in pairs)
        # The link is hardly ever unused between them.
        assert took_s < 5 * copy_s + 5 * 0.03

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(("engines", "groups"), [(2, 1), (48, 2), (96, 4)])
def test_planner_keeps_the_room_of_the_first_engines(
    engines: int, groups: int
) -> None:
    fleet = Fleet()
    fleet.engines.count = engines
    for node in fleet.nodes.values():
        keeper_ip = node.keepers.find(RoomId(SERVICE, 0, groups).name)
        assert node.client.find_planner(SERVICE) == keeper_ip
    assert fleet.planner.choice.is_planner(SERVICE)


def test_small_fleet_has_no_planner() -> None:
    fleet = Fleet(MIN_NODES - 1)
    node = fleet.nodes[ip_of(1)]
    assert node.client.find_planner(SERVICE) is None


@pytest.mark.parametrize("is_mute", [True, False])
def test_node_goes_on_without_a_planner_that_is_cut_off_one_way(
    monkeypatch: pytest.MonkeyPatch, *, is_mute: bool
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        (fleet.mute if is_mute else fleet.deaf).add(fleet.planner.ip)
        begun_s = time.monotonic()
        node = fleet.others[0]
        assert await node.ask(make_move_request(1)) is None
        took_s = time.monotonic() - begun_s
        assert took_s == pytest.approx(0.1, abs=0.01)
        # It isn't asked for the next run.
        assert node.client.find_planner(SERVICE) is None
        await asyncio.sleep(plan_client.SILENT_PLANNER_S)
        assert node.client.find_planner(SERVICE) == fleet.planner.ip

    run_in_virtual_time(monkeypatch, scenario)


def test_run_that_waits_goes_on_when_its_planner_is_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        first, second = fleet.others[:2]
        assert is_go(await first.ask(make_move_request(1, tokens=3000)))
        waiting = asyncio.ensure_future(second.ask(make_move_request(2)))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        killed_s = time.monotonic()
        fleet.mute.add(fleet.planner.ip)
        fleet.deaf.add(fleet.planner.ip)
        assert await waiting is None
        longest_s = 3 * plan_client.ASK_AGAIN_S
        assert time.monotonic() - killed_s < longest_s

    run_in_virtual_time(monkeypatch, scenario)


def test_planner_of_an_earlier_build_is_silent_to_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        # It drops what it doesn't know.
        monkeypatch.setattr(
            fleet.planner.planner, "receive", lambda _message, _ip: None
        )
        assert await fleet.others[0].ask(make_move_request(1)) is None

    run_in_virtual_time(monkeypatch, scenario)


def test_lost_and_doubled_messages_give_one_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        fleet.copies = 2
        lost: list[MoveMessage] = []

        def is_first_turn(message: MoveMessage) -> bool:
            is_turn = isinstance(message, MoveReply) and is_go(message)
            if not is_turn or lost:
                return False
            lost.append(message)
            return True

        fleet.is_lost = is_first_turn
        reply = await fleet.others[0].ask(make_move_request(1))
        assert is_go(reply)
        assert lost == [reply]
        # The second copy of the reply gives nothing back.
        await asyncio.sleep(0.1)
        assert not any(isinstance(m, MoveEnd) for m in fleet.sent)

    run_in_virtual_time(monkeypatch, scenario)


def test_turn_that_comes_too_late_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        first, second = fleet.others[:2]
        # The planner hears the first node, which doesn't hear it.
        fleet.deaf.add(first.ip)
        assert await first.ask(make_move_request(1, tokens=3000)) is None
        fleet.deaf.clear()
        late = MoveReply(12345, MoveOutcome.GO, "d0")
        fleet.planner.planner.receive(
            make_move_request(12345, tokens=3000), first.ip
        )
        first.receive(late, fleet.planner.ip)
        assert MoveEnd(12345) in fleet.sent
        await asyncio.sleep(0.1)
        assert is_go(await second.ask(make_move_request(2)))

    run_in_virtual_time(monkeypatch, scenario)


def test_turn_of_a_node_that_is_lost_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        first, second = fleet.others[:2]
        assert is_go(await first.ask(make_move_request(1, tokens=3000)))
        fleet.mute.add(first.ip)

        async def update() -> None:
            while True:
                await asyncio.sleep(0.2)
                fleet.planner.planner.update()

        updates = asyncio.ensure_future(update())
        begun_s = time.monotonic()
        assert is_go(await second.ask(make_move_request(2)))
        assert time.monotonic() - begun_s < MAX_COPY_S + 0.5
        updates.cancel()

    run_in_virtual_time(monkeypatch, scenario)


def test_planner_that_knows_no_engines_leaves_it_to_the_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        fleet.engines.conditions = None
        begun_s = time.monotonic()
        assert await fleet.others[0].ask(make_move_request(1)) is None
        assert time.monotonic() - begun_s < 0.1

    run_in_virtual_time(monkeypatch, scenario)


def test_node_that_does_not_plan_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        node, other = fleet.others[:2]
        req = make_move_request(1)
        reply = await node.client.ask(
            other.ip, lambda: req, time.monotonic() + WAIT_S
        )
        assert reply is None

    run_in_virtual_time(monkeypatch, scenario)


def test_planner_that_stood_still_looks_at_no_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A look goes over all nodes and engines, and runs ask again and again."""

    async def scenario() -> None:
        fleet = Fleet()
        planner = fleet.planner.planner
        boot_s = boot_time_s() + 2 * standstill.STOOD_STILL_S
        monkeypatch.setattr(standstill, "boot_time_s", lambda: boot_s)
        for number in range(20):
            planner.receive(make_move_request(number), fleet.others[0].ip)
        assert fleet.engines.looks == 0
        replies = [m for m in fleet.sent if isinstance(m, MoveReply)]
        assert [r.outcome for r in replies] == 20 * [MoveOutcome.ALONE]

    run_in_virtual_time(monkeypatch, scenario)


def test_planner_that_is_replaced_gives_no_more_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        planner, ip = fleet.planner.planner, fleet.others[0].ip
        for number in range(3):
            planner.receive(make_move_request(number, "e0"), ip)
        await asyncio.sleep(1.2 * SHARE_DELAY_S)
        (given,) = [
            m for m in fleet.sent if isinstance(m, MoveReply) and is_go(m)
        ]
        fleet.sent.clear()
        monkeypatch.setattr(planner._choice, "is_planner", lambda _: False)
        # One asks again, and the link is free for the next.
        planner.receive(make_move_request(2, "e0"), ip)
        planner.receive(MoveEnd(given.number), ip)
        await asyncio.sleep(WAIT_S)
        replies = [m for m in fleet.sent if isinstance(m, MoveReply)]
        assert {reply.outcome for reply in replies} == {MoveOutcome.ALONE}
        assert {reply.number for reply in replies} == {1, 2}

    run_in_virtual_time(monkeypatch, scenario)


def test_planner_keeps_nothing_of_services_without_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        ip = fleet.planner.ip
        for number in range(50):
            req = make_move_request(number)._replace(service=f"x{number}")
            fleet.planner.planner.receive(req, fleet.others[0].ip)
        replies = [m for m in fleet.sent if isinstance(m, MoveReply)]
        assert {reply.outcome for reply in replies} == {MoveOutcome.ALONE}
        assert len(replies) == 50
        assert fleet.nodes[ip].planner._moves == {}
        assert set(fleet.nodes[ip].keepers._keepers) <= {SERVICE}

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"tokens": -1},
        {"tokens": 10**400},
        {"expected_tokens": 10**400},
        {"notice_age_s": math.nan},
        {"notice_age_s": -1.0},
        {"done_share": math.nan},
        {"done_share": 2.0},
        {"ends_in_s": math.nan},
    ],
)
def test_numbers_that_make_no_sense_are_dropped(
    monkeypatch: pytest.MonkeyPatch, changes: dict[str, float]
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        req = make_move_request(1)._replace(**changes)  # type: ignore[arg-type]
        fleet.planner.planner.receive(req, fleet.others[0].ip)
        await asyncio.sleep(0.1)
        assert fleet.sent == []

    run_in_virtual_time(monkeypatch, scenario)


def test_room_is_kept_until_moves_are_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        node = fleet.others[0]
        req = make_move_request(1)
        reply = await node.ask(req)
        assert reply is not None
        assert reply.destination_id is not None
        expected = {reply.destination_id: req.expected_tokens}
        assert fleet.engines.held == expected
        fleet.end(node, reply)
        await asyncio.sleep(0.1)
        fleet.planner.planner.update()
        assert fleet.engines.held == expected
        await asyncio.sleep(1.0)
        fleet.planner.planner.update()
        assert fleet.engines.held == {}
        assert isinstance(fleet.sent[-1], MoveEnd)

    run_in_virtual_time(monkeypatch, scenario)
