"""Tests of two front nodes, one of which the store does not answer."""

import asyncio

from returns.result import Success

from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS
from savorylift.wire.client_call import fetch
from tests.front.stage import Stage, as_json, configuration, play

SECOND_IP = "127.0.0.2"
NEWS_S = 3.0


class Pair:
    """A stage, and a second node that has only the first as its source."""

    def __init__(self) -> None:
        """Starts nothing."""
        self.stage = Stage()
        first = self.stage.settings()
        self.cfg = first._replace(
            vm="vm-2",
            failure_domain="z1",
            caller_listen=self._moved(first.caller_listen),
            directory_listen=self._moved(first.directory_listen),
            readiness_listen=self._moved(first.readiness_listen),
            store="127.0.0.1:9",
            seeds=(first.caller_listen,),
        )
        self.node = FrontNode(self.cfg, self._settings)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts both nodes and waits until both are ready."""
        await self.stage.start()
        self.task = asyncio.ensure_future(self.node.run())
        await self.until_version(1)

    async def until_version(self, version: int) -> None:
        """Waits until the second node works by a configuration version."""
        async with asyncio.timeout(NEWS_S):
            while self.node.configuration_version != version:
                await asyncio.sleep(0.02)

    async def addresses(self) -> set[str]:
        """Asks the second node's directory."""
        host, _, port = self.cfg.directory_listen.rpartition(":")
        found = await fetch(
            (host, int(port)),
            "GET",
            "/resolution?name=h.example&region=r&zone=z",
            timeout_s=1.0,
            connect_s=1.0,
        )
        return set(as_json(found)["addresses"])

    async def until_addresses(self, expected: set[str]) -> None:
        """Waits until the second node's directory names just these."""
        async with asyncio.timeout(NEWS_S):
            while await self.addresses() != expected:
                await asyncio.sleep(0.05)

    def _settings(self) -> Success[FrontSettings]:
        return Success(self.cfg)

    def _moved(self, address: str) -> str:
        return f"{SECOND_IP}:{address.rpartition(':')[2]}"


def test_node_that_the_store_turns_away_follows_through_the_other() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        pair.stage.store.add(OPERATORS, "config", configuration(5))
        await pair.until_version(5)
        large = configuration(6)
        large["padding"] = "x" * 100_000
        pair.stage.store.add(OPERATORS, "config", large)
        await pair.until_version(6)

    play(scene())


def test_directory_names_the_nodes_that_are_heard() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        first = pair.stage.settings().caller_listen
        second = pair.cfg.caller_listen
        await pair.until_addresses({first, second})
        assert pair.stage.front is not None
        pair.stage.front.leave()
        await pair.until_addresses({second})

    play(scene())
