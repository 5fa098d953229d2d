"""Tests of planned stops of nodes, under load until they are gone."""

import asyncio
import contextlib
import pathlib
from typing import NamedTuple

import pytest

from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.environment import (
    CALL_TIMEOUT_S,
    HOST,
    NodeEnvironment,
    run_bounded,
    run_in_environment,
    run_with_timeout,
    start_and_run,
)
from tests.front.process_fleet import ProcessFleet
from tests.harness.virtual_time import run_in_virtual_time

INTERVAL_S = 0.01
# Fewest requests whose endings are judged.
LEAST_ENDINGS = 50
# So many are sent at even times on the whole, also by a process that was late;
# some are refused as the node stops.
ENOUGH_REQUESTS = 60
HEADERS: Headers = (
    ("host", "h.example"),
    ("x-savorylift-deadline-remaining", "4000"),
    ("x-api-key", "key"),
)


class Ending(NamedTuple):
    """How a request ended that was sent while the node was stopping.

    Attributes:
        status: Status of the response; 0 if it was cut off.
        retry_after: When the caller was told to return, if so.
    """

    status: int
    retry_after: str | None


class Callers:
    """Callers that use a node until it accepts no connection any more.

    Attributes:
        endings: How the requests ended that the node accepted.
        tasks: The requests.
    """

    def __init__(self, host: str, port: int, path: str) -> None:
        self._host = host
        self._port = port
        self._path = path
        self._is_refused = False
        self.tasks: list[asyncio.Task[None]] = []
        self.endings: list[Ending] = []

    async def run(self) -> None:
        """Sends requests on new connections until one is refused.

        Until there are enough of them, those that are late follow at once.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while not self._is_refused:
            attempt_id = f"a{len(self.tasks) + 1}"
            self.tasks.append(asyncio.ensure_future(self._call(attempt_id)))
            pause_s = INTERVAL_S
            if len(self.tasks) < ENOUGH_REQUESTS:
                due_s = began_s + len(self.tasks) * INTERVAL_S
                pause_s = max(due_s - loop.time(), 0.0)
            await asyncio.sleep(pause_s)
        await asyncio.gather(*self.tasks)

    async def _call(self, attempt_id: str) -> None:
        try:
            channel = await connect(self._host, self._port, 1.0)
        except OSError:
            self._is_refused = True
            return
        call = ClientCall(channel)
        headers = (*HEADERS, ("x-savorylift-attempt-id", attempt_id))
        call.send("POST", self._path, headers, b"question")
        ending = Ending(0, None)
        with contextlib.suppress(BrokenAnswerError, OSError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await call.read_response()
            ending = Ending(response.status, response.header("retry-after"))
        self.endings.append(ending)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("service_s", [0.02, 0.3, 1.5])
def test_request_accepted_while_stopping_is_answered(
    path: str, service_s: float
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.delay_s = service_s
        callers = Callers(HOST, env.ports[5], path)
        running = asyncio.ensure_future(callers.run())
        await asyncio.sleep(0.2)
        assert env.node is not None
        assert env.node_task is not None
        env.node.leave()
        await env.node_task
        await running
        statuses = [ending.status for ending in callers.endings]
        assert len(statuses) >= LEAST_ENDINGS
        assert 0 not in statuses
        assert all(e.retry_after for e in callers.endings if e.status == 503)

    run_in_environment(scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("warm_s", [0.0, 2.5])
@pytest.mark.parametrize("service_s", [0.02, 0.6, 1.5])
def test_node_that_stops_takes_no_call_that_it_cannot_end(
    service_s: float, warm_s: float, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.delay_s = service_s
        if warm_s:
            before = Callers(HOST, env.ports[5], path)
            running = asyncio.ensure_future(before.run())
            await asyncio.sleep(warm_s)
            running.cancel()
            await asyncio.gather(running, *before.tasks, return_exceptions=True)
        assert env.node is not None
        assert env.node_task is not None
        env.node.leave()
        callers = Callers(HOST, env.ports[5], path)
        running = asyncio.ensure_future(callers.run())
        await env.node_task
        await running
        statuses = {ending.status for ending in callers.endings}
        # Slow calls that may be repeated end with 504 at any time, if the
        # retry budget is used up.
        assert statuses <= {200, 503} | ({504} if path == "/safe/x" else set())
        assert all(e.retry_after for e in callers.endings if e.status == 503)
        if warm_s:
            assert 200 in statuses

    run_in_virtual_time(
        monkeypatch, lambda: run_bounded(start_and_run(scenario, 4.0))
    )


@pytest.mark.processes
@pytest.mark.parametrize("service_s", [0.02, 1.5])
def test_process_that_is_terminated_answers_until_it_is_gone(
    service_s: float, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> None:
        fleet = ProcessFleet(2, 2, tmp_path)
        ip = fleet.ips[0]
        async with fleet.running():
            for server in fleet.app:
                server.delay_s = service_s
            callers = Callers(ip, fleet.caller_port, "/once/x")
            running = asyncio.ensure_future(callers.run())
            await asyncio.sleep(0.2)
            fleet.processes[ip].terminate()
            await running
        statuses = [ending.status for ending in callers.endings]
        assert len(statuses) >= LEAST_ENDINGS
        assert 0 not in statuses

    run_with_timeout(scenario())
