"""Tests of nodes whose ports are held by others when they start."""

import asyncio
import pathlib
import socket
import time

import pytest

from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS_TOPIC
from tests.front.environment import configuration
from tests.front.process_fleet import ProcessFleet
from tests.harness.ports import free_addresses

HELD_S = 1.0
START_S = 5.0
# From the moment at which the port is free until the node uses it.
MAX_OPENING_S = 1.0
POLL_S = 0.02
# By then a node that hears nobody has found the others in the store.
REGISTERED_S = 4.0
COLD_PER_S = 20
# With the platform's tolerance: one and a half times the rate, and 5.
MOST_COLD = 35

pytestmark = pytest.mark.processes


def ports(settings: FrontSettings) -> dict[str, int]:
    """Returns the ports on which a node accepts connections."""
    return {
        "callers": _port(settings.caller_listen),
        "directory": _port(settings.directory_listen),
        "readiness": _port(settings.readiness_listen),
        "nodes": settings.peer_port,
        "metrics": settings.metrics_port,
    }


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def hold(ip: str, port: int, kind: socket.SocketKind) -> socket.socket:
    """Takes a port, as an outgoing connection does that the kernel gave it."""
    holder = socket.socket(type=kind)
    if kind is socket.SOCK_STREAM:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((ip, port))
    if kind is socket.SOCK_STREAM:
        holder.listen()
    return holder


def accepts(ip: str, port: int) -> bool:
    try:
        socket.create_connection((ip, port), timeout=1.0).close()
    except OSError:
        return False
    return True


async def wait_until_accepting(ip: str, port: int, until_s: float) -> None:
    while not accepts(ip, port):
        assert time.monotonic() < until_s
        await asyncio.sleep(POLL_S)


class HeldPortFleet(ProcessFleet):
    """A fleet whose nodes the tests start, with bulk ports.

    Attributes:
        holders: Sockets that hold ports until the end.
    """

    def __init__(self, nodes: int, directory: pathlib.Path) -> None:
        super().__init__(nodes, 1, directory)
        (bulk,) = free_addresses(1, self.ips)
        self._bulk_port = _port(bulk)
        self.holders: list[socket.socket] = []

    def settings(self, ip: str) -> FrontSettings:
        """Returns the settings of a node."""
        return super()._settings(ip)._replace(bulk_port=self._bulk_port)

    def publish_configuration(self, cfg: dict[str, object]) -> None:
        """Writes a configuration to the store."""
        self._store.add(OPERATORS_TOPIC, "config", cfg)

    def log(self, ip: str) -> str:
        """Returns what a node has logged."""
        return self.processes[ip].log_path.read_text()

    async def wait_until_ready(self, ip: str, until_s: float) -> None:
        """Waits until a node says that it is ready."""
        while not await self._is_ready(ip):
            assert time.monotonic() < until_s
            await asyncio.sleep(POLL_S)

    def _settings(self, ip: str) -> FrontSettings:
        return self.settings(ip)

    async def _start_nodes(self) -> None:
        """Leaves it to the tests."""

    def _stop_nodes(self) -> None:
        super()._stop_nodes()
        for holder in self.holders:
            holder.close()


