"""Tests of servers and stores that answer with a status that doesn't exist."""

from collections.abc import Awaitable, Callable

import pytest
from returns.result import Failure
from structlog.testing import capture_logs

from savorylift.exchange.server_notice import NO_NOTICE
from savorylift.platform.engine_client import (
    CopyError,
    CopyFault,
    copy_run,
    drop_copy,
    read_notice,
    read_start,
    read_start_on,
)
from savorylift.platform.store import StoreClient, StoreFault
from savorylift.platform.store_record import Record
from savorylift.wire.connecting import connect
from tests.standins.lying_server import (
    STATUSES,
    count_unreadable,
    lying_server,
)
from tests.wire.loopback import run_with_timeout

Address = tuple[str, int]
Ask = Callable[[Address], Awaitable[object]]
TIMEOUT_S = 1.0
DESTINATION = ("127.0.0.1", 9)


def check_no_answer(status: str, ask: Ask) -> object:
    """Returns what a question gives; checks that its answer was none."""

    async def scenario() -> object:
        async with lying_server(status) as address:
            return await ask(address)

    count = count_unreadable()
    with capture_logs() as logged:
        result = run_with_timeout(scenario())
    assert count_unreadable() == count + 1
    assert [line["event"] for line in logged] == ["answer_unreadable"]
    return result


async def ask_on_open_connection(address: Address) -> int | None:
    channel = await connect(*address, TIMEOUT_S)
    return await read_start_on(channel, TIMEOUT_S)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    "ask",
    [lambda address: read_start(address, TIMEOUT_S), ask_on_open_connection],
    ids=["new connection", "open connection"],
)
def test_start_is_not_known_by_such_an_answer(ask: Ask, status: str) -> None:
    assert check_no_answer(status, ask) is None


@pytest.mark.parametrize("status", STATUSES)
def test_server_does_not_leave_by_such_an_answer(status: str) -> None:
    notice = check_no_answer(
        status, lambda address: read_notice(address, timeout_s=TIMEOUT_S)
    )
    assert notice == NO_NOTICE


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("stops_run", [False, True])
def test_run_is_not_copied_by_such_an_answer(
    status: str, *, stops_run: bool
) -> None:
    result = check_no_answer(
        status,
        lambda address: copy_run(
            address,
            DESTINATION,
            "a",
            stops_run=stops_run,
            timeout_s=TIMEOUT_S,
        ),
    )
    assert result == Failure(CopyError(CopyFault.UNREACHABLE))


@pytest.mark.parametrize("status", STATUSES)
def test_copy_is_not_dropped_by_such_an_answer(status: str) -> None:
    assert not check_no_answer(
        status, lambda address: drop_copy(address, "h", timeout_s=TIMEOUT_S)
    )


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.list_newest("t"),
        lambda store: store.read("t", 0, 0.1),
        lambda store: store.read_retained("t", 0),
        lambda store: store.append("t", [Record("k", b"v")]),
    ],
    ids=["list", "read", "read all", "append"],
)
def test_call_to_the_store_fails_by_such_an_answer(
    call: Callable[[StoreClient], Awaitable[object]], status: str
) -> None:
    """What was appended may be in the store, as with a lost answer."""
    result = check_no_answer(status, lambda address: call(StoreClient(address)))
    assert isinstance(result, Failure)
    assert result.failure().fault is StoreFault.UNREACHABLE
