"""Tests of keepers of engines' room, and of the nodes that ask them."""

import asyncio
import random
import time
from collections.abc import Iterator

import freezegun
import pytest
from structlog.testing import capture_logs

from savorylift import standstill
from savorylift.fleet.room_messages import (
    RoomEnds,
    RoomMessage,
    RoomOutcome,
    RoomReply,
    RoomRequest,
)
from savorylift.fleet.state import ServerLoad
from savorylift.placement.memory_release_rate import MIN_RELEASES
from savorylift.rooms import client as client_module
from savorylift.rooms import engine_groups as groups_module
from savorylift.rooms import handover, service_room
from savorylift.rooms import keeper as keeper_module
from savorylift.rooms.client import RoomAnswer, RoomClient
from savorylift.rooms.engine_groups import EngineGroups, RoomId
from savorylift.rooms.engines import Engines
from savorylift.rooms.handover import HANDOVER_HOLD_S
from savorylift.rooms.keeper import (
    START_HOLD_S,
    RoomKeeper,
)
from savorylift.rooms.keeper_choice import CACHE_S, MIN_NODES, KeeperChoice
from tests.fleet.test_membership import state
from tests.harness.virtual_time import run_in_virtual_time
from tests.rooms.factories import (
    NODES,
    SERVICE,
    TRAITS,
    ip_of,
    make_engines,
    make_load,
    make_membership,
    make_request,
)
from tests.wire.loopback import run_with_timeout

WAIT_S = 3.0
FULL = make_engines("a", traits=TRAITS._replace(slots=0))


class Node:
    """A node with its own knowledge of the others."""

    def __init__(self, number: int, fleet: "Fleet", count: int = NODES) -> None:
        """Creates a node that knows the others."""
        self.ip = ip_of(number)
        self.members = make_membership(number, count)
        self.is_leaving = False
        self.loads: tuple[ServerLoad, ...] = ()
        self.choice = KeeperChoice(
            self.ip, self.members, lambda: self.is_leaving, is_enabled=True
        )
        rng = random.Random(number)

        def send(message: RoomMessage, ip: str) -> None:
            fleet.send(message, self.ip, ip)

        self.keeper = RoomKeeper(
            self.choice,
            self.members,
            lambda _: fleet.engines,
            lambda: self.loads,
            lambda: 0.2,
            send,
            rng,
        )
        self.client = RoomClient(self.choice, send, rng)

    def receive(self, message: RoomMessage, ip: str) -> None:
        """Handles a message."""
        if isinstance(message, RoomReply):
            self.client.receive(message, ip)
        else:
            self.keeper.receive(message, ip)

    async def ask(self, request: RoomRequest) -> RoomReply | None:
        """Asks the keeper for a place."""
        keeper_ip = self.client.find_keeper(SERVICE)
        if keeper_ip is None:
            return None
        answer: RoomAnswer[str] = await self.client.ask(
            keeper_ip,
            request.attempt_id,
            lambda: request,
            lambda: None,
            time.monotonic() + WAIT_S,
        )
        return answer.reply


class Fleet:
    """Nodes whose messages may be lost or doubled."""

    def __init__(self) -> None:
        """Creates nodes and two engines."""
        self.engines: Engines | None = make_engines("a", "b")
        self.sent: list[tuple[RoomMessage, str]] = []
        self.nodes: dict[str, Node] = {}
        # Nodes whose messages are lost, and those that others' don't reach.
        self.mute: set[str] = set()
        self.deaf: set[str] = set()
        self.copies: Iterator[int] = iter(())
        for number in range(1, NODES + 1):
            self.nodes[ip_of(number)] = Node(number, self)

    def send(self, message: RoomMessage, source: str, ip: str) -> None:
        """Delivers a message as often as the next of `copies` says."""
        self.sent.append((message, ip))
        if source in self.mute or ip in self.deaf:
            return
        loop = asyncio.get_running_loop()
        for _ in range(next(self.copies, 1)):
            loop.call_soon(self.nodes[ip].receive, message, source)

    @property
    def keeper(self) -> Node:
        """The node that all choose."""
        found = {n.choice.find(SERVICE) or "" for n in self.nodes.values()}
        (ip,) = found
        return self.nodes[ip]

    @property
    def other(self) -> Node:
        """A node that isn't the keeper."""
        return next(n for n in self.nodes.values() if n is not self.keeper)