@pytest.mark.parametrize(
    "name", ["callers", "directory", "readiness", "nodes", "metrics"]
)
def test_node_whose_port_is_held_opens_it_later(
    name: str, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> None:
        fleet = HeldPortFleet(1, tmp_path)
        ip = fleet.ips[0]
        own = ports(fleet.settings(ip))
        async with fleet.running():
            holder = hold(ip, own[name], socket.SOCK_STREAM)
            fleet.start_node(ip)
            until_s = time.monotonic() + START_S
            for other in own.keys() - {name}:
                await wait_until_accepting(ip, own[other], until_s)
            await asyncio.sleep(HELD_S)
            holder.close()
            until_s = time.monotonic() + MAX_OPENING_S
            await wait_until_accepting(ip, own[name], until_s)
            assert fleet.processes[ip].is_running

    asyncio.run(scenario())


def test_node_whose_callers_cannot_connect_is_not_ready(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        fleet = HeldPortFleet(1, tmp_path)
        ip = fleet.ips[0]
        own = ports(fleet.settings(ip))
        async with fleet.running():
            holder = hold(ip, own["callers"], socket.SOCK_STREAM)
            fleet.start_node(ip)
            until_s = time.monotonic() + START_S
            await wait_until_accepting(ip, own["readiness"], until_s)
            await asyncio.sleep(HELD_S)
            assert not await fleet._is_ready(ip)
            holder.close()
            await fleet.wait_until_ready(ip, time.monotonic() + MAX_OPENING_S)

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ["peer_port", "bulk_port"])
def test_node_whose_message_port_is_held_is_ready_and_opens_it_later(
    name: str, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> None:
        fleet = HeldPortFleet(1, tmp_path)
        ip = fleet.ips[0]
        async with fleet.running():
            port = getattr(fleet.settings(ip), name)
            holder = hold(ip, port, socket.SOCK_DGRAM)
            fleet.start_node(ip)
            await fleet.wait_until_ready(ip, time.monotonic() + START_S)
            await asyncio.sleep(HELD_S)
            holder.close()
            until_s = time.monotonic() + MAX_OPENING_S
            while "address_opened" not in fleet.log(ip):
                assert time.monotonic() < until_s
                await asyncio.sleep(POLL_S)
            assert fleet.processes[ip].is_running

    asyncio.run(scenario())


def test_nodes_that_return_while_their_ports_are_held_serve_later(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        fleet = HeldPortFleet(3, tmp_path)
        async with fleet.running():
            holders = [
                hold(ip, port, socket.SOCK_STREAM)
                for ip in fleet.ips
                for port in ports(fleet.settings(ip)).values()
            ]
            for ip in fleet.ips:
                fleet.start_node(ip)
            await asyncio.sleep(HELD_S)
            for holder in holders:
                holder.close()
            until_s = time.monotonic() + MAX_OPENING_S
            for ip in fleet.ips:
                await fleet.wait_until_ready(ip, until_s)
            endings = [
                await fleet.call(ip, "/once/x", f"a-{ip}") for ip in fleet.ips
            ]
            assert [e.status for e in endings] == [200] * len(fleet.ips)

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ["metrics", "directory", "readiness", "nodes"])
def test_nodes_that_return_serve_while_a_port_that_no_caller_needs_stays_held(
    name: str, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> None:
        fleet = HeldPortFleet(3, tmp_path)
        async with fleet.running():
            for ip in fleet.ips:
                fleet.start_node(ip)
            until_s = time.monotonic() + START_S
            for ip in fleet.ips:
                await fleet.wait_until_ready(ip, until_s)
            for process in fleet.processes.values():
                process.kill()
            port = ports(fleet.settings(fleet.ips[0]))[name]
            for ip in fleet.ips:
                holder = hold(ip, port, socket.SOCK_STREAM)
                fleet.holders.append(holder)
                fleet.start_node(ip)
            await asyncio.sleep(HELD_S)
            endings = [
                await fleet.call(ip, "/once/x", f"a-{ip}") for ip in fleet.ips
            ]
            assert [e.status for e in endings] == [200] * len(fleet.ips)

    asyncio.run(scenario())


@pytest.mark.parametrize("deaf", [1, 4])
def test_nodes_that_hear_nobody_take_no_more_than_their_share_of_limits(
    deaf: int, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> None:
        fleet = HeldPortFleet(4, tmp_path)
        async with fleet.running():
            cfg = configuration(2)
            services = cfg["services"]
            assert isinstance(services, list)
            services[0]["coldPerS"] = COLD_PER_S
            fleet.publish_configuration(cfg)
            port = fleet.settings(fleet.ips[0]).peer_port
            for ip in fleet.ips[:deaf]:
                fleet.holders.append(hold(ip, port, socket.SOCK_DGRAM))
            for ip in fleet.ips:
                fleet.start_node(ip)
            until_s = time.monotonic() + START_S
            for ip in fleet.ips:
                await fleet.wait_until_ready(ip, until_s)
            await asyncio.sleep(REGISTERED_S)
            cold = fleet.app[0]
            fleet.publish_entry(cold, "app", cold_ms=20_000.0)
            await asyncio.sleep(HELD_S)
            cold.arrivals.clear()
            await fleet.call_for("/safe/x", 3.0, per_s=100.0)
            assert 0 < most_in_a_second(cold.arrivals) <= MOST_COLD

    asyncio.run(scenario())


def most_in_a_second(times_s: list[float]) -> int:
    return max(
        (sum(t <= u < t + 1.0 for u in times_s) for t in times_s), default=0
    )
