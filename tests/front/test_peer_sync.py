"""Tests of how changes spread over a fleet of nodes on slow links."""

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator

import pytest

from savorylift.fleet.membership import Membership
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.state import NodeState
from savorylift.fleet.store_records import Change
from savorylift.front.peer_sync import PeerSync
from savorylift.front.tasks import BackgroundTasks
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.exchange.factories import make_store_view
from tests.fleet.test_membership import state
from tests.harness.ports import free_addresses
from tests.harness.virtual_time import run_in_virtual_time

NODES = 81
LINK_BYTES_PER_S = 5_000_000 / 8
# A change must be in force on every node within this time.
APPLY_S = 3.0
CHANGES = 8
CHANGE_INTERVAL_S = 0.3


class Node:
    """A node without a store, which counts what it sends to the others."""

    def __init__(self, ip: str, port: int, ips: list[str]) -> None:
        self.ip = ip
        self.bytes_sent = 0
        self.view = make_store_view()
        self._sequence = 0
        self._membership = Membership(ip, ips)
        self._port = port
        self._listener: Listener | None = None
        self.sync = PeerSync(
            ip,
            port,
            self._membership,
            self.view,
            self._make_state,
            BackgroundTasks(),
            MessageAuthenticator(),
            lambda: False,
            on_update=lambda: None,
            on_state=lambda _: None,
        )

    async def start(self) -> None:
        await self.sync.transport.start(self.ip)
        transport = self.sync.transport
        send_all = transport._send_all

        def count_and_send(data: bytes, ips: tuple[str, ...]) -> None:
            self.bytes_sent += len(data) * len(ips)
            send_all(data, ips)

        transport._send_all = count_and_send  # type: ignore[method-assign]
        handler = connection_handler(self._handle)
        self._listener = Listener(handler, InputLimits)
        await self._listener.start(self.ip, self._port)

    def stop(self) -> None:
        assert self._listener is not None
        self._listener.close()
        assert self.sync.transport._transport is not None
        self.sync.transport._transport.close()

    async def _handle(self, req: Request) -> Response:
        response = await self.sync.snapshot_server.handle(req)
        self.bytes_sent += len(response.body)
        return response

    def _make_state(self, *, include_peers: bool) -> NodeState:
        self._sequence += 1
        return state()._replace(
            node=self.ip,
            ip=self.ip,
            failure_domain="z",
            caller_address=f"{self.ip}:1",
            sequence=self._sequence,
            operators_version=self.view.operators_version,
            servers_version=self.view.servers_version,
            interval_s=30.0,
        )


@contextlib.asynccontextmanager
async def running_fleet(count: int) -> AsyncIterator[list[Node]]:
    """Runs nodes that have heard each other and send no more by themselves."""
    (address,) = free_addresses(1)
    port = int(address.partition(":")[2])
    ips = [f"127.3.0.{number + 1}" for number in range(count)]
    nodes = [Node(ip, port, ips) for ip in ips]
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            node.sync.transport.send(include_silent=True)
            await asyncio.sleep(0)
        await asyncio.sleep(0.3)
        yield nodes
    finally:
        for node in nodes:
            node.stop()


def make_value(version: int, routes: int, keys: int) -> bytes:
    """Returns a configuration as large as those of the users' deployments."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{number:06x}",
                    "host": f"h{number}.example",
                    "pathPrefix": f"/{number * 7919:x}/",
                    "kind": "safe",
                    "timeoutMs": 2000,
                    "service": f"s{number % 3}",
                }
                for number in range(routes)
            ],
            "services": [{"name": f"s{number}"} for number in range(3)],
            "tenants": [
                {
                    "name": f"t{number}",
                    "apiKeys": [
                        f"{hash((number, key)):x}" for key in range(keys)
                    ],
                }
                for number in range(24)
            ],
        }
    ).encode()


def read_from_store(node: Node, value: bytes, offset: int) -> None:
    """Lets a node find a new record in the store, and announce it."""
    changes = (Change("config", value),)
    delta = node.view.make_operators_delta(changes, offset)
    node.view.apply_operator_records(changes, offset)
    node.sync.announce(delta)


def has_version(node: Node, version: int) -> bool:
    cfg = node.view.configuration
    return cfg is not None and cfg.version >= version


async def wait_for_version(nodes: list[Node], version: int) -> float:
    """Returns how long it took until all nodes had a version."""
    started_s = time.monotonic()
    async with asyncio.timeout(30.0):
        while not all(has_version(node, version) for node in nodes):
            await asyncio.sleep(0.01)
    return time.monotonic() - started_s


@pytest.mark.parametrize("routes", [60, 300])
def test_no_link_carries_a_series_of_changes_to_the_whole_fleet(
    routes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_fleet(NODES) as nodes:
            read_from_store(nodes[0], make_value(1, routes, 8), 1)
            await wait_for_version(nodes, 1)
            for node in nodes:
                node.bytes_sent = 0
            for change in range(CHANGES):
                for reader in nodes[:2]:
                    value = make_value(2 + change, routes, 7 - change % 7)
                    read_from_store(reader, value, 2 + change)
                await asyncio.sleep(CHANGE_INTERVAL_S)
            assert await wait_for_version(nodes, 1 + CHANGES) < APPLY_S
            series_s = CHANGES * CHANGE_INTERVAL_S
            sent_s = [node.bytes_sent / LINK_BYTES_PER_S for node in nodes]
            assert max(sent_s) < series_s

    run_in_virtual_time(monkeypatch, scenario)


def test_snapshots_reach_the_whole_fleet_without_filling_a_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_fleet(NODES) as nodes:
            changes = (Change("config", make_value(1, 300, 8)),)
            nodes[0].view.apply_operator_records(changes, 1)
            for node in nodes:
                node.bytes_sent = 0
            nodes[0].sync.announce(None)
            took_s = await wait_for_version(nodes, 1)
            assert took_s < APPLY_S
            sent_s = [node.bytes_sent / LINK_BYTES_PER_S for node in nodes]
            assert max(sent_s) < took_s

    run_in_virtual_time(monkeypatch, scenario)


def test_node_that_missed_a_change_catches_up_after_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_fleet(3) as nodes:
            read_from_store(nodes[0], make_value(1, 20, 2), 1)
            await wait_for_version(nodes, 1)
            missed = (Change("config", make_value(2, 20, 2)),)
            nodes[0].view.apply_operator_records(missed, 2)
            read_from_store(nodes[0], make_value(3, 20, 2), 3)
            assert await wait_for_version(nodes, 3) < 1.0

    run_in_virtual_time(monkeypatch, scenario)
