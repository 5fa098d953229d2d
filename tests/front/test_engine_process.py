"""Tests of engines that are processes."""

import asyncio
import json
import pathlib
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from savorylift.wire.channel import Channel
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers, Response
from tests.front.engine_process import EngineProcess
from tests.harness.ports import free_addresses

pytestmark = pytest.mark.processes
TIMEOUT_S = 5.0
STREAMS = 3
CLOSE_INTERVAL_S = 0.1
LONG_EVENTS = 500
Scenario = Callable[[EngineProcess, EngineProcess], Coroutine[Any, Any, None]]


def test_changed_attributes_hold_in_the_process(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(engine: EngineProcess, _: EngineProcess) -> None:
        engine.rejects_all = True
        await _eventually(lambda: _status(engine, 503))
        engine.rejects_all = False
        await _eventually(lambda: _status(engine, 200))

    _run(scenario, tmp_path)


def test_process_tells_of_arrivals_reports_and_first_events(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(engine: EngineProcess, _: EngineProcess) -> None:
        begun: list[int] = []
        engine.on_event = begun.append
        began_s = time.monotonic()
        await _ask(engine, "/report")
        await _stream(engine, "a1")
        await _eventually(lambda: _is(len(begun) == 1))
        assert len(engine.arrivals) == 2
        assert engine.reports == 1
        assert began_s < engine.arrivals[0] < time.monotonic()
        engine.kill()
        await engine.start(engine.port)
        await _ask(engine, "/report")
        await _eventually(lambda: _is(engine.reports == 2))

    _run(scenario, tmp_path)


def test_run_goes_on_at_the_process_that_has_its_copy(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(engine: EngineProcess, other: EngineProcess) -> None:
        engine.events_per_stream = LONG_EVENTS
        stream = asyncio.ensure_future(_stream(engine, "a1"))
        move = {"id": "a1", "to": f"127.0.0.1:{other.port}"}
        body = json.dumps(move).encode()
        await _eventually(lambda: _status(engine, 200, "/kv-move", body))
        handle = f"127.0.0.1:{other.port}/h-a1"
        moved = (("kv-from", handle), ("last-event-id", "3"))
        response = await _stream(other, "a1", moved)
        assert response.status == 200
        assert response.body.startswith(b"id: 4\n")
        again = await _stream(other, "a1", moved)
        assert again.status == 503
        stream.cancel()
        other.kill()
        lost = await _ask(engine, "/kv-move", body)
        assert lost.status in {404, 503}

    _run(scenario, tmp_path)


@pytest.mark.parametrize("is_killed", [True, False])
def test_streams_of_a_process_that_ends_are_closed_in_order(
    *, is_killed: bool, tmp_path: pathlib.Path
) -> None:
    async def scenario(engine: EngineProcess, _: EngineProcess) -> None:
        engine.has_unframed_streams = True
        engine.close_interval_s = CLOSE_INTERVAL_S
        engine.events_per_stream = LONG_EVENTS
        channels = [await _begin(engine, f"a{n}") for n in range(STREAMS)]
        ends = [asyncio.ensure_future(_read_end(ch)) for ch in channels]
        born = engine.born
        if is_killed:
            engine.kill()
        else:
            await engine.terminate()
        ended_s = await asyncio.gather(*ends)
        took_s = max(ended_s) - min(ended_s)
        assert is_killed == (took_s < CLOSE_INTERVAL_S)
        await engine.start(engine.port)
        assert engine.born > born
        assert (await _ask(engine, "/report")).status == 200

    _run(scenario, tmp_path)


def test_process_that_crashes_starts_again_under_another_id(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(engine: EngineProcess, _: EngineProcess) -> None:
        restarted: list[str] = []
        engine.on_restart = restarted.append
        engine.kill()
        engine.deadly_part = "0a"
        await engine.start(engine.port)
        with pytest.raises(BrokenAnswerError):
            await _stream(engine, "a1", (("x-savorylift-prompt-prefix", "0a"),))
        await _eventually(lambda: _is(bool(restarted)))
        assert restarted == ["e0"]
        assert engine.server_id == "e0.1"
        assert engine.crashes == 1
        assert (await _stream(engine, "a2")).status == 200

    _run(scenario, tmp_path)


def _run(scenario: Scenario, directory: pathlib.Path) -> None:
    async def main() -> None:
        engines = [EngineProcess(f"e{n}", directory) for n in range(2)]
        addresses = free_addresses(len(engines))
        try:
            for engine, address in zip(engines, addresses, strict=True):
                await engine.start(int(address.partition(":")[2]))
            await scenario(*engines)
        finally:
            for engine in engines:
                engine.close()

    asyncio.run(main())


async def _eventually(
    condition: Callable[[], Coroutine[Any, Any, bool]],
) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.02)


async def _is(value: bool) -> bool:  # noqa: FBT001
    return value


async def _status(
    engine: EngineProcess, status: int, target: str = "", body: bytes = b""
) -> bool:
    if target:
        response = await _ask(engine, target, body)
    else:
        response = await _stream(engine, "a0")
    return response.status == status


async def _ask(
    engine: EngineProcess,
    target: str,
    body: bytes = b"",
    headers: Headers = (),
) -> Response:
    return await fetch(
        ("127.0.0.1", engine.port),
        "POST" if body else "GET",
        target,
        headers=headers,
        body=body,
        timeout_s=TIMEOUT_S,
        connect_timeout_s=TIMEOUT_S,
    )


async def _stream(
    engine: EngineProcess, attempt: str, extra: Headers = ()
) -> Response:
    headers = (*_stream_headers(engine, attempt), *extra)
    return await _ask(engine, "/stream/x", b"question", headers)


def _stream_headers(engine: EngineProcess, attempt: str) -> Headers:
    return (
        ("x-savorylift-attempt-id", attempt),
        ("x-savorylift-expected-instance", engine.server_id),
        ("x-savorylift-token-counts", "100,50"),
    )


async def _begin(engine: EngineProcess, attempt: str) -> Channel:
    """Returns the connection of a stream that has begun."""
    channel = await connect("127.0.0.1", engine.port, TIMEOUT_S)
    headers = (("host", "h"), *_stream_headers(engine, attempt))
    lines = ["GET /stream/x HTTP/1.1", *(f"{k}: {v}" for k, v in headers)]
    channel.write("\r\n".join([*lines, "", ""]).encode())
    while b"id: 1" not in await channel.read():
        pass
    return channel


async def _read_end(channel: Channel) -> float:
    """Returns when a stream ended; it isn't reset."""
    while await channel.read():
        pass
    channel.abort()
    return time.monotonic()