@pytest.fixture
def no_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keepers have heard all others when they are created."""
    monkeypatch.setattr(keeper_module, "START_HOLD_S", 0.0)
    monkeypatch.setattr(handover, "HANDOVER_HOLD_S", 0.0)
    monkeypatch.setattr(handover, "HANDOVER_INTERVALS", 0.0)


@pytest.fixture
def fleet(no_holds: None) -> Fleet:
    """A fleet whose keeper has heard all others."""
    return Fleet()


def test_all_nodes_get_places_within_the_engines_room(fleet: Fleet) -> None:
    async def scenario() -> None:
        nodes = list(fleet.nodes.values())
        tasks = [
            asyncio.ensure_future(node.ask(make_request(1, 4000)))
            for node in nodes
        ]
        served = 0
        while served < len(nodes):
            done, _ = await asyncio.wait([t for t in tasks if t], timeout=0.1)
            replies = [task.result() for task in done]
            assert all(r and r.server_id for r in replies)
            assert len(replies) - served <= 4
            served = len(replies)
            for node, task in zip(nodes, tasks, strict=True):
                if task.done():
                    node.client.end("a1")

    run_with_timeout(scenario())


def test_those_that_wait_keep_their_place_while_no_more_may_wait(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service_room, "MAX_WAITING", 1)
    fleet.engines = FULL

    async def scenario() -> None:
        keeper, ip = fleet.keeper.keeper, fleet.other.ip
        for number in (1, 2, 1):
            keeper.receive(make_request(number), ip)
        replies = [m for m, _ in fleet.sent if isinstance(m, RoomReply)]
        assert [(r.number, r.outcome) for r in replies] == [
            (1, RoomOutcome.QUEUED),
            (2, RoomOutcome.ALONE),
            (1, RoomOutcome.QUEUED),
        ]

    run_with_timeout(scenario())


@pytest.mark.parametrize("copies", [(0, 1), (1, 0, 1), (2, 2, 2), (2, 0, 2, 1)])
def test_lost_and_doubled_messages_grant_one_place(
    fleet: Fleet, copies: tuple[int, ...]
) -> None:
    async def scenario() -> None:
        fleet.copies = iter(copies)
        node = fleet.other
        reply = await node.ask(make_request(1, 4000))
        assert reply is not None
        assert reply.outcome == RoomOutcome.GRANTED
        room = fleet.keeper.keeper._rooms[RoomId(SERVICE)]
        assert len(room._book) == 1
        node.client.end("a1")
        await asyncio.sleep(client_module.END_DELAY_S * 2)
        assert len(room._book) == 0

    run_with_timeout(scenario())


@pytest.mark.parametrize("fault", ["mute", "deaf"])
def test_keeper_that_does_not_reply_costs_little_and_is_left_alone(
    no_holds: None, monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """It was killed, is cut off one way, or is of an earlier build."""

    async def scenario() -> None:
        fleet = Fleet()
        node, keeper = fleet.other, fleet.keeper
        getattr(fleet, fault).add(keeper.ip)
        begun_s = time.monotonic()
        assert await node.ask(make_request(1)) is None
        took_s = time.monotonic() - begun_s
        assert took_s < 2 * sum(client_module.ASK_TIMEOUTS_S)
        sent = len(fleet.sent)
        assert await node.ask(make_request(2)) is None
        asked = [m for m, _ in fleet.sent[sent:] if isinstance(m, RoomRequest)]
        assert asked == []
        # It is asked less and less often.
        over = node.client._silences[keeper.ip]._replace(
            until_s=time.monotonic()
        )
        node.client._silences[keeper.ip] = over
        assert await node.ask(make_request(3)) is None
        pause_s = node.client._silences[keeper.ip].pause_s
        assert pause_s == 2 * client_module.SILENT_KEEPER_S
        # A place that it granted meanwhile is given back.
        await asyncio.sleep(client_module.END_DELAY_S * 2)
        rooms = keeper.keeper._rooms.values()
        assert sum(len(room._book) for room in rooms) == 0

    run_in_virtual_time(monkeypatch, scenario)


def test_questions_asked_at_once_count_as_one_silence(fleet: Fleet) -> None:
    """A keeper that was away for a moment isn't avoided for long."""

    async def scenario() -> None:
        node, keeper = fleet.other, fleet.keeper
        fleet.mute.add(keeper.ip)
        asked = (node.ask(make_request(number)) for number in range(5))
        assert set(await asyncio.gather(*asked)) == {None}
        until_s = time.monotonic() + client_module.SILENT_KEEPER_S
        assert node.client._silences[keeper.ip].until_s <= until_s

    run_with_timeout(scenario())


