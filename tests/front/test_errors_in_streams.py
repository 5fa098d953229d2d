"""Tests of errors that servers answer with after a stream has begun."""

from collections.abc import Callable

import pytest

from tests.front.environment import NodeEnvironment, run_in_environment
from tests.front.scripted_answers import (
    ATTEMPT_ID,
    BEGUN,
    CHUNKED,
    EVENTS,
    NOT_RUN,
    SEAL,
    STREAM_TYPE,
    WHOLE,
    Reply,
    View,
    call,
    check_all_closed,
    chunk,
    framed,
    head,
    replace_servers,
)
from tests.standins.scripted_server import End, Script, ScriptedRequest

ERROR_TEXT = b"Internal error\n\nnothing to see here\n\n"
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n"
ERROR_EVENT = b"event: error\ndata: failed\n\n"

# What the next server answers to the rest of a stream that has begun, without
# the fields that name the attempt.
ERRORS: dict[str, Callable[[str], bytes]] = {
    "400": lambda a: framed(400, a, ERROR_TEXT, SEAL),
    "404 chunked": lambda a: (
        head(404, a, SEAL + CHUNKED) + chunk(ERROR_TEXT) + chunk(b"")
    ),
    "500": lambda a: framed(500, a, ERROR_TEXT, SEAL),
    "500 unframed": lambda a: head(500, a, SEAL) + ERROR_TEXT,
    "500 cut off": lambda a: framed(500, a, ERROR_TEXT, SEAL)[:-5],
    "500 as a stream": lambda a: framed(500, a, WHOLE, SEAL + STREAM_TYPE),
    "502 head only": lambda a: framed(502, a, b"", SEAL),
    "503": lambda a: framed(503, a, ERROR_TEXT, NOT_RUN),
    "503 of another": lambda _: framed(503, "other", ERROR_TEXT, NOT_RUN),
    "200 with a text": lambda a: framed(
        200, a, ERROR_TEXT, SEAL + "Content-Type: text/plain\r\n"
    ),
    "200 without a stream": lambda a: framed(
        200, a, b"", SEAL + "Content-Type: text/plain\r\n"
    ),
    "204": lambda a: head(204, a, SEAL),
    "200 with a text as a stream": lambda a: framed(
        200, a, ERROR_TEXT, SEAL + STREAM_TYPE
    ),
    "200 with a head in the stream": lambda a: framed(
        200, a, ERROR_HEAD + b"no\n\n" + WHOLE, SEAL + STREAM_TYPE
    ),
    "200 with a head before an event": lambda a: framed(
        200, a, ERROR_HEAD + WHOLE, SEAL + STREAM_TYPE
    ),
    "200 with an event of an error": lambda a: framed(
        200, a, ERROR_EVENT, SEAL + STREAM_TYPE
    ),
    "200 unframed with a head": lambda a: (
        head(200, a, SEAL + STREAM_TYPE) + ERROR_HEAD + b"no\n\n"
    ),
}


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS.keys())
def test_error_of_the_next_server_stays_out_of_a_stream(
    error: Callable[[str], bytes], end: End
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        def get_script(req: ScriptedRequest) -> Script:
            attempt = req.headers[ATTEMPT_ID]
            if "last-event-id" in req.headers:
                return Script(error(attempt))
            fields = SEAL + STREAM_TYPE + CHUNKED
            return Script(head(200, attempt, fields) + chunk(BEGUN), end)

        servers = await replace_servers(env, "/resumable/", get_script)
        reply = await call(env, "/resumable/")
        assert reply == Reply(200, BEGUN, View.BROKEN)
        assert sum(len(server.requests) for server in servers) == 2
        await check_all_closed(servers)

    run_in_environment(scenario)


INSIDE_A_STREAM = {
    "text": ERROR_TEXT,
    "head": ERROR_HEAD + b"no\n\n",
    "head before an event": ERROR_HEAD,
    "event of an error": ERROR_EVENT,
    "json": b'{"error": "failed"}\n\n',
}


@pytest.mark.parametrize("framing", [CHUNKED, ""], ids=["chunked", "unframed"])
@pytest.mark.parametrize(
    "junk", INSIDE_A_STREAM.values(), ids=INSIDE_A_STREAM.keys()
)
def test_error_inside_a_stream_is_none_of_its_events(
    junk: bytes, framing: str
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        encode = chunk if framing else bytes

        def get_script(req: ScriptedRequest) -> Script:
            fields = SEAL + STREAM_TYPE + framing
            answer = head(200, req.headers[ATTEMPT_ID], fields)
            for part in (BEGUN, junk, b"".join(EVENTS[4:])):
                answer += encode(part)
            return Script(answer + (chunk(b"") if framing else b""))

        servers = await replace_servers(env, "/stream/", get_script)
        reply = await call(env, "/stream/")
        assert reply.view is View.BROKEN
        assert reply.body == BEGUN
        await check_all_closed(servers)

    run_in_environment(scenario)
