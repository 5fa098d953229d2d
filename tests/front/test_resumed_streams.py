"""Tests of what goes on after the last event that a caller has."""

import asyncio

import pytest

from savorylift.fleet.version_recorder import START_DELAY_S
from savorylift.wire.message import Headers
from tests.front.environment import NodeEnvironment, run_in_environment
from tests.front.scripted_answers import (
    ATTEMPT_ID,
    CHUNKED,
    SEAL,
    STREAM_TYPE,
    Reply,
    View,
    call,
    chunk,
    head,
    replace_servers,
)
from tests.standins.scripted_server import End, Script, ScriptedRequest

RESUMED: Headers = (("last-event-id", "4"), ("resumes", "a0"))
LAST = 7


def events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@pytest.mark.parametrize(
    ("numbers", "passed_on", "view"),
    [
        pytest.param((5, 6, 7), (5, 6, 7), View.WHOLE, id="next"),
        pytest.param((3, 4, 5, 6, 7), (5, 6, 7), View.WHOLE, id="earlier"),
        pytest.param((6, 7), (), View.BROKEN, id="later"),
        pytest.param((5, 7), (5,), View.BROKEN, id="gap"),
    ],
)
def test_resumed_stream_goes_on_with_the_event_after_the_last(
    numbers: tuple[int, ...], passed_on: tuple[int, ...], view: View
) -> None:
    """A server's first event was passed on, whatever its number was."""

    async def scenario(env: NodeEnvironment) -> None:
        def get_script(req: ScriptedRequest) -> Script:
            fields = SEAL + STREAM_TYPE + CHUNKED
            answer = head(200, req.headers[ATTEMPT_ID], fields)
            return Script(answer + chunk(events(*numbers)) + chunk(b""))

        await replace_servers(env, "/resumable/", get_script)
        # By then a node knows that no other version has served.
        await asyncio.sleep(START_DELAY_S + 0.3)
        reply = await call(env, "/resumable/", RESUMED)
        if passed_on:
            assert reply == Reply(200, events(*passed_on), view)
        else:
            assert reply.view is view or reply.status == 502
            assert b"id:" not in reply.body

    run_in_environment(scenario)


@pytest.mark.parametrize("framing", [CHUNKED, ""], ids=["chunked", "unframed"])
@pytest.mark.parametrize("first", [b"data: x\n\n" * 4, b":\n\ndata: x\n\n"])
def test_stream_without_numbers_is_not_begun_again_within_itself(
    first: bytes, framing: str
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        def get_script(req: ScriptedRequest) -> Script:
            fields = SEAL + STREAM_TYPE + framing
            answer = head(200, req.headers[ATTEMPT_ID], fields)
            return Script(
                answer + (chunk(first) if framing else first), End.RESET
            )

        servers = await replace_servers(env, "/resumable/", get_script)
        reply = await call(env, "/resumable/")
        assert reply == Reply(200, first, View.BROKEN)
        assert sum(len(server.requests) for server in servers) == 1

    run_in_environment(scenario)


def test_stream_that_had_only_comments_is_begun_again_elsewhere() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        seen: list[ScriptedRequest] = []

        def get_script(req: ScriptedRequest) -> Script:
            seen.append(req)
            fields = SEAL + STREAM_TYPE + CHUNKED
            answer = head(200, req.headers[ATTEMPT_ID], fields)
            if len(seen) == 1:
                return Script(answer + chunk(b":\n\n"), End.RESET)
            return Script(answer + chunk(events(1, 2)) + chunk(b""))

        await replace_servers(env, "/resumable/", get_script)
        reply = await call(env, "/resumable/")
        assert reply == Reply(200, b":\n\n" + events(1, 2), View.WHOLE)

    run_in_environment(scenario)
