"""Tests of unframed answers whose server is not known to live at their end."""

import asyncio

import pytest

from savorylift.limits.limit_gate import LimitGate
from savorylift.limits.permit_issuer import START_HOLD_S
from savorylift.processes import server_contact
from savorylift.wire.purpose import Purpose
from tests.front.environment import (
    NodeEnvironment,
    event_numbers,
    run_in_environment,
)
from tests.front.unframed_server import (
    BEGUN_S,
    PATHS,
    PROMPT_S,
    REGISTRY_S,
    SENT_WHEN_BROKEN,
    STREAM_PATHS,
    CallerView,
    RawServer,
    call,
    check_whole,
    pieces_of,
    replace_at_end,
    replace_by_one,
)


@pytest.mark.parametrize("path", PATHS)
def test_answer_of_a_server_that_was_replaced_does_not_look_whole(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent)
        replace_at_end(server)
        status, _, view = await call(env, path)
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_answer_whose_server_was_replaced_as_the_entry_says_is_not_whole(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent)
        replace_at_end(server)
        server.may_end.clear()
        calling = asyncio.ensure_future(call(env, path))
        await asyncio.sleep(REGISTRY_S)
        service = "pool" if path in STREAM_PATHS else "app"
        replaced = (env.pool if path in STREAM_PATHS else env.app)[0]
        replaced.born = 2
        env.publish_entry(replaced, service)
        await asyncio.sleep(REGISTRY_S)
        server.may_end.set()
        status, _, view = await calling
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_answer_of_a_limited_server_that_was_replaced_does_not_look_whole(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent, "Server-Limit: 4\r\n")
        await asyncio.sleep(START_HOLD_S)
        await call(env, path, "names-the-limit")
        await asyncio.sleep(BEGUN_S)
        replace_at_end(server)
        status, _, view = await call(env, path)
        assert server.requests == 2
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)


async def end_without_permits(
    env: NodeEnvironment,
    path: str,
    server: RawServer,
    monkeypatch: pytest.MonkeyPatch,
) -> CallerView:
    """Returns how an answer ends once no permit for its server is left."""

    async def deny(*_: object, **_options: object) -> None:
        return None

    server.may_end.clear()
    calling = asyncio.ensure_future(call(env, path))
    await asyncio.sleep(BEGUN_S)
    monkeypatch.setattr(LimitGate, "acquire", deny)
    server.may_end.set()
    status, _, view = await calling
    return CallerView.BROKEN if status == 502 else view


@pytest.mark.parametrize("path", PATHS)
def test_answer_cut_off_where_no_permit_is_left_does_not_look_whole(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A check without a permit found out nothing, which counted as whole."""

    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent, "Server-Limit: 4\r\n")
        replace_at_end(server)
        view = await end_without_permits(env, path, server, monkeypatch)
        assert view is CallerView.BROKEN

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_whole_answer_where_no_permit_is_left_is_passed_on(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server = await replace_by_one(
            env, path, pieces_of(path), "Server-Limit: 4\r\n"
        )
        view = await end_without_permits(env, path, server, monkeypatch)
        assert view is CallerView.UNFRAMED

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_answer_that_a_server_without_a_start_cut_off_does_not_look_whole(
    path: str,
) -> None:
    """A process that names no start counted as the one before it."""

    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent)
        server.is_gone = server.restarts = server.ends = True
        status, _, view = await call(env, path)
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_answer_that_the_end_of_a_draining_server_cut_off_is_not_whole(
    path: str,
) -> None:
    """It counted as whole unless it could go on elsewhere."""

    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent)
        server.is_gone = server.ends = True
        server.may_end.clear()
        calling = asyncio.ensure_future(call(env, path))
        await asyncio.sleep(BEGUN_S)
        service = "pool" if path in STREAM_PATHS else "app"
        draining = (env.pool if path in STREAM_PATHS else env.app)[0]
        env.publish_entry(draining, service, "draining")
        await asyncio.sleep(REGISTRY_S)
        server.may_end.set()
        status, _, view = await calling
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_answer_cut_off_while_its_server_is_unreachable_is_not_whole(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection that was reset or timed out counted as a good sign."""

    async def reset(
        _host: str, _port: int, _timeout_s: float, _purpose: Purpose
    ) -> None:
        raise ConnectionResetError

    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        server = await replace_by_one(env, path, sent)
        server.is_gone = server.ends = True
        monkeypatch.setattr(server_contact, "connect", reset)
        status, _, view = await call(env, path)
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)


@pytest.mark.parametrize("path", ["/resumable/", "/safe/"])
def test_request_goes_on_elsewhere_when_its_server_was_replaced(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        is_stream = path in STREAM_PATHS
        replaced = env.pool if is_stream else env.app
        replaced[0].stop()
        server = RawServer("", pieces_of(path)[:SENT_WHEN_BROKEN])
        await server.start(replaced[0].port)
        while not server.requests:
            replace_at_end(server)
            server.may_end.clear()
            calling = asyncio.ensure_future(call(env, path))
            await asyncio.sleep(BEGUN_S)
            server.may_end.set()
            status, body, view = await calling
            assert status == 200
            assert view is not CallerView.BROKEN
            if is_stream:
                assert event_numbers(body) == list(range(1, 11))
            else:
                assert body == b"answer of a1"
        assert server.requests == 1

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_whole_answer_of_a_process_whose_entry_is_late_is_passed_on(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server = await replace_by_one(env, path, pieces_of(path))
        replace_at_end(server)
        await call(env, path, "last-of-1")
        server.is_gone = server.restarts = server.ends = False
        await check_whole(env, path, server, PROMPT_S)

    run_in_environment(scenario)
