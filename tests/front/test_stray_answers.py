"""Tests of bytes from a server that are no answer to the request it got."""

from typing import NamedTuple

import pytest

from tests.front.environment import NodeEnvironment, run_in_environment
from tests.front.scripted_answers import (
    ATTEMPT_ID,
    NOT_RUN,
    PATHS,
    SEAL,
    WHOLE,
    View,
    call,
    check_all_closed,
    framed,
    replace_servers,
    whole,
)
from tests.standins.scripted_server import Script, ScriptedRequest

# Paths of requests that may run once at most.
ONCE_PATHS = ("/stream/", "/once/")
OTHERS_REFUSAL = framed(503, "other", b"no", NOT_RUN)
UNNAMED_REFUSAL = framed(503, "", b"no", NOT_RUN)
OTHERS_ANSWER = framed(200, "other", b"answer of other", SEAL)


class Stray(NamedTuple):
    """Bytes around the answer of a server, and what a caller should get.

    Attributes:
        before: Bytes before the answer.
        is_answered: Whether the answer follows.
        after: Bytes after it.
        status: Status that the caller should get.
    """

    before: bytes
    is_answered: bool
    after: bytes
    status: int


STRAYS = {
    "refusal of another request": Stray(OTHERS_REFUSAL, False, b"", 502),
    "refusal of an unknown request": Stray(UNNAMED_REFUSAL, False, b"", 502),
    "answer of another request": Stray(OTHERS_ANSWER, False, b"", 502),
    "another refusal, then the answer": Stray(OTHERS_REFUSAL, True, b"", 200),
    "unknown refusal, then the answer": Stray(UNNAMED_REFUSAL, True, b"", 200),
    "another answer, then the answer": Stray(OTHERS_ANSWER, True, b"", 200),
    "two refusals, then the answer": Stray(
        OTHERS_REFUSAL + OTHERS_REFUSAL, True, b"", 200
    ),
    "the answer, then another refusal": Stray(b"", True, OTHERS_REFUSAL, 200),
    "the answer, then its refusal": Stray(
        b"", True, framed(503, "a1", b"no", NOT_RUN), 200
    ),
    "the answer, then no HTTP": Stray(b"", True, b"\x00\x01junk", 200),
    "no HTTP, then the answer": Stray(b"junk\r\n\r\n", True, b"", 502),
    "own status that promises too much": Stray(
        framed(503, "a1", b"no", SEAL), False, b"", 502
    ),
    "own 429 that promises too much": Stray(
        framed(429, "a1", b"no", SEAL), False, b"", 502
    ),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("stray", STRAYS.values(), ids=STRAYS.keys())
def test_stray_bytes_are_no_answer_and_no_promise(
    stray: Stray, path: str
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        def get_script(req: ScriptedRequest) -> Script:
            answer = whole(path, req.headers[ATTEMPT_ID])
            return Script(
                stray.before
                + (answer if stray.is_answered else b"")
                + stray.after
            )

        servers = await replace_servers(env, path, get_script)
        reply = await call(env, path)
        assert (reply.status, reply.view) == (stray.status, View.WHOLE)
        if stray.status == 200:
            assert reply.body == WHOLE
        runs = sum(len(server.requests) for server in servers)
        assert runs <= (1 if path in ONCE_PATHS else 2)
        await check_all_closed(servers)

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_refusal_before_the_request_is_no_promise(path: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        def get_script(req: ScriptedRequest) -> Script:
            return Script(whole(path, req.headers[ATTEMPT_ID]))

        servers = await replace_servers(env, path, get_script, OTHERS_REFUSAL)
        reply = await call(env, path)
        runs = sum(len(server.requests) for server in servers)
        # A node that sees the bytes in time doesn't send its request.
        if runs:
            assert (reply.status, reply.body) == (200, WHOLE)
        else:
            assert reply.status == 503
        assert runs <= 1
        await check_all_closed(servers)

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_own_refusal_is_believed(path: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        def get_script(req: ScriptedRequest) -> Script:
            return Script(
                framed(503, req.headers[ATTEMPT_ID], b"no", NOT_RUN) * 2
            )

        servers = await replace_servers(env, path, get_script)
        reply = await call(env, path)
        assert (reply.status, reply.view) == (503, View.WHOLE)
        assert [len(server.requests) for server in servers] == [1, 1]
        await check_all_closed(servers)

    run_in_environment(scenario)
