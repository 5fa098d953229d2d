"""Tests of polling the load of servers that the rules file names."""

import asyncio
import contextlib

import pytest
from structlog.testing import capture_logs

from savorylift.backends.registry import Registry
from savorylift.completions.load_poller import LoadPoller
from tests.exchange.factories import make_server_entry
from tests.standins.lying_server import STATUSES, lying_server
from tests.wire.loopback import run_with_timeout

# Time for one poll.
POLLED_S = 0.3


async def poll(address: tuple[str, int]) -> tuple[bool, bool]:
    """Polls one server; returns whether it changed, and whether it leaves."""
    registry = Registry()
    entry = make_server_entry()._replace(address=address)
    registry.set_static_entries([entry])
    changes: list[None] = []
    poller = LoadPoller(registry, lambda: changes.append(None))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(POLLED_S):
            await poller.run()
    return bool(changes), registry.servers[entry.server_id].entry.is_leaving


async def poll_server(status: str) -> tuple[bool, bool]:
    async with lying_server(status) as address:
        return await poll(address)


def test_report_of_a_server_that_leaves_is_believed() -> None:
    """So the other test's server would be, with another status."""
    assert run_with_timeout(poll_server("200")) == (True, True)


@pytest.mark.parametrize("status", STATUSES)
def test_report_with_no_status_of_the_protocol_changes_nothing(
    status: str,
) -> None:
    with capture_logs() as logged:
        assert run_with_timeout(poll_server(status)) == (False, False)
    events = {line["event"] for line in logged}
    assert events == {"answer_unreadable", "load_unknown"}
