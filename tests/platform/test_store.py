"""Tests of calls to the store, against a stand-in of it."""

import pytest
from returns.pipeline import is_successful

from savorylift.platform.store import Fault, Record, StoreClient
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore
from tests.wire.pair import run


async def started() -> tuple[PlatformStore, StoreClient]:
    port = int(free_addresses(1)[0].rpartition(":")[2])
    store = PlatformStore()
    await store.start(port)
    return store, StoreClient(("127.0.0.1", port))


def test_reads_on_from_a_list() -> None:
    async def scene() -> None:
        store, client = await started()
        store.page_items = 2
        for key in ("c", "a", "b", "a"):
            store.add("t", key, key)
        listed = (await client.list_newest("t")).unwrap()
        assert listed.records == (
            Record("a", b'"a"'),
            Record("b", b'"b"'),
            Record("c", b'"c"'),
        )
        assert listed.next_offset == 4
        store.add("t", "a", None)
        read = (await client.read("t", 4, 0.5)).unwrap()
        assert read.records == (Record("a", None),)
        assert read.next_offset == 5

    run(scene())


def test_waits_for_a_record_no_longer_than_asked() -> None:
    async def scene() -> None:
        _, client = await started()
        read = (await client.read("t", 0, 0.2)).unwrap()
        assert (read.records, read.next_offset) == ((), 0)

    run(scene())


def test_append_is_read_back() -> None:
    async def scene() -> None:
        _, client = await started()
        assert (await client.append("t", [Record("k", b"v")])).unwrap() == 0
        listed = (await client.list_newest("t")).unwrap()
        assert listed.records == (Record("k", b"v"),)

    run(scene())


def test_unreadable_records_count_but_say_nothing() -> None:
    async def scene() -> None:
        store, client = await started()
        store.topic("t").records += [b"", b"\x09short", b"\x01\xffx"]
        store.add("t", "k", 1)
        read = (await client.read("t", 0, 0.2)).unwrap()
        assert read.records == (Record("k", b"1"),)
        assert read.next_offset == 4

    run(scene())


@pytest.mark.parametrize(
    ("status", "fault"),
    [(503, Fault.REFUSED), (429, Fault.REFUSED), (410, Fault.TRIMMED)],
)
def test_names_the_fault(status: int, fault: Fault) -> None:
    async def scene() -> None:
        store, client = await started()
        store.status = status
        result = await client.read("t", 0, 0.1)
        assert not is_successful(result)
        assert result.failure().fault is fault

    run(scene())


def test_silent_store_is_given_up() -> None:
    async def scene() -> None:
        store, client = await started()
        store.is_silent = True
        result = await client.list_newest("t")
        assert result.failure().fault is Fault.UNREACHABLE

    run(scene())


def test_absent_store_is_unreachable() -> None:
    async def scene() -> None:
        client = StoreClient(("127.0.0.1", 1))
        result = await client.append("t", [Record("k", b"v")])
        assert result.failure().fault is Fault.UNREACHABLE

    run(scene())
