"""Tests of nodes that reach no server while others do."""

import asyncio
import statistics
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from savorylift.front.node import FrontNode
from tests.front.cut_links import Cut, CutLinks, current_node
from tests.front.node_fleet import Ending, NodeFleet
from tests.harness.ports import free_addresses

# Nodes are judged from this time after they were cut off.
REACTION_S = 3.0
JUDGED_S = 3.0
PER_S = 24.0
# First tries at nodes that are cut off must be served this often, compared
# with the others.
MIN_SERVED_RATIO = 2 / 3
# Standstills last longer than a node is silent until it counts as dead.
STANDSTILLS = 6
STANDSTILL_S = 1.3
RUNNING_S = 0.3
PATHS = ["/safe/x", "/once/x", "/stream/x", "/resumable/x"]


class CutFleet(NodeFleet):
    """Nodes whose links to the servers can be cut.

    Attributes:
        links: The cut links.
    """

    def __init__(self, nodes: int, links: CutLinks) -> None:
        super().__init__(nodes, 3)
        self.links = links
        self._nodes: dict[str, FrontNode] = {}

    def _make_node(self, ip: str) -> FrontNode:
        node = super()._make_node(ip)
        run = node.run

        async def run_as_node() -> None:
            current_node.set(ip)
            await run()

        node.run = run_as_node  # type: ignore[method-assign, assignment]
        self._nodes[ip] = node
        return node

    def unreached(self) -> set[tuple[str, str]]:
        """Returns the services that each node says it doesn't reach."""
        return {
            (ip, service)
            for ip, node in self._nodes.items()
            for service in node._reach.cut_off
        }

    def cut_from_servers(
        self, nodes: int, how: Cut, service: str | None = None
    ) -> None:
        """Cuts the first nodes off from the servers, or those of a service."""
        servers = {"app": self.app, "pool": self.pool}
        chosen = [servers[service]] if service else [self.app, self.pool]
        ports = [server.port for group in chosen for server in group]
        for ip in self.ips[:nodes]:
            self.links.cut(ip, how, iter(ports))

    async def call_each(self, path: str, duration_s: float) -> None:
        """Sends requests to all nodes in turn."""
        until_s = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < until_s:
            ip = self.ips[number % len(self.ips)]
            self.start_call(ip, path, body=f"{ip} {number}".encode())
            number += 1
            await asyncio.sleep(1 / PER_S)

    def endings_at(self, nodes: list[str], since_s: float) -> list[Ending]:
        return [
            ending
            for ending in self.endings_since(since_s)
            if ending.body.decode().split()[0] in nodes
        ]


def served(endings: list[Ending]) -> float:
    return sum(e.status == 200 for e in endings) / max(len(endings), 1)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("cut", [2, 5])
