"""Tests of requests whose head can't be written."""

import asyncio

import pytest

from savorylift.exchange.server_reach import ServerReach, Wait
from savorylift.platform.store import OPERATORS_TOPIC
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from tests.front.environment import (
    NodeEnvironment,
    configuration,
    run_in_environment,
)


@pytest.mark.parametrize("name", ["\u540d", "a\r\nb", "\0", " team"])
def test_team_is_served_whatever_its_name_is(name: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        teams = [{"name": name, "apiKeys": ["key"]}]
        env.store.add(
            OPERATORS_TOPIC, "config", configuration(2) | {"tenants": teams}
        )
        await env.wait_for_version(2)
        assert (await env.call("/once/x")).status == 200

    run_in_environment(scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_request_that_can_not_be_sent_is_refused_and_waits_for_nothing(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    waits: set[Wait] = set()
    begin, end = ServerReach.begin_wait, ServerReach.end_wait

    def begin_wait(self: ServerReach, *args: object) -> Wait:
        wait = begin(self, *args)  # type: ignore[arg-type]
        waits.add(wait)
        return wait

    def end_wait(self: ServerReach, wait: Wait, *, has_answer: bool) -> None:
        waits.discard(wait)
        end(self, wait, has_answer=has_answer)

    def refuse(*_: object) -> None:
        raise BrokenAnswerError("unforeseen")

    async def scenario(env: NodeEnvironment) -> None:
        monkeypatch.setattr(ServerReach, "begin_wait", begin_wait)
        monkeypatch.setattr(ServerReach, "end_wait", end_wait)
        call = await env.open_call(path)
        monkeypatch.setattr(ClientCall, "send", refuse)
        async with asyncio.timeout(3.0):
            assert (await call.read_response()).status == 503
        assert not waits

    run_in_environment(scenario)
