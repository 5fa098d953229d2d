"""Bad input at the completion interface gets its code."""

import asyncio

from savorylift.wire.address import split_address
from savorylift.wire.channel import connect
from savorylift.wire.message import Response
from tests.completions.stage import Stage, error_of, on_stage

ANSWER_S = 2.0
COMPLETIONS = "POST /v1/completions"
GOOD = b'{"model": "vine", "prompt": "hello len=2"}'


def request(
    line: str, body: bytes = b"", team: str | None = "desk", **headers: str
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{line} HTTP/1.1", "Host: x"]
    if team is not None:
        lines.append(f"X-Team: {team}")
    given = {name.replace("_", "-"): text for name, text in headers.items()}
    if "Transfer-Encoding" not in given:
        given.setdefault("Content-Length", str(len(body)))
    lines += [f"{name}: {text}" for name, text in given.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def send(stage: Stage, raw: bytes) -> Response:
    """Sends bytes as they are and reads one answer."""
    host, port = split_address(stage.addresses[1])
    channel = await connect(host, port, 1.0)
    channel.write(raw)
    data = b""
    async with asyncio.timeout(ANSWER_S):
        while b"}}" not in data:
            data += await channel.read()
    channel.abort()
    head, _, body = data.partition(b"\r\n\r\n")
    return Response(int(head.split()[1]), (), body)


CASES = [
    (request("GET /nothing"), 404, "not_found"),
    (request("PUT /v1/completions"), 405, "method_not_allowed"),
    (request(COMPLETIONS, GOOD, team=None), 401, "unknown_team"),
    (request(COMPLETIONS, GOOD, team="nobody"), 401, "unknown_team"),
    (request(COMPLETIONS, b"{"), 400, "bad_request"),
    (request(COMPLETIONS, b'{"model": "m"}'), 400, "bad_request"),
    (request(COMPLETIONS, b'{"model": 3, "prompt": ""}'), 400, "bad_request"),
    (
        request(COMPLETIONS, b'{"model": "x", "prompt": ""}'),
        404,
        "unknown_model",
    ),
    (request(COMPLETIONS, GOOD, team="bound"), 403, "model_not_allowed"),
    (request(COMPLETIONS, GOOD, X_Deadline_Ms="0"), 400, "bad_deadline"),
    (request(COMPLETIONS, GOOD, X_Deadline_Ms="soon"), 400, "bad_deadline"),
    (request(COMPLETIONS, GOOD, X_Priority="99"), 400, "bad_request"),
    (request(COMPLETIONS, b"x" * 5_000_000), 413, "body_too_large"),
    (request(COMPLETIONS, Content_Length="9999999"), 413, "body_too_large"),
    (
        request(COMPLETIONS, b"zz\r\n", Transfer_Encoding="chunked"),
        400,
        "bad_request",
    ),
    (request("GET /v1/services/none/x"), 404, "unknown_service"),
    (b"nonsense\r\n\r\n", 400, "bad_request"),
    (request("GET /x", A="b" * 80_000), 431, "body_too_large"),
]


def test_bad_input_gets_its_code() -> None:
    async def scene(stage: Stage) -> None:
        for raw, status, code in CASES:
            answer = await send(stage, raw)
            assert (answer.status, error_of(answer)["code"]) == (status, code)
            assert error_of(answer)["ending"] == "not_run"

    on_stage(scene)
