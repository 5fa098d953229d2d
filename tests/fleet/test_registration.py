"""Tests of which nodes write their addresses to the store, and read others."""

import asyncio
import time

import pytest

from savorylift.fleet import registration
from savorylift.fleet.membership import Membership
from savorylift.fleet.registration import Registration
from savorylift.platform.store import NODES_TOPIC, StoreClient
from savorylift.platform.store_record import Record
from tests.fleet.test_membership import state
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore
from tests.wire.loopback import run_with_timeout


class Fleet:
    """A store, and nodes that hear each other in groups."""

    def __init__(self) -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        self.store = PlatformStore()
        self.client = StoreClient(("127.0.0.1", port))
        self.members: dict[int, Membership] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, *groups: tuple[int, ...]) -> None:
        """Starts nodes; the first of each group writes."""
        await self.store.start(int(self.client._address[1]))
        for group in groups:
            for number in group:
                self._start_node(number, group)

    def _start_node(self, number: int, group: tuple[int, ...]) -> None:
        own = state(number)
        members = self.members[number] = Membership(own.ip, ())
        now_s = time.monotonic()
        for other in group:
            heard = state(other)._replace(interval_s=60.0)
            members.update_peer(heard, now_s)
        node = Registration(
            self.client,
            members,
            Record(own.ip, own.caller_address.encode()),
            lambda: number == group[0],
            lambda: None,
        )
        self._tasks.append(asyncio.ensure_future(node.run()))

    @property
    def written(self) -> set[str]:
        return set(self.store.topic(NODES_TOPIC).newest_by_key)


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registration, "HEARING_S", 0.05)
    monkeypatch.setattr(registration, "SETTLING_S", 0.05)
    monkeypatch.setattr(registration, "DISCOVERY_INTERVAL_S", 0.1)


def test_fleet_that_starts_at_once_calls_the_store_for_all_nodes_once() -> None:
    """Each node called it twice, whatever their number."""

    async def scenario() -> None:
        fleet, numbers = Fleet(), tuple(range(1, 21))
        await fleet.start(numbers)
        await asyncio.sleep(0.5)
        assert fleet.written == {state(n).ip for n in numbers}
        assert len(fleet.store.called_paths) == 2

    run_with_timeout(scenario())


def test_nodes_that_hear_nobody_find_each_other_in_the_store() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start((1,), (2, 3))
        await asyncio.sleep(0.5)
        assert {state(2).ip, state(3).ip} <= set(fleet.members[1].addresses)
        assert state(1).ip in fleet.members[2].addresses

    run_with_timeout(scenario())


def test_what_the_store_refused_is_written_later() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        fleet.store.status = 503
        await fleet.start((1, 2))
        await asyncio.sleep(0.3)
        assert fleet.written == set()
        fleet.store.status = None
        await asyncio.sleep(0.3)
        assert fleet.written == {state(1).ip, state(2).ip}

    run_with_timeout(scenario())
