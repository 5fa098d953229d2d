"""Tests of the origins of streams that lie in the store."""

import asyncio
import random
import time

from savorylift.backends.server import ServerEntry
from savorylift.exchange.origin_log import READ_INTERVAL_S, OriginLog
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.state import UNKNOWN_VERSION, StreamOrigin
from savorylift.fleet.version_history import VersionHistory
from savorylift.platform.store import ORIGINS_TOPIC, StoreClient
from savorylift.platform.store_record import Record
from tests.exchange.factories import make_server_entry
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore
from tests.wire.loopback import run_with_timeout

V1 = make_server_entry("i-1")._replace(software_version="v1")
V2 = make_server_entry("i-2")._replace(software_version="v2")


class Fleet:
    """A store, and nodes that don't hear each other."""

    def __init__(self) -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        self.store = PlatformStore()
        self.client = StoreClient(("127.0.0.1", port))
        self.history = VersionHistory()
        self.nodes = 1

    async def start(self, *entries: ServerEntry) -> None:
        await self.store.start(self.client._address[1])
        self.history.observe(entries, time.monotonic())

    def make_node(self, name: str) -> tuple[StreamOrigins, OriginLog]:
        origins = StreamOrigins(name, lambda *_: None, random.Random(1))
        log = OriginLog(
            name,
            self.client,
            origins,
            self.history,
            lambda: self.nodes,
            lambda: self.store.era,
        )
        return origins, log

    @property
    def appends(self) -> int:
        return self.store.called_paths.count("/log-append")

    @property
    def reads(self) -> int:
        return self.store.called_paths.count("/log-read")


def origin(number: int, version: str = "v1") -> StreamOrigin:
    return StreamOrigin(f"a{number}", "s", version, 40.0)


async def found_version(log: OriginLog, attempt_id: str) -> str | None:
    found = await log.find(attempt_id)
    return None if found is None else found.software_version


def test_another_node_finds_where_streams_began() -> None:
    """Nodes that were all killed refused the streams that had begun."""

    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        origins, log = fleet.make_node("vm-1")
        for number in range(3):
            origins.record(origin(number, "v1" if number else "v2"))
        assert await log.save()
        _, later = fleet.make_node("vm-1")
        versions = [await found_version(later, f"a{n}") for n in range(4)]
        assert versions == ["v2", "v1", "v1", None]
        assert fleet.appends == 1

    run_with_timeout(scenario())


def test_nothing_is_written_while_one_version_serves() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1)
        origins, log = fleet.make_node("vm-1")
        origins.record(origin(1))
        await log.save()
        assert fleet.appends == 0
        fleet.history.observe([V1, V2], time.monotonic())
        await log.save()
        _, later = fleet.make_node("vm-2")
        assert await found_version(later, "a1") == "v1"

    run_with_timeout(scenario())


def test_each_stream_is_written_once_unless_it_is_complete() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        origins, log = fleet.make_node("vm-1")
        origins.record(origin(1))
        origins.forget("a1")
        await log.save()
        assert fleet.appends == 0
        origins.record(origin(2))
        for _ in range(3):
            await log.save()
        assert fleet.appends == 1

    run_with_timeout(scenario())


def test_stream_is_written_once_its_version_is_known() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        origins, log = fleet.make_node("vm-1")
        origins.record(origin(1, UNKNOWN_VERSION))
        assert await log.save()
        assert fleet.appends == 0
        origins.record(origin(1, "v2"))
        assert await log.save()
        assert fleet.appends == 1

    run_with_timeout(scenario())


def test_writes_are_batched_and_rarer_in_a_large_fleet() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        fleet.nodes = 40
        await fleet.start(V1, V2)
        origins, log = fleet.make_node("vm-1")
        task = asyncio.ensure_future(log.run())
        for number in range(60):
            origins.record(origin(number))
            await asyncio.sleep(0.05)
        assert 2 <= fleet.appends <= 3
        task.cancel()

    run_with_timeout(scenario())


def test_store_that_comes_back_from_a_copy_gets_the_origins_again() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        origins, log = fleet.make_node("vm-1")
        origins.record(origin(1))
        _, reader = fleet.make_node("vm-2")
        assert await found_version(reader, "a2") is None
        copy = fleet.store.copy()
        await log.save()
        fleet.store.restore(copy)
        await log.save()
        await asyncio.sleep(READ_INTERVAL_S)
        assert await found_version(reader, "a1") == "v1"

    run_with_timeout(scenario())


def test_requests_for_unknown_streams_cost_few_readings() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        _, log = fleet.make_node("vm-1")
        found = await asyncio.gather(*(log.find(f"x{n}") for n in range(50)))
        assert found == [None] * 50
        assert fleet.reads == 1

    run_with_timeout(scenario())


def test_silent_store_delays_nobody_for_long() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        fleet.store.is_silent = True
        _, log = fleet.make_node("vm-1")
        began_s = time.monotonic()
        assert await log.find("a1") is None
        assert time.monotonic() - began_s < 0.5

    run_with_timeout(scenario())


def test_unsound_records_are_left_out() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(V1, V2)
        for value in (b"\xff", b"\x81\x01", b""):
            await fleet.client.append(ORIGINS_TOPIC, [Record("vm-9", value)])
        origins, log = fleet.make_node("vm-1")
        origins.record(origin(1))
        await log.save()
        _, later = fleet.make_node("vm-2")
        assert await found_version(later, "a1") == "v1"

    run_with_timeout(scenario())
