"""Tests of answers whose head has no end."""

import pytest

from tests.front.environment import NodeEnvironment, run_in_environment
from tests.front.scripted_answers import (
    PATHS,
    SEAL,
    View,
    call,
    check_all_closed,
    head,
    replace_servers,
    whole,
)
from tests.standins.scripted_server import End, Script, ScriptedRequest

SHORT_DEADLINE = (("x-savorylift-deadline-remaining", "400"),)
# Number of bytes of the answer that the server should send.
CUT_HEADER = "x-cut"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("path", PATHS)
def test_head_cut_anywhere_is_no_answer(path: str, end: End) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        answer = CONTINUE + whole(path, "a1")
        head_bytes = answer.index(b"\r\n\r\n", len(CONTINUE)) + 4

        def get_script(req: ScriptedRequest) -> Script:
            return Script(answer[: int(req.headers[CUT_HEADER])], end)

        servers = await replace_servers(env, path, get_script)
        for cut in range(0, head_bytes, 3):
            known = sum(len(server.requests) for server in servers)
            reply = await call(env, path, ((CUT_HEADER, str(cut)),))
            runs = sum(len(server.requests) for server in servers) - known
            # Only a request that no server got may be refused as not run.
            assert reply.status == (502 if runs else 503)
            assert reply.view is View.WHOLE
            assert b"data:" not in reply.body
        await check_all_closed(servers)

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200",
        head(200, "a1", SEAL)[:-2],
        head(200, "a1", SEAL)[:-7],
        CONTINUE,
    ],
    ids=["status", "no blank line", "value", "100"],
)
def test_head_without_an_end_is_no_answer(path: str, cut: bytes) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = await replace_servers(
            env, path, lambda _: Script(cut, End.SILENCE)
        )
        reply = await call(env, path, SHORT_DEADLINE)
        assert (reply.status, reply.view) == (504, View.WHOLE)
        await check_all_closed(servers)

    run_in_environment(scenario)
