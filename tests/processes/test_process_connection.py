"""Tests of connections to servers that are stopped early."""

import asyncio

from savorylift.backends.server import ServerEntry
from savorylift.processes.process_connection import ProcessConnection
from tests.wire.loopback import run_with_timeout

ENTRY = ServerEntry("i", "s", ("127.0.0.1", 1), "z", 1, False, 0.0, 1, 1)


def test_request_waits_for_no_connection_that_was_stopped_before_it_began() -> (
    None
):
    async def scenario() -> None:
        keeper = ProcessConnection(
            ENTRY,
            lambda _: None,
            lambda: None,
            lambda _: None,
            trusts_entry=True,
        )
        keeper.start()
        keeper.stop()
        async with asyncio.timeout(1.0):
            await keeper.has_tried.wait()
        assert not keeper.is_open

    run_with_timeout(scenario())
