"""Tests of roll-outs over a fleet of nodes, with a store and servers."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS_TOPIC, STATUS_TOPIC
from tests.front.node_fleet import NodeFleet
from tests.standins.platform_server import PlatformServer

NODES = 3
SERVERS = 4
SHARE, SLACK = 0.1, 20.0
DURATION_S = 8.0
AFTER_S = 2.0
PER_S = 60.0
PATH = "/once/x"
KEY = "rollout/app"
POLL_S = 0.1


class RolloutFleet(NodeFleet):
    """Two plain servers of an old version, and two of a new one to come."""

    def __init__(self) -> None:
        super().__init__(NODES, SERVERS)
        self._set_up_servers()

    def _set_up_servers(self) -> None:
        self.old, self.new = self.app[:2], self.app[2:]
        self._has_new = False
        for server in self.old:
            server.software_version = "v1"
        for server in self.new:
            server.software_version = "v2"

    def _settings(self, ip: str) -> FrontSettings:
        return (
            super()
            ._settings(ip)
            ._replace(rollout_share=SHARE, rollout_slack=SLACK)
        )

    def publish_entry(
        self,
        server: PlatformServer,
        service: str,
        state: str = "ready",
        cold_ms: float = 0.0,
    ) -> None:
        if self._has_new or server not in self.new:
            super().publish_entry(server, service, state, cold_ms)

    def order(self, duration_s: float = DURATION_S) -> None:
        """Writes an order, and starts the servers of the new version."""
        self._store.add(
            OPERATORS_TOPIC,
            KEY,
            {"service": "app", "to": "v2", "durationS": duration_s},
        )
        self._has_new = True
        for server in self.new:
            self.publish_entry(server, "app")

    @property
    def state(self) -> str | None:
        """What the status says now."""
        newest = self._store.topic(STATUS_TOPIC).newest_by_key.get(KEY)
        return None if newest is None else json.loads(newest[1])["state"]

    async def stop_old_when_completed(self) -> None:
        """Does what operators do once a roll-out is completed."""
        while self.state != "completed":
            await asyncio.sleep(POLL_S)
        for server in self.old:
            self.remove_entry(server)

    @property
    def exposed(self) -> int:
        """Number of requests that the new version got."""
        return sum(len(server.runs) for server in self.new)


def run(scenario: Callable[[RolloutFleet], Awaitable[None]]) -> None:
    async def play() -> None:
        fleet = RolloutFleet()
        async with fleet.running():
            await scenario(fleet)

    asyncio.run(play())


async def play_order(fleet: RolloutFleet) -> None:
    """Orders a roll-out under load, and waits until it is over."""
    stopping = asyncio.ensure_future(fleet.stop_old_when_completed())
    fleet.order()
    await fleet.call_for(PATH, DURATION_S + AFTER_S, PER_S)
    stopping.cancel()
    await asyncio.sleep(1.0)


def test_a_good_version_takes_over_in_time() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        await play_order(fleet)
        assert fleet.state == "completed"
        statuses = [ending.status for ending in fleet.endings]
        assert statuses.count(200) == len(statuses)

    run(scenario)


@pytest.mark.parametrize("fault", ["failures", "slow"])
def test_a_bad_version_is_rolled_back(fault: str) -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        for server in fleet.new:
            if fault == "failures":
                server.status = 500
            else:
                server.delay_s = 0.5
        await play_order(fleet)
        assert fleet.state == "rolled_back"
        assert fleet.exposed <= SHARE * PER_S * DURATION_S + SLACK

    run(scenario)
