"""Tests of reading from the store which software versions may count."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from savorylift.backends.server import ServerEntry
from savorylift.fleet.record_codec import encode_record
from savorylift.fleet.state import UNKNOWN_VERSION
from savorylift.fleet.stored_versions import (
    MAX_WAIT_S,
    MIN_INTERVAL_S,
    UNREADABLE,
    StoredVersions,
)
from savorylift.fleet.version_recorder import VersionRecord
from savorylift.platform.store import SERVERS_TOPIC, VERSIONS_TOPIC
from savorylift.platform.store_record import Record
from tests.exchange.factories import make_server_entry
from tests.harness.virtual_time import run_in_virtual_time
from tests.rollouts.memory_store import MemoryStore, MemoryStoreClient

CALLS_PER_READING = 2
LARGE_FLEET = 350
# A tenth of what the smallest store of a deployment may be read.
MAX_CALLS_PER_S = 200.0
BAD = b"\xff"


def decode(server_id: str, value: bytes) -> Result[ServerEntry, str]:
    """Decodes an entry that consists of its version."""
    if value == BAD:
        return Failure("bad")
    entry = make_server_entry(server_id)
    return Success(entry._replace(software_version=value.decode()))


class Fixture:
    """A store with one server of v1, and a node that reads it.

    Attributes:
        store: The store.
        client: The node's client.
        versions: What is tested.
    """

    def __init__(self, nodes: int = 3) -> None:
        self.store = MemoryStore()
        self.client = MemoryStoreClient(self.store)
        self.versions = StoredVersions(self.client, decode, lambda: nodes)
        self.join("a", b"v1")

    def join(self, server_id: str, version: bytes | None) -> None:
        """Writes the entry of a server, or removes it."""
        records = self.store.topics.setdefault(SERVERS_TOPIC, [])
        records.append(Record(server_id, version))

    def note(self, *versions: str) -> None:
        """Records the versions that may count."""
        value = encode_record(VersionRecord(versions))
        self.store.topics[VERSIONS_TOPIC] = [Record("s", value)]

    async def find(self, service: str = "s") -> set[str] | None:
        """Returns what the store says from now on."""
        found = await self.versions.find(service, time.monotonic())
        return None if found is None else set(found)


def run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[Fixture], Coroutine[Any, Any, None]],
    nodes: int = 3,
) -> None:
    """Runs a scenario in virtual time."""
    run_in_virtual_time(monkeypatch, lambda: scenario(Fixture(nodes)))


def test_versions_of_entries_and_of_records_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fixture: Fixture) -> None:
        assert await fixture.find() == {"v1"}
        fixture.join("b", b"v2")
        assert await fixture.find() == {"v1", "v2"}
        fixture.join("b", None)
        fixture.note("v1", "v2", UNKNOWN_VERSION)
        assert await fixture.find() == {"v1", "v2", UNKNOWN_VERSION}
        assert await fixture.find("other") == set()

    run(monkeypatch, scenario)


def test_unreadable_entry_names_no_server_and_unreadable_record_any_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fixture: Fixture) -> None:
        fixture.join("b", BAD)
        assert await fixture.find() == {"v1"}
        fixture.store.topics[VERSIONS_TOPIC] = [Record("s", BAD)]
        assert await fixture.find() == {"v1", *UNREADABLE.versions}

    run(monkeypatch, scenario)


def test_those_who_wait_share_a_reading_that_began_after_their_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fixture: Fixture) -> None:
        first = [asyncio.ensure_future(fixture.find()) for _ in range(5)]
        await asyncio.sleep(0.001)
        fixture.join("b", b"v2")
        later = [asyncio.ensure_future(fixture.find()) for _ in range(5)]
        await asyncio.gather(*first)
        assert await asyncio.gather(*later) == [{"v1", "v2"}] * 5
        assert fixture.store.calls == 2 * CALLS_PER_READING

    run(monkeypatch, scenario)


def test_node_that_stood_still_while_it_read_reads_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An answer may be read long after it was given."""

    async def scenario(fixture: Fixture) -> None:
        before = asyncio.ensure_future(fixture.find())
        await asyncio.sleep(0.001)
        fixture.client.held.clear()
        await asyncio.sleep(0.5)
        fixture.join("b", b"v2")
        after = asyncio.ensure_future(fixture.find())
        await asyncio.sleep(0.0)
        fixture.client.held.set()
        await before
        assert await after == {"v1", "v2"}

    run(monkeypatch, scenario)


@pytest.mark.parametrize("is_held", [False, True])
def test_nothing_is_known_while_the_store_is_away(
    *, is_held: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(fixture: Fixture) -> None:
        assert await fixture.find() == {"v1"}
        if is_held:
            fixture.client.held.clear()
        fixture.store.is_away = True
        began_s = time.monotonic()
        assert await fixture.find() is None
        limit_s = MAX_WAIT_S if is_held else 2 * MIN_INTERVAL_S
        assert time.monotonic() - began_s <= limit_s + 0.01
        ended_s = time.monotonic()
        assert await fixture.versions.find("s", began_s) is None
        assert time.monotonic() == ended_s
        fixture.store.is_away = False
        fixture.client.held.set()
        await asyncio.sleep(MIN_INTERVAL_S)
        assert await fixture.find() == {"v1"}

    run(monkeypatch, scenario)


@pytest.mark.parametrize("nodes", [3, LARGE_FLEET])
def test_readings_of_all_nodes_together_stay_few(
    nodes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Load: after a loss of many nodes, each is asked all the time."""

    async def scenario(fixture: Fixture) -> None:
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s:
            await fixture.find()
            await asyncio.sleep(0.01)
        per_s = nodes * fixture.store.calls / 20.0
        assert per_s <= MAX_CALLS_PER_S

    run(monkeypatch, scenario, nodes)
