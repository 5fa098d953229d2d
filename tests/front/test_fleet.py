"""Tests of two front nodes, one of which can't reach the store."""

import asyncio

import pytest
from returns.result import Success

from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS_TOPIC
from savorylift.wire.client_call import fetch
from tests.front.environment import (
    NodeEnvironment,
    configuration,
    decode_body,
    run_with_timeout,
)

SECOND_IP = "127.0.0.2"
UPDATE_TIMEOUT_S = 3.0


class TwoNodes:
    """An environment and a second node that learns from the first only."""

    def __init__(self) -> None:
        """Creates both nodes; `start` starts them."""
        self.env = NodeEnvironment()
        first = self.env.settings()
        self.second_cfg = first._replace(
            vm="vm-2",
            failure_domain="z1",
            caller_listen=self._on_second_ip(first.caller_listen),
            directory_listen=self._on_second_ip(first.directory_listen),
            readiness_listen=self._on_second_ip(first.readiness_listen),
            store="127.0.0.1:9",
            seeds=(first.caller_listen,),
        )
        self.second_node = FrontNode(self.second_cfg, self._settings)
        self.second_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts both nodes; waits until both have the configuration."""
        await self.env.start()
        self.second_task = asyncio.ensure_future(self.second_node.run())
        await self.wait_for_version(1)

    async def wait_for_version(self, version: int) -> None:
        """Waits until the second node uses a configuration version."""
        async with asyncio.timeout(UPDATE_TIMEOUT_S):
            while self.second_node.configuration_version != version:
                await asyncio.sleep(0.02)

    async def addresses(self) -> set[str]:
        """Returns the addresses in the second node's directory."""
        host, _, port = self.second_cfg.directory_listen.rpartition(":")
        found = await fetch(
            (host, int(port)),
            "GET",
            "/resolution?name=h.example&region=r&zone=z",
            timeout_s=1.0,
            connect_timeout_s=1.0,
        )
        return set(decode_body(found)["addresses"])

    async def wait_for_addresses(self, expected: set[str]) -> None:
        """Waits until the second node's directory lists exactly these."""
        async with asyncio.timeout(UPDATE_TIMEOUT_S):
            while await self.addresses() != expected:
                await asyncio.sleep(0.05)

    def _settings(self) -> Success[FrontSettings]:
        return Success(self.second_cfg)

    def _on_second_ip(self, address: str) -> str:
        return f"{SECOND_IP}:{address.rpartition(':')[2]}"


def test_node_without_store_learns_changes_from_its_peer() -> None:
    async def scenario() -> None:
        nodes = TwoNodes()
        await nodes.start()
        nodes.env.store.add(OPERATORS_TOPIC, "config", configuration(5))
        await nodes.wait_for_version(5)
        large = configuration(6)
        large["padding"] = "x" * 100_000
        nodes.env.store.add(OPERATORS_TOPIC, "config", large)
        await nodes.wait_for_version(6)

    run_with_timeout(scenario())


def test_directory_lists_live_nodes_that_are_not_draining() -> None:
    async def scenario() -> None:
        nodes = TwoNodes()
        await nodes.start()
        first = nodes.env.settings().caller_listen
        second = nodes.second_cfg.caller_listen
        await nodes.wait_for_addresses({first, second})
        assert nodes.env.node is not None
        nodes.env.node.leave()
        await nodes.wait_for_addresses({second})

    run_with_timeout(scenario())


@pytest.mark.parametrize("written_again", [1, 4])
def test_changes_after_the_store_came_back_from_a_copy_are_in_force(
    written_again: int,
) -> None:
    async def scenario() -> None:
        nodes = TwoNodes()
        await nodes.start()
        store = nodes.env.store
        older = store.copy()
        for version in (2, 3):
            store.add(OPERATORS_TOPIC, "config", configuration(version))
        await nodes.wait_for_version(3)
        store.restore(older)
        for version in range(4, 4 + written_again):
            store.add(OPERATORS_TOPIC, "config", configuration(version))
        await nodes.env.wait_for_version(3 + written_again)
        await nodes.wait_for_version(3 + written_again)

    run_with_timeout(scenario())


def test_servers_that_the_copy_lacks_stay_until_they_write_again() -> None:
    async def scenario() -> None:
        nodes = TwoNodes()
        older = nodes.env.store.copy()
        await nodes.start()
        config = configuration(2)
        nodes.env.store.restore(older)
        nodes.env.store.add(OPERATORS_TOPIC, "config", config)
        await nodes.env.wait_for_version(2)
        response = await nodes.env.call("/safe/x")
        assert response.status == 200

    run_with_timeout(scenario())
