"""Tests of the store client against a fake store."""

import pytest
from returns.pipeline import is_successful

from savorylift.platform.store import StoreClient, StoreFault
from savorylift.platform.store_record import Record
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore
from tests.wire.loopback import run_with_timeout


async def start_store() -> tuple[PlatformStore, StoreClient]:
    port = int(free_addresses(1)[0].rpartition(":")[2])
    store = PlatformStore()
    await store.start(port)
    return store, StoreClient(("127.0.0.1", port))


def test_read_continues_after_paged_listing() -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.page_size = 2
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
        batch = (await client.read("t", 4, 0.5)).unwrap()
        assert batch.records == (Record("a", None),)
        assert batch.next_offset == 5

    run_with_timeout(scenario())


def test_read_without_records_returns_after_wait_time() -> None:
    async def scenario() -> None:
        _, client = await start_store()
        batch = (await client.read("t", 0, 0.2)).unwrap()
        assert (batch.records, batch.next_offset) == ((), 0)

    run_with_timeout(scenario())


def test_appended_record_is_listed() -> None:
    async def scenario() -> None:
        _, client = await start_store()
        assert (await client.append("t", [Record("k", b"v")])).unwrap() == 0
        listed = (await client.list_newest("t")).unwrap()
        assert listed.records == (Record("k", b"v"),)

    run_with_timeout(scenario())


def test_unreadable_records_are_skipped_but_advance_offset() -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.topic("t").records += [b"", b"\x09short", b"\x01\xffx"]
        store.add("t", "k", 1)
        batch = (await client.read("t", 0, 0.2)).unwrap()
        assert batch.records == (Record("k", b"1"),)
        assert batch.next_offset == 4

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("status", "fault"),
    [
        (503, StoreFault.REFUSED),
        (429, StoreFault.REFUSED),
        (410, StoreFault.TRIMMED),
        (600, StoreFault.UNREACHABLE),
        (999, StoreFault.UNREACHABLE),
    ],
)
def test_error_status_is_mapped_to_fault(
    status: int, fault: StoreFault
) -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.status = status
        result = await client.read("t", 0, 0.1)
        assert not is_successful(result)
        assert result.failure().fault is fault

    run_with_timeout(scenario())


def test_silent_store_times_out_as_unreachable() -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.is_silent = True
        result = await client.list_newest("t")
        assert result.failure().fault is StoreFault.UNREACHABLE

    run_with_timeout(scenario())


def test_refused_connection_is_unreachable() -> None:
    async def scenario() -> None:
        client = StoreClient(("127.0.0.1", 1))
        result = await client.append("t", [Record("k", b"v")])
        assert result.failure().fault is StoreFault.UNREACHABLE

    run_with_timeout(scenario())


def test_positions_grow_although_offsets_go_back_to_those_of_a_copy() -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.add("t", "a", 1)
        older = store.copy()
        for _ in range(3):
            store.add("t", "a", 2)
        before = (await client.list_newest("t")).unwrap().next_offset
        store.restore(older)
        store.add("t", "a", 3)
        listed = (await client.list_newest("t")).unwrap()
        assert listed.records == (Record("a", b"3"),)
        assert listed.next_offset > before
        appended = await client.append(
            "t", [Record("a", b"4")], listed.next_offset
        )
        assert appended.unwrap() == listed.next_offset
        batch = (await client.read("t", listed.next_offset, 0.1)).unwrap()
        assert batch.records == (Record("a", b"4"),)

    run_with_timeout(scenario())


@pytest.mark.parametrize("written_again", [0, 1, 3, 9])
def test_read_after_a_restore_fails_whatever_was_written_again(
    written_again: int,
) -> None:
    async def scenario() -> None:
        store, client = await start_store()
        older = store.copy()
        for _ in range(3):
            store.add("t", "a", 2)
        position = (await client.list_newest("t")).unwrap().next_offset
        store.restore(older)
        for _ in range(written_again):
            store.add("t", "a", 3)
        error = (await client.read("t", position, 0.1)).failure()
        assert error.fault is StoreFault.RESTORED

    run_with_timeout(scenario())


def test_retained_records_are_read_from_the_oldest_on() -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.era = 2
        store.add("t", "a", "1")
        first = (await client.read_retained("t", None)).unwrap()
        assert first.records == (Record("a", b'"1"'),)
        store.add("t", "b", "2")
        store.topic("t").trim()
        store.add("t", "c", "3")
        for position in (None, first.next_offset):
            batch = (await client.read_retained("t", position)).unwrap()
            assert batch.records == (Record("c", b'"3"'),)
        store.restore({})
        store.add("t", "d", "4")
        again = (await client.read_retained("t", batch.next_offset)).unwrap()
        assert again.records == (Record("d", b'"4"'),)
        rest = (await client.read_retained("t", again.next_offset)).unwrap()
        assert rest.records == ()

    run_with_timeout(scenario())


def test_reading_of_retained_records_fails_while_the_store_is_away() -> None:
    async def scenario() -> None:
        store, client = await start_store()
        store.status = 503
        failed = await client.read_retained("t", None)
        assert failed.failure().fault is StoreFault.REFUSED

    run_with_timeout(scenario())
