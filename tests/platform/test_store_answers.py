"""Tests of the store client with a store whose answers make no sense."""

import base64
import json
from collections.abc import Coroutine
from typing import Any

import pytest
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.platform.store import (
    Batch,
    StoreClient,
    StoreError,
    StoreFault,
)
from savorylift.platform.store_answers import OFFSETS_PER_ERA
from savorylift.platform.store_record import Record
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout

# Calls after which a listing that never ends has been made for long enough.
MAX_CALLS = 20
ITEM = {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 0}
PAGE: dict[str, Any] = {"items": [ITEM], "end": 1, "hasMore": False}
NO_RECORDS = bytes(16)


class ScriptedStore:
    """Answers each call with the same."""

    def __init__(self, response: Response) -> None:
        self.response = response
        self.calls = 0

    async def start(self) -> StoreClient:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        handler = connection_handler(self._respond)
        await Listener(handler, InputLimits).start("127.0.0.1", port)
        return StoreClient(("127.0.0.1", port))

    async def _respond(self, _: Request) -> Response:
        self.calls += 1
        if self.calls > MAX_CALLS:
            return Response(503, ())
        return self.response


def answer(body: object, era: str | None = None) -> ScriptedStore:
    """Returns a store that answers a body, of JSON unless it is bytes."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = () if era is None else (("store-era", era),)
    return ScriptedStore(Response(200, headers, data))


def run(call: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401
    return run_with_timeout(call)


async def list_all(store: ScriptedStore) -> Result[Batch, StoreError]:
    return await (await store.start()).list_newest("t")


@pytest.mark.parametrize(
    "era", ["9" * 5000, "9" * 400, "-1", "1.5", "1e9", "\xb2", "", "x"]
)
def test_era_that_is_no_number_ends_no_reading(era: str) -> None:
    async def scenario() -> None:
        listed = await list_all(answer(PAGE, era))
        assert listed.unwrap() == Batch((Record("k", b"v"),), 1)
        client = await answer(NO_RECORDS, era).start()
        assert (await client.read("t", 0, 0.0)).unwrap().next_offset == 0
        client = await answer({"offset": 7}, era).start()
        assert (await client.append("t", [])).unwrap() == 7

    run(scenario())


@pytest.mark.parametrize("number", [-1, -(10**30), OFFSETS_PER_ERA, 10**400])
def test_offset_that_can_not_be_makes_no_position(number: int) -> None:
    async def scenario() -> None:
        listed = await list_all(answer(PAGE | {"end": number}))
        assert listed.failure().fault is StoreFault.UNREADABLE
        client = await answer({"offset": number}).start()
        appended = await client.append("t", [])
        assert appended.failure().fault is StoreFault.UNREADABLE
        store = answer({"first": number})
        store.response = store.response._replace(status=410)
        read = await (await store.start()).read("t", 0, 0.0)
        assert read.failure() == StoreError(StoreFault.TRIMMED, "410")

    run(scenario())


@pytest.mark.parametrize(
    "bad",
    [
        None,
        7,
        [],
        {},
        {"key": 1, "value": ""},
        {"key": "x", "value": None},
        {"key": "x", "value": 5},
    ],
)
def test_item_that_is_none_keeps_no_other_from_being_read(bad: object) -> None:
    async def scenario() -> None:
        for items in ([bad, ITEM], [ITEM, bad]):
            listed = await list_all(answer(PAGE | {"items": items}))
            assert listed.unwrap() == Batch((Record("k", b"v"),), 1)

    run(scenario())


@pytest.mark.parametrize("value", ["x", "\xe9", "a===b", "\u2028"])
def test_item_with_an_unsound_value_does_not_seem_removed(value: str) -> None:
    async def scenario() -> None:
        items = [{"key": "x", "value": value}, ITEM]
        listed = await list_all(answer(PAGE | {"items": items}))
        assert [record.key for record in listed.unwrap().records] == ["x", "k"]
        assert listed.unwrap().records[0].value

    run(scenario())


@pytest.mark.parametrize("items", [[ITEM], [7]])
def test_listing_without_end_is_given_up(items: list[object]) -> None:
    async def scenario() -> None:
        store = answer(PAGE | {"items": items, "hasMore": True})
        listed = await list_all(store)
        assert listed.failure().fault is StoreFault.UNREADABLE
        assert store.calls <= 2

    run(scenario())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b"{}",
        b"\xff",
        b"[" * 100_000,
        b'{"items":' + b"[" * 100_000,
        b'{"items":[' + b"[" * 100_000 + b"]" * 100_000 + b'],"end":1}',
        b'{"items":{},"end":1}',
        b'{"items":[],"end":1.5}',
        b'{"items":[],"end":1e999}',
        b'{"items":[],"end":' + b"9" * 9999 + b"}",
        b'{"items":[],"end":1,"hasMore":3}',
    ],
)
def test_body_that_is_no_answer_is_a_failed_call(body: bytes) -> None:
    async def scenario() -> None:
        assert not is_successful(await list_all(answer(body)))
        client = await answer(body).start()
        assert not is_successful(await client.append("t", []))

    run(scenario())


@pytest.mark.parametrize(
    "tail",
    [b"\xff\xff\xff\xff", b"\0\0\0\0", b"\0\0\0\1\xff", b"\0\0\0\5\1\xffxyz"],
)
def test_records_of_broken_lengths_keep_no_other_from_being_read(
    tail: bytes,
) -> None:
    async def scenario() -> None:
        sound = b"\0\0\0\3\1kv"
        client = await answer(NO_RECORDS + sound + tail).start()
        read = (await client.read("t", 0, 0.0)).unwrap()
        assert read.records == (Record("k", b"v"),)

    run(scenario())