def test_reply_that_a_busy_node_finds_when_its_time_is_over_counts(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        node, send = fleet.other, fleet.send
        fleet.copies = iter((0,))

        def send_while_busy(message: RoomMessage, source: str, ip: str) -> None:
            send(message, source, ip)
            if isinstance(message, RoomReply):
                time.sleep(2 * max(client_module.ASK_TIMEOUTS_S))

        monkeypatch.setattr(fleet, "send", send_while_busy)
        reply = await node.ask(make_request())
        assert reply is not None
        assert reply.outcome == RoomOutcome.GRANTED

    run_with_timeout(scenario())


def test_late_grant_is_given_back(fleet: Fleet) -> None:
    async def scenario() -> None:
        node, keeper = fleet.other, fleet.keeper
        late = RoomReply(77, RoomOutcome.GRANTED, "a")
        node.client.receive(late, keeper.ip)
        await asyncio.sleep(client_module.END_DELAY_S * 2)
        assert (RoomEnds((77,)), keeper.ip) in fleet.sent

    run_with_timeout(scenario())


def test_node_that_waits_notices_that_its_keeper_is_gone(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_module, "ASK_AGAIN_S", 0.05)

    async def scenario() -> None:
        node, keeper = fleet.other, fleet.keeper
        fleet.engines = FULL
        task = asyncio.ensure_future(node.ask(make_request()))
        await asyncio.sleep(0.12)
        assert not task.done()
        fleet.mute.add(keeper.ip)
        async with asyncio.timeout(WAIT_S / 2):
            assert await task is None

    run_with_timeout(scenario())


def test_caller_that_leaves_takes_no_room(fleet: Fleet) -> None:
    async def scenario() -> None:
        fleet.engines = FULL
        task = asyncio.ensure_future(fleet.other.ask(make_request()))
        await asyncio.sleep(0.02)
        room = fleet.keeper.keeper._rooms[RoomId(SERVICE)]
        assert len(room) == 1
        task.cancel()
        await asyncio.sleep(client_module.END_DELAY_S * 2)
        assert len(room) == 0

    run_with_timeout(scenario())


@pytest.mark.parametrize("engines", [None, make_engines()])
def test_keeper_that_knows_no_engine_yet_leaves_the_choice_to_the_node(
    fleet: Fleet, engines: Engines | None
) -> None:
    """What it knows of the service may be older than what the node knows."""

    async def scenario() -> None:
        fleet.engines = engines
        async with asyncio.timeout(WAIT_S / 2):
            assert await fleet.other.ask(make_request()) is None
            # So does one that no longer knows any while a generation waits.
            fleet.engines = FULL
            task = asyncio.ensure_future(fleet.other.ask(make_request(2)))
            await asyncio.sleep(0.02)
            assert not task.done()
            fleet.engines = engines
            assert await task is None

    run_with_timeout(scenario())


def test_looks_leave_a_slow_keeper_time_for_its_own_callers(
    fleet: Fleet,
) -> None:
    """While many wait, each node's message makes it look at them again."""

    async def scenario() -> None:
        fleet.engines = FULL
        keeper, look_s, looks = fleet.keeper.keeper, 0.005, 0
        waiting = asyncio.ensure_future(fleet.other.ask(make_request()))
        await asyncio.sleep(0.02)

        def look(_service: str) -> Engines:
            nonlocal looks
            looks += 1
            time.sleep(look_s)
            return FULL

        keeper._find_engines = look
        begun_s = time.monotonic()
        while (took_s := time.monotonic() - begun_s) < 0.5:
            keeper.hear(ip_of(5), ())
            await asyncio.sleep(0.001)
        waiting.cancel()
        assert looks > 1
        assert looks * look_s < 0.2 * took_s

    run_with_timeout(scenario())


class LoneKeeper:
    """The keeper of a fleet in paused time, whose replies are kept."""

    def __init__(self) -> None:
        """Creates the node that all choose as the keeper."""
        self.replies: list[RoomReply] = []
        self.engines = make_engines("a", "b")
        nodes = (Node(n, self) for n in range(1, NODES + 1))  # type: ignore[arg-type]
        self.node = next(n for n in nodes if n.choice.is_keeper(SERVICE))

    def send(self, message: RoomMessage, _source: str, _ip: str) -> None:
        """Keeps a reply."""
        assert isinstance(message, RoomReply)
        self.replies.append(message)

    @property
    def other_ip(self) -> str:
        """Address of another node."""
        return ip_of(1 if self.node.ip != ip_of(1) else 2)

    def ask(self, number: int) -> str:
        """Returns the outcome of a request of another node."""
        self.node.keeper.receive(make_request(number, 4000), self.other_ip)
        return self.replies[-1].outcome


def test_successor_grants_nothing_before_it_has_heard_the_others() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        lone = LoneKeeper()
        assert lone.ask(1) == RoomOutcome.ALONE
        assert not lone.node.keeper.is_keeping
        clock.tick(START_HOLD_S - 0.1)
        assert lone.ask(2) == RoomOutcome.ALONE
        # Two of its engines' four places are taken by what it hears.
        peer = state(3 if lone.node.ip != ip_of(3) else 4)._replace(
            interval_s=100.0,
            sequence=2,
            loads=(make_load("a", 2, 8000),),
        )
        lone.node.members.update_peer(peer, time.monotonic())
        clock.tick(0.2)
        lone.ask(3)
        assert lone.replies[-1].server_id == "b"
        assert lone.node.keeper.is_keeping


def test_two_keepers_never_grant_in_the_same_hand_over() -> None:
    """One that is no longer chosen stops; the next waits."""
    with freezegun.freeze_time("2026-01-01") as clock:
        lone = LoneKeeper()
        clock.tick(START_HOLD_S + 0.1)
        assert lone.ask(1) == RoomOutcome.GRANTED
        lone.node.is_leaving = True
        clock.tick(CACHE_S)
        assert lone.ask(2) == RoomOutcome.ALONE
        lone.node.is_leaving = False
        clock.tick(CACHE_S)
        lone.node.keeper.update()
        clock.tick(HANDOVER_HOLD_S - 0.2)
        assert lone.ask(3) == RoomOutcome.ALONE
        clock.tick(0.3)
        assert lone.ask(4) == RoomOutcome.GRANTED


def test_keeper_that_stood_still_grants_nothing_on_what_it_knew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    boot_s = 100.0
    monkeypatch.setattr(standstill, "boot_time_s", lambda: boot_s)
    with freezegun.freeze_time("2026-01-01") as clock:
        lone = LoneKeeper()
        clock.tick(START_HOLD_S + 0.1)
        assert lone.ask(1) == RoomOutcome.GRANTED
        boot_s += 5.0
        assert lone.ask(2) == RoomOutcome.ALONE
        clock.tick(HANDOVER_HOLD_S + 0.1)
        assert lone.ask(3) == RoomOutcome.GRANTED


def test_names_of_services_that_are_not_configured_are_not_kept() -> None:
    """Requests of nodes name them; nothing bounds how many."""
    with freezegun.freeze_time("2026-01-01") as clock:
        lone = LoneKeeper()
        clock.tick(START_HOLD_S + 0.1)
        keeper, choice = lone.node.keeper, lone.node.choice
        keeper._find_engines = lambda name: (
            lone.engines if name == SERVICE else None
        )
        for number in range(50):
            other = make_request(number)._replace(service=f"none{number}")
            keeper.receive(other, ip_of(2))
        assert {reply.outcome for reply in lone.replies} == {RoomOutcome.ALONE}
        assert len(lone.replies) == 50
        assert not keeper._ready_s
        assert set(choice._keepers) <= {SERVICE}
        assert lone.ask(99) == RoomOutcome.GRANTED


def test_keeper_logs_when_its_role_begins_and_ends_and_whom_it_refuses() -> (
    None
):
    with freezegun.freeze_time("2026-01-01") as clock, capture_logs() as lines:
        lone = LoneKeeper()
        lone.engines = make_engines("a")
        clock.tick(START_HOLD_S + 0.1)
        for number in range(MIN_RELEASES):
            lone.ask(number)
            lone.node.keeper.receive(RoomEnds((number,)), lone.other_ip)
        lone.ask(50)
        lone.ask(51)
        hopeless = make_request(52, 9000)._replace(leave_in_s=0.01)
        lone.node.keeper.receive(hopeless, lone.other_ip)
        lone.node.is_leaving = True
        clock.tick(CACHE_S)
        lone.node.keeper.update()
    roles = [x["change"] for x in lines if x["event"] == "room_role"]
    assert roles == ["begun", "not_chosen"]
    (refused,) = [x for x in lines if x["event"] == "room_refused"]
    assert refused["request"] == "a52"
    assert refused["tokens_per_s"] > 0


def test_keeper_grants_nothing_while_engines_are_divided_anew() -> None:
    """Another node may keep the same engines until it has heard of it."""
    with freezegun.freeze_time("2026-01-01") as clock:
        lone, engines = LoneKeeper(), 47
        keeper = lone.node.keeper
        keeper._groups = EngineGroups(lambda _: engines)
        clock.tick(START_HOLD_S + 0.1)
        assert lone.ask(1) == RoomOutcome.GRANTED
        engines = 48
        clock.tick(groups_module.CACHE_S)
        assert lone.ask(2) == RoomOutcome.ALONE
        assert not keeper.is_keeping
        found = [RoomId(SERVICE, group, 2) for group in range(2)]
        lone.node.choice._keepers = {room.name: lone.node.ip for room in found}
        half = make_request(3)._replace(group=1, groups=2)
        keeper.receive(half, lone.other_ip)
        assert lone.replies[-1].outcome == RoomOutcome.ALONE
        clock.tick(HANDOVER_HOLD_S + 0.1)
        for number, room in enumerate(found):
            asked = half._replace(number=10 + number, group=room.group)
            keeper.receive(asked, lone.other_ip)
            server_id = lone.replies[-1].server_id
            assert server_id is None or room.has_engine(server_id)


def test_small_fleet_and_unsound_requests_use_no_keeper() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        members = make_membership(1, MIN_NODES - 1)
        choice = KeeperChoice(ip_of(1), members, lambda: False, is_enabled=True)
        assert choice.find(SERVICE) is None
        off = KeeperChoice(
            ip_of(1), make_membership(1), lambda: False, is_enabled=False
        )
        assert off.find(SERVICE) is None
        lone = LoneKeeper()
        clock.tick(START_HOLD_S + 0.1)
        bad = make_request()._replace(weight=0.0, leave_in_s=float("nan"))
        lone.node.keeper.receive(bad, ip_of(2))
        assert lone.replies == []
