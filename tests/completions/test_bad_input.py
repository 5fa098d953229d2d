"""Tests of the error codes for bad input on the completion interface."""

import asyncio

from savorylift.wire.address import split_address
from savorylift.wire.connecting import connect
from savorylift.wire.message import Response
from tests.completions.environment import (
    NodeEnvironment,
    error_of,
    run_in_environment,
)

RESPONSE_TIMEOUT_S = 2.0
COMPLETIONS = "POST /v1/completions"
VALID_BODY = b'{"model": "vine", "prompt": "hello len=2"}'


def request(
    request_line: str,
    body: bytes = b"",
    team: str | None = "desk",
    **headers: str,
) -> bytes:
    """Returns an encoded HTTP request; underscores in names become dashes."""
    lines = [f"{request_line} HTTP/1.1", "Host: x"]
    if team is not None:
        lines.append(f"X-Team: {team}")
    extra_headers = {
        name.replace("_", "-"): text for name, text in headers.items()
    }
    if "Transfer-Encoding" not in extra_headers:
        extra_headers.setdefault("Content-Length", str(len(body)))
    lines += [f"{name}: {text}" for name, text in extra_headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def send(environment: NodeEnvironment, raw_request: bytes) -> Response:
    """Sends raw bytes and reads one error response."""
    host, port = split_address(environment.addresses[1])
    channel = await connect(host, port, 1.0)
    channel.write(raw_request)
    data = b""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while b"}}" not in data:
            data += await channel.read()
    channel.abort()
    head, _, body = data.partition(b"\r\n\r\n")
    return Response(int(head.split()[1]), (), body)


CASES = [
    (request("GET /nothing"), 404, "not_found"),
    (request("PUT /v1/completions"), 405, "method_not_allowed"),
    (request(COMPLETIONS, VALID_BODY, team=None), 401, "unknown_team"),
    (request(COMPLETIONS, VALID_BODY, team="nobody"), 401, "unknown_team"),
    (request(COMPLETIONS, b"{"), 400, "bad_request"),
    (request(COMPLETIONS, b'{"model": "m"}'), 400, "bad_request"),
    (request(COMPLETIONS, b'{"model": 3, "prompt": ""}'), 400, "bad_request"),
    (
        request(COMPLETIONS, b'{"model": "x", "prompt": ""}'),
        404,
        "unknown_model",
    ),
    (request(COMPLETIONS, VALID_BODY, team="bound"), 403, "model_not_allowed"),
    (request(COMPLETIONS, VALID_BODY, X_Deadline_Ms="0"), 400, "bad_deadline"),
    (
        request(COMPLETIONS, VALID_BODY, X_Deadline_Ms="soon"),
        400,
        "bad_deadline",
    ),
    (request(COMPLETIONS, VALID_BODY, X_Priority="99"), 400, "bad_request"),
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


def test_bad_input_is_refused_with_status_and_code() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        for raw_request, status, code in CASES:
            response = await send(environment, raw_request)
            assert (response.status, error_of(response)["code"]) == (
                status,
                code,
            )
            assert error_of(response)["ending"] == "not_run"

    run_in_environment(scenario)
