"""Tests of servers in trouble, whose answers have heads that are none."""

import asyncio

import pytest

from savorylift.fleet.version_recorder import START_DELAY_S
from savorylift.wire.message import Headers
from tests.front.environment import NodeEnvironment, run_in_environment
from tests.front.scripted_answers import (
    PATHS,
    STREAM_PATHS,
    WHOLE,
    View,
    call,
    chunk,
    head,
    replace_servers,
    whole,
)
from tests.standins.scripted_server import Script

SEALED = "X-Savorylift-Response-Seal: seal\r\n"
NOT_EXECUTED = "X-Savorylift-Not-Executed: 1\r\n"
STATUSES = ["000", "099", "199", "600", "999", "20", "2000", "+20", " 200", ""]
# A caller that takes a stream up again, after its fourth event.
TAKE_UP: Headers = (("last-event-id", "4"), ("resumes", "a0"))


def with_status(answer: bytes, status: str) -> bytes:
    """Returns an answer with another status."""
    return answer.replace(b"HTTP/1.1 200 ", f"HTTP/1.1 {status} ".encode(), 1)


async def check_lost(
    env: NodeEnvironment, path: str, answer: bytes, headers: Headers = ()
) -> None:
    """Checks that an answer counts as lost, and its request as sent."""
    servers = await replace_servers(env, path, lambda _: Script(answer))
    reply = await call(env, path, headers)
    assert reply.view is View.WHOLE
    assert reply.status == 502
    assert b"data:" not in reply.body
    assert any(server.requests for server in servers)
    if path == "/once/":
        assert sum(len(server.requests) for server in servers) == 1


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("is_framed", [True, False])
def test_answer_with_no_status_of_the_protocol_is_lost(
    path: str, status: str, *, is_framed: bool
) -> None:
    """The callers got 600 and 999."""
    answer = whole(path, "a1")
    if not is_framed:
        answer = head(200, "a1", SEALED) + WHOLE

    async def scenario(env: NodeEnvironment) -> None:
        await check_lost(env, path, with_status(answer, status))

    run_in_environment(scenario)


@pytest.mark.parametrize("status", ["000", "199", "600", "999"])
def test_take_up_gets_no_status_that_there_is_none_of(status: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        answer = with_status(whole("/resumable/", "a1"), status)
        # By then a node knows that no other version has served.
        await asyncio.sleep(START_DELAY_S + 0.3)
        await check_lost(env, "/resumable/", answer, TAKE_UP)

    run_in_environment(scenario)


@pytest.mark.parametrize("status", ["600", "999"])
def test_server_is_not_believed_with_no_status_of_the_protocol(
    status: str,
) -> None:
    """It said that it had not run the request, which went to another one."""

    async def scenario(env: NodeEnvironment) -> None:
        answer = head(
            200, "a1", SEALED + NOT_EXECUTED + "Content-Length: 0\r\n"
        )
        await check_lost(env, "/once/", with_status(answer, status))

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"HTTP/1.1", b"HTTP/0.9"),
        (b"HTTP/1.1", b"HTTP/3.0"),
        (
            SEALED.encode(),
            SEALED.encode() + b"Content-Length: 7\r\nContent-Length: 8\r\n",
        ),
        (
            SEALED.encode(),
            SEALED.encode()
            + b"Content-Length: 7\r\nTransfer-Encoding: chunked\r\n",
        ),
        (b"HTTP/1.1 200 X\r\n", b""),
    ],
    ids=["0.9", "3.0", "two lengths", "length and chunks", "no status line"],
)
@pytest.mark.parametrize("path", PATHS)
def test_answer_whose_head_contradicts_itself_is_lost(
    path: str, old: bytes, new: bytes
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        fields = SEALED
        if path in STREAM_PATHS:
            fields += "Content-Type: text/event-stream\r\n"
        answer = head(200, "a1", fields) + chunk(WHOLE) + chunk(b"")
        await check_lost(env, path, answer.replace(old, new, 1))

    run_in_environment(scenario)
