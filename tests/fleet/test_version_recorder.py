"""Tests of the store's records of software versions."""

import asyncio
import time

import cbor2
import pytest

from savorylift.backends.server import ServerEntry
from savorylift.fleet.record_codec import decode_record, encode_record
from savorylift.fleet.state import UNKNOWN_VERSION
from savorylift.fleet.version_history import RETENTION_S, VersionHistory
from savorylift.fleet.version_recorder import (
    CHECK_INTERVAL_S,
    MAX_HEARING_S,
    RETRY_INTERVAL_S,
    START_DELAY_S,
    STARTS_INTERVAL_S,
    VersionRecord,
    VersionRecorder,
)
from savorylift.platform.store import VERSIONS_TOPIC, StoreClient
from savorylift.platform.store_record import Record
from tests.exchange.factories import make_server_entry
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore
from tests.wire.loopback import run_with_timeout

V1 = make_server_entry("i-1")._replace(software_version="v1")
V2 = make_server_entry("i-2")._replace(software_version="v2")
V3 = make_server_entry("i-3")._replace(software_version="v3")


class Fleet:
    """A store, and nodes that keep their records there."""

    def __init__(self) -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        self.store = PlatformStore()
        self.client = StoreClient(("127.0.0.1", port))
        self._tasks: list[asyncio.Task[None]] = []
        self.is_writer = True
        self.services = {"s", "s" * 256}

    async def start_node(self, *entries: ServerEntry) -> VersionHistory:
        """Starts a node that sees these servers."""
        if not self.store.port:
            await self.store.start(int(self.client._address[1]))
        history = VersionHistory()
        history.observe(entries, 0.0)
        recorder = VersionRecorder(
            self.client,
            history,
            lambda name: name in self.services,
            lambda: self.is_writer,
            lambda: self.store.era,
        )
        self._tasks.append(asyncio.ensure_future(recorder.run()))
        return history

    def kill_nodes(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def read_versions(self) -> set[str]:
        """Returns the versions of service `s` in the store."""
        listed = await self.client.list_newest(VERSIONS_TOPIC)
        records = {r.key: r.value for r in listed.unwrap().records}
        found = decode_record(records["s"] or b"", VersionRecord)
        return set(found.unwrap().versions)

    @property
    def appends(self) -> int:
        return self.store.called_paths.count("/log-append")


async def wait_until_written(fleet: Fleet, appends: int) -> None:
    async with asyncio.timeout(START_DELAY_S + 2.0):
        while fleet.appends < appends:
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.05)


def test_node_that_starts_alone_knows_which_version_served_before() -> None:
    """Nodes that were all killed took the only version left for the first."""

    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start_node(V1)
        await wait_until_written(fleet, 1)
        fleet.kill_nodes()
        history = await fleet.start_node(V2)
        await asyncio.sleep(0.2)
        assert history.is_complete
        assert history.only_version("s") is None

    run_with_timeout(scenario())


def test_a_change_is_written_once_and_again_when_a_version_is_forgotten() -> (
    None
):
    async def scenario() -> None:
        fleet = Fleet()
        history = await fleet.start_node(V1)
        await wait_until_written(fleet, 1)
        history.observe([V1, V2], 1.0)
        await wait_until_written(fleet, 2)
        history.observe([V2], 2.0)
        await asyncio.sleep(0.5)
        assert fleet.appends == 2
        history.observe([V2], 2.0 + RETENTION_S)
        await wait_until_written(fleet, 3)
        fleet.kill_nodes()
        later = await fleet.start_node(V2)
        await asyncio.sleep(0.2)
        assert later.only_version("s") == "v2"

    run_with_timeout(scenario())


def test_nothing_is_known_while_the_store_is_away() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        fleet.store.status = 503
        history = await fleet.start_node(V2)
        await asyncio.sleep(START_DELAY_S + 0.5)
        assert not history.is_complete
        assert len(fleet.store.called_paths) <= 1 + START_DELAY_S + 1
        fleet.store.status = None
        await asyncio.sleep(RETRY_INTERVAL_S + 0.3)
        assert history.is_complete

    run_with_timeout(scenario())


def test_store_that_comes_back_from_a_copy_gets_the_versions_again() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start_node(V1)
        copy = fleet.store.copy()
        await wait_until_written(fleet, 1)
        fleet.store.restore(copy)
        await wait_until_written(fleet, 2)
        fleet.kill_nodes()
        history = await fleet.start_node(V2)
        await asyncio.sleep(0.2)
        assert history.only_version("s") is None

    run_with_timeout(scenario())


def test_service_name_that_makes_no_key_is_left_out() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start_node(V1, V2._replace(service="s" * 256))
        await wait_until_written(fleet, 1)
        listed = await fleet.client.list_newest(VERSIONS_TOPIC)
        assert [record.key for record in listed.unwrap().records] == ["s"]

    run_with_timeout(scenario())


def test_the_records_do_not_grow_with_the_names_of_services() -> None:
    """Each name that an entry ever had would have left a key for ever."""

    async def scenario() -> None:
        fleet = Fleet()
        history = await fleet.start_node(V1, V2._replace(service="stray"))
        await wait_until_written(fleet, 1)
        listed = await fleet.client.list_newest(VERSIONS_TOPIC)
        assert [record.key for record in listed.unwrap().records] == ["s"]
        history.observe([], 1.0)
        history.observe([], 1.0 + RETENTION_S)
        await wait_until_written(fleet, 2)
        listed = await fleet.client.list_newest(VERSIONS_TOPIC)
        assert listed.unwrap().records == ()

    run_with_timeout(scenario())


