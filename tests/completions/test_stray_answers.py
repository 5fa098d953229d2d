"""Tests of answers on the completion interface that belong to no request."""

from collections.abc import Callable

import pytest

from savorylift.outcomes import Ending
from savorylift.wire.address import split_address
from tests.completions.environment import (
    FakeService,
    NodeEnvironment,
    error_of,
)
from tests.front.environment import run_with_timeout
from tests.standins.scripted_server import (
    Script,
    ScriptedRequest,
    ScriptedServer,
)

LOAD_PATH = "/v1/load"
LOAD = b'{"cold": false, "leaving": false}'
REFUSAL_BODY = b'{"error": {"code": "overloaded"}}'


class ScriptedService(FakeService):
    """Fake plain service that answers with the bytes of a script."""

    def __init__(self, get_script: Callable[[ScriptedRequest], Script]) -> None:
        super().__init__()
        self.server = ScriptedServer(get_script)

    async def start(self, address: str) -> None:
        await self.server.start(split_address(address)[1])

    @property
    def call_count(self) -> int:
        """Number of calls that it got."""
        return sum(req.target != LOAD_PATH for req in self.server.requests)


def framed(status: int, request: str, body: bytes) -> bytes:
    """Returns an answer to a request; one without an id for no request."""
    echoed = f"X-Request-Id: {request}\r\n" if request else ""
    length = f"Content-Length: {len(body)}\r\n\r\n"
    return f"HTTP/1.1 {status} X\r\n{echoed}{length}".encode() + body


@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("stray_id", ["other", ""])
@pytest.mark.parametrize("stray_status", [503, 200])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_of_another_call_is_none(
    method: str,
    stray_status: int,
    stray_id: str,
    is_answered: bool,  # noqa: FBT001
) -> None:
    def get_script(req: ScriptedRequest) -> Script:
        if req.target == LOAD_PATH:
            return Script(framed(200, "", LOAD))
        answer = framed(200, req.headers["x-request-id"], b"booked")
        stray = framed(stray_status, stray_id, REFUSAL_BODY)
        return Script(stray + (answer if is_answered else b""))

    async def scenario() -> None:
        env = NodeEnvironment()
        services = [ScriptedService(get_script) for _ in env.services]
        env.services = list(services)
        await env.start()
        response = await env.call_node(method, "/v1/services/crew/book", b"x")
        if is_answered:
            assert (response.status, response.body) == (200, b"booked")
        else:
            assert response.status == 502
            assert error_of(response)["ending"] == Ending.UNKNOWN.value
        calls = sum(service.call_count for service in services)
        assert calls <= (1 if method == "POST" or is_answered else 2)

    run_with_timeout(scenario())