def test_callers_of_nodes_cut_off_from_all_servers_are_served(
    monkeypatch: pytest.MonkeyPatch, cut: int, how: Cut, path: str
) -> None:
    async def scenario(fleet: CutFleet) -> None:
        fleet.cut_from_servers(cut, how)
        cut_s = time.monotonic()
        await fleet.call_each(path, REACTION_S + JUDGED_S)
        await asyncio.sleep(0.5)
        since_s = cut_s + REACTION_S
        at_cut = fleet.endings_at(fleet.ips[:cut], since_s)
        at_others = fleet.endings_at(fleet.ips[cut:], since_s)
        assert len(at_cut) >= 10
        assert served(at_cut) >= MIN_SERVED_RATIO * served(at_others)
        # Streams that hang hold memory at the servers for a while.
        assert served(at_others) >= MIN_SERVED_RATIO
        assert sum(e.status != 200 for e in at_cut) <= 10 + len(at_cut) / 50
        runs = [run for s in (*fleet.app, *fleet.pool) for run in s.runs]
        if path in {"/once/x", "/stream/x"}:
            assert len(set(runs)) == len(runs)

    run_in_fleet(monkeypatch, 6, scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_callers_of_nodes_cut_off_are_served_after_standstills(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Nodes took all others for dead, and handed requests to none."""

    async def scenario(fleet: CutFleet) -> None:
        fleet.cut_from_servers(5, Cut.REFUSED)
        await fleet.call_each(path, REACTION_S)
        since_s = time.monotonic()
        for _ in range(STANDSTILLS):
            await fleet.call_each(path, RUNNING_S)
            time.sleep(STANDSTILL_S)
        await fleet.call_each(path, RUNNING_S)
        await asyncio.sleep(0.5)
        at_cut = fleet.endings_at(fleet.ips[:5], since_s)
        assert len(at_cut) >= 20
        assert served(at_cut) >= MIN_SERVED_RATIO
        assert sum(e.status != 200 for e in at_cut) <= 10 + len(at_cut) / 50

    run_in_fleet(monkeypatch, 6, scenario)


def test_requests_are_handed_over_without_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: CutFleet) -> None:
        fleet.cut_from_servers(2, Cut.SILENT)
        cut_s = time.monotonic()
        await fleet.call_each("/safe/x", REACTION_S + JUDGED_S)
        await asyncio.sleep(0.5)
        at_cut = fleet.endings_at(fleet.ips[:2], cut_s + REACTION_S)
        assert statistics.median(e.took_s for e in at_cut) < 0.15

    run_in_fleet(monkeypatch, 6, scenario)


def test_node_cut_off_from_one_service_serves_the_other_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: CutFleet) -> None:
        fleet.cut_from_servers(1, Cut.SILENT, "pool")
        await asyncio.gather(
            fleet.call_each("/resumable/x", REACTION_S),
            fleet.call_each("/safe/x", REACTION_S),
        )
        since_s = time.monotonic()
        await asyncio.gather(
            fleet.call_each("/resumable/x", JUDGED_S),
            fleet.call_each("/safe/x", JUDGED_S),
        )
        await asyncio.sleep(0.5)
        assert served(fleet.endings_at(fleet.ips[:1], since_s)) > 0.9
        assert fleet.unreached() == {(fleet.ips[0], "pool")}

    run_in_fleet(monkeypatch, 3, scenario)


def test_node_serves_by_itself_again_after_the_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: CutFleet) -> None:
        fleet.cut_from_servers(2, Cut.SILENT)
        await fleet.call_each("/safe/x", REACTION_S)
        fleet.links.heal()
        await asyncio.sleep(2.0)
        since_s = time.monotonic()
        await fleet.call_each("/safe/x", 2.0)
        await asyncio.sleep(0.3)
        endings = fleet.endings_since(since_s)
        assert served(endings) == 1.0
        assert statistics.median(e.took_s for e in endings) < 0.1
        assert fleet.unreached() == set()

    run_in_fleet(monkeypatch, 6, scenario)


def test_servers_that_nobody_reaches_are_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: CutFleet) -> None:
        fleet.cut_from_servers(3, Cut.REFUSED)
        await fleet.call_each("/once/x", REACTION_S)
        since_s = time.monotonic()
        await fleet.call_each("/once/x", 2.0)
        await asyncio.sleep(0.3)
        endings = fleet.endings_since(since_s)
        assert {e.status for e in endings} == {503}
        assert all(e.retry_after_s for e in endings)
        assert statistics.median(e.took_s for e in endings) < 0.2

    run_in_fleet(monkeypatch, 3, scenario)


def test_servers_silent_for_a_second_are_no_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: CutFleet) -> None:
        await fleet.call_each("/once/x", 0.5)
        for server in fleet.app:
            server.delay_s = 1.0
        since_s = time.monotonic()
        await fleet.call_each("/once/x", 1.0)
        for server in fleet.app:
            server.delay_s = 0.03
        await fleet.call_each("/once/x", 1.0)
        await asyncio.sleep(1.2)
        assert served(fleet.endings_since(since_s)) > 0.9
        assert fleet.unreached() == set()

    run_in_fleet(monkeypatch, 3, scenario)


def run_in_fleet(
    monkeypatch: pytest.MonkeyPatch,
    nodes: int,
    scenario: Callable[[CutFleet], Coroutine[Any, Any, None]],
) -> None:
    """Runs a scenario with three servers of each service."""

    async def main() -> None:
        links = CutLinks(monkeypatch)
        fleet = CutFleet(nodes, links)
        ports = [int(a.rpartition(":")[2]) for a in free_addresses(2)]
        await links.start(*ports)
        async with fleet.running():
            await scenario(fleet)

    asyncio.run(main())
