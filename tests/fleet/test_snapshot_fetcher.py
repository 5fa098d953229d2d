"""Tests of fetching snapshots from nodes whose answers make no sense."""

import pytest

from savorylift.fleet.codec import encode
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.snapshot_fetcher import SnapshotFetcher
from savorylift.fleet.store_records import Snapshot
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.exchange.factories import make_store_view
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout

SNAPSHOT = encode(Snapshot(1, (0, 0), {"k": b"v"}, {}))


@pytest.mark.parametrize(
    "named", [b"\0", b"a..b", b"a" * 300, b"\xff", b"127.0.0.1,\0,a..b"]
)
def test_names_that_are_no_addresses_end_no_fetching(named: bytes) -> None:
    responses = [Response(200, (), SNAPSHOT), Response(503, (), named)]

    async def respond(_: Request) -> Response:
        return responses.pop()

    async def scenario() -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        listener = Listener(connection_handler(respond), InputLimits)
        await listener.start("127.0.0.1", port)
        view = make_store_view()
        fetcher = SnapshotFetcher(
            "127.0.0.2",
            port,
            view,
            MessageAuthenticator(),
            lambda: 1,
            lambda: None,
        )
        assert fetcher.add_source("127.0.0.1", 1, (0, 0))
        await fetcher.run()
        assert view.operators_version == 1

    run_with_timeout(scenario())
