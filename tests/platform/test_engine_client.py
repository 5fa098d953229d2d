"""Tests of what engines say of themselves."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from savorylift.backends.server_start import NO_REPORT, NO_START
from savorylift.exchange.server_notice import ServerNotice
from savorylift.platform.engine_client import read_notice, read_start
from savorylift.wire.listener import Listener
from savorylift.wire.message import Headers, Request
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.harness.ports import free_addresses

LEAVING = ("server-leaving", "1")
HOLD = ("retry-after", "2.5")


T = TypeVar("T")


async def ask(
    question: Callable[[tuple[str, int]], Awaitable[T]],
    status: int,
    body: bytes,
    headers: Headers = (),
) -> T:
    """Asks a server that answers like this."""

    async def serve(conn: ServerConnection) -> None:
        assert isinstance(await conn.next_request(), Request)
        conn.respond(status, headers, body)
        await conn.channel.drain()
        conn.channel.close()

    host, _, port = free_addresses(1, ["127.0.0.1"])[0].partition(":")
    listener = Listener(serve, InputLimits)
    await listener.start(host, int(port))
    answer = await question((host, int(port)))
    listener.stop_accepting()
    return answer


async def start_said_by(status: int, body: bytes) -> int | None:
    """Returns the start of a server that answers like this."""
    return await ask(lambda address: read_start(address, 1.0), status, body)


@pytest.mark.parametrize(
    ("status", "body", "headers", "expected"),
    [
        (200, b"{}", (), ServerNotice()),
        (200, b'{"state": "draining"}', (), ServerNotice(is_leaving=True)),
        (200, b"{}", (LEAVING,), ServerNotice(is_leaving=True)),
        (503, b"", (HOLD,), ServerNotice(hold_s=2.5)),
        (404, b"", (LEAVING,), ServerNotice(is_leaving=True)),
    ],
)
def test_poll_of_an_engine_hears_its_plans(
    status: int, body: bytes, headers: Headers, expected: ServerNotice
) -> None:
    notice = asyncio.run(
        ask(
            lambda address: read_notice(address, timeout_s=1.0),
            status,
            body,
            headers,
        )
    )
    assert notice == expected


@pytest.mark.parametrize(
    ("status", "body", "started_ms"),
    [(200, b'{"born": 5}', 5), (200, b"{}", NO_START), (404, b"", NO_REPORT)],
)
def test_poll_of_an_engine_hears_its_start(
    status: int, body: bytes, started_ms: int
) -> None:
    heard: list[int] = []
    asyncio.run(
        ask(
            lambda address: read_notice(
                address, timeout_s=1.0, on_start=heard.append
            ),
            status,
            body,
        )
    )
    assert heard == [started_ms]


@pytest.mark.parametrize(
    ("status", "body", "said_ms"),
    [(200, b'{"born": 5}', 5), (200, b"{}", None), (404, b"", None)],
)
def test_notice_in_a_report_names_the_process_that_gave_it(
    status: int, body: bytes, said_ms: int | None
) -> None:
    heard: list[tuple[int | None, ServerNotice]] = []

    async def question(address: tuple[str, int]) -> int | None:
        return await read_start(
            address,
            1.0,
            lambda _, started_ms, notice: heard.append((started_ms, notice)),
        )

    asyncio.run(ask(question, status, body, (LEAVING,)))
    assert heard == [(said_ms, ServerNotice(is_leaving=True))]


@pytest.mark.parametrize(
    ("body", "started_ms"),
    [
        (b'{"born": 5}', 5),
        (b'{"born": 5.0}', 0),
        (b'{"born": true}', 0),
        (b'{"born": "5"}', 0),
        (b'{"born": -5}', 0),
        (b'{"born": null}', 0),
        (b"{}", 0),
        (b"[5]", 0),
        (b"5", 0),
        (b"no json", 0),
    ],
)
def test_only_a_whole_number_is_a_start(body: bytes, started_ms: int) -> None:
    assert asyncio.run(start_said_by(200, body)) == started_ms


@pytest.mark.parametrize(
    ("status", "started_ms"),
    [
        (400, NO_REPORT),
        (404, NO_REPORT),
        (405, NO_REPORT),
        (501, NO_REPORT),
        (421, 0),
        (500, 0),
        (503, 0),
    ],
)
def test_server_that_knows_no_reports_has_none(
    status: int, started_ms: int
) -> None:
    assert asyncio.run(start_said_by(status, b"")) == started_ms