def test_only_the_writer_writes() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        fleet.is_writer = False
        await fleet.start_node(V1)
        await asyncio.sleep(START_DELAY_S + 0.5)
        assert fleet.appends == 0

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("value", "is_read"),
    [
        pytest.param(cbor2.dumps([["v1"]]), True, id="earlier build"),
        pytest.param(
            cbor2.dumps([["v1"], [["i-1", 1]]]), True, id="this build"
        ),
        pytest.param(
            cbor2.dumps([["v1"], [["i-1", 1, "new"]], "new"]),
            True,
            id="later build",
        ),
        pytest.param(cbor2.dumps([["v1"], "x"]), False, id="other field"),
        pytest.param(cbor2.dumps("v1"), False, id="other type"),
        pytest.param(b"\xff", False, id="no record"),
    ],
)
def test_records_of_other_writers_are_checked(
    value: bytes, *, is_read: bool
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        history = await fleet.start_node(V2)
        await fleet.client.append(VERSIONS_TOPIC, [Record("s", value)])
        fleet.kill_nodes()
        history = await fleet.start_node(V2)
        await asyncio.sleep(0.2)
        assert (history.only_version("s") is None) == is_read

    run_with_timeout(scenario())


def test_fleet_that_is_lost_knows_that_a_server_has_started_again() -> None:
    """The process that served between the two entries was known to nobody."""

    async def scenario() -> None:
        fleet = Fleet()
        first = V1._replace(started_ms=1)
        await fleet.start_node(first, V2)
        await wait_until_written(fleet, 1)
        fleet.kill_nodes()
        since_s = time.monotonic()
        calm = await fleet.start_node(first, V2)
        await asyncio.sleep(0.2)
        assert not calm.has_restarted("s", since_s)
        again = await fleet.start_node(first._replace(started_ms=3), V2)
        await asyncio.sleep(0.2)
        assert again.has_restarted("s", since_s)
        await wait_until_written(fleet, 2)
        fleet.kill_nodes()
        later = await fleet.start_node(first._replace(started_ms=3), V2)
        await asyncio.sleep(0.2)
        assert later.has_restarted("s", since_s)
        assert later.known_versions() == {"s": {"v1", "v2"}}

    run_with_timeout(scenario())


def test_earlier_builds_read_a_restart_as_a_version_that_nobody_has() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        history = await fleet.start_node(V1._replace(started_ms=1))
        history.note_starts([V1._replace(started_ms=2)], time.monotonic())
        await wait_until_written(fleet, 1)
        listed = await fleet.client.list_newest(VERSIONS_TOPIC)
        value = listed.unwrap().records[0].value
        assert value is not None
        assert cbor2.loads(value) == [["\0", "v1"], [["i-1", 2]]]

    run_with_timeout(scenario())


def test_node_that_starts_leaves_the_records_to_the_writers() -> None:
    """All nodes of a fleet that was started again read them."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.is_writer = False
        history = await fleet.start_node(V1)
        await asyncio.sleep(0.3)
        # As other nodes tell it.
        history.is_complete = True
        await asyncio.sleep(START_DELAY_S)
        assert fleet.store.called_paths == []
        fleet.is_writer = True
        await wait_until_written(fleet, 1)
        assert fleet.store.called_paths == ["/log-newest", "/log-append"]

    run_with_timeout(scenario())


def test_node_whose_peers_do_not_tell_reads_the_records_itself() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start_node(V1)
        await wait_until_written(fleet, 1)
        fleet.kill_nodes()
        fleet.is_writer = False
        history = await fleet.start_node(V2)
        await asyncio.sleep(MAX_HEARING_S + 0.3)
        assert history.only_version("s") is None
        assert history.is_complete

    run_with_timeout(scenario())


def test_node_that_becomes_a_writer_keeps_what_it_has_not_heard_of() -> None:
    """A node that had been cut off erased the version that it had missed."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.is_writer = False
        history = await fleet.start_node(V1)
        # As other nodes tell it.
        history.is_complete = True
        await asyncio.sleep(START_DELAY_S)
        record = VersionRecord(("v1", "v2", UNKNOWN_VERSION))
        value = encode_record(record)
        await fleet.client.append(VERSIONS_TOPIC, [Record("s", value)])
        fleet.is_writer = True
        await wait_until_written(fleet, 2)
        assert await fleet.read_versions() == {"v1", "v2", UNKNOWN_VERSION}
        assert history.known_versions() == {"s": {"v1", "v2"}}
        assert history.restarted_services(time.monotonic()) == {"s"}

    run_with_timeout(scenario())


def test_nothing_is_written_over_what_another_node_has_written_since() -> None:
    """A writer that had stood still knew less than the one beside it."""

    async def scenario() -> None:
        fleet = Fleet()
        late = await fleet.start_node(V1)
        await wait_until_written(fleet, 1)
        record = VersionRecord(("v1", "v2"))
        value = encode_record(record)
        await fleet.client.append(VERSIONS_TOPIC, [Record("s", value)])
        late.observe([V1, V3], 1.0)
        async with asyncio.timeout(START_DELAY_S):
            while await fleet.read_versions() != {"v1", "v2", "v3"}:
                await asyncio.sleep(0.05)
        assert late.known_versions() == {"s": {"v1", "v2", "v3"}}

    run_with_timeout(scenario())


def test_starts_of_servers_are_written_together() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        history = await fleet.start_node(V1)
        await wait_until_written(fleet, 1)
        for started_ms in range(5):
            again = V1._replace(started_ms=V1.started_ms + 1 + started_ms)
            history.observe([again], time.monotonic())
            await asyncio.sleep(CHECK_INTERVAL_S)
        # The service counts as one whose server has started again, at once.
        assert fleet.appends == 2
        await asyncio.sleep(STARTS_INTERVAL_S)
        assert fleet.appends == 3

    run_with_timeout(scenario())
