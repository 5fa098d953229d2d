"""Tests of a node's process while many drafts wait for room on an engine."""

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator

import pytest

from savorylift.fleet.read_policy import POLL_PAUSE_S
from savorylift.platform.store import OPERATORS_TOPIC
from savorylift.wire.channel import Channel
from savorylift.wire.client_call import fetch, fetch_on
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.environment import configuration, route
from tests.front.process_fleet import ProcessFleet

pytestmark = [pytest.mark.processes, pytest.mark.alone]

# Look-ups, readiness and the store are served within this time (issue 62).
MAX_WAIT_S = 0.1
DRAFTS = 1000
# How long a draft waits for room: twice the objective of its route.
OBJECTIVE_MS = 5000
DRAFT_MS = 39_000
# Drafts come so many at once.
BATCH = 20
BATCH_PAUSE_S = 0.02
SETTLE_S = 0.5
WATCHED_S = 3.0
WATCH_PAUSE_S = 0.02
CALL_TIMEOUT_S = 3.0
TOKENS: Headers = (("x-savorylift-token-counts", "500,500"),)
EVENTS, EVENT_INTERVAL_S = 400, 0.05


def make_configuration(version: int, *more_paths: str) -> dict[str, object]:
    """Returns a configuration whose drafts wait long."""
    drafts = route("/stream/", "streaming", "pool") | {
        "timeoutMs": DRAFT_MS,
        "targetLatencyMs": OBJECTIVE_MS,
    }
    paths = ("/safe/", *more_paths)
    routes = [drafts, *(route(path, "safe", "app") for path in paths)]
    return configuration(version) | {"routes": routes}


class DraftFleet(ProcessFleet):
    """One node, and an engine that is busy."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Makes streams last longer than the test."""
        super().__init__(1, 1, directory)
        for engine in self.pool:
            engine.events_per_stream = EVENTS
            engine.event_interval_s = EVENT_INTERVAL_S
        (self.ip,) = self.ips

    def publish(self, cfg: dict[str, object]) -> None:
        """Writes a configuration to the store."""
        self._store.add(OPERATORS_TOPIC, "config", cfg)

    @contextlib.asynccontextmanager
    async def drafts(self, count: int) -> AsyncIterator[None]:
        """Sends drafts and reads nothing of their answers."""
        channels: list[Channel] = []
        for number in range(count):
            channel = await connect(self.ip, self.caller_port, 1.0)
            channels.append(channel)
            headers = self.headers(f"draft-{number}", DRAFT_MS) + TOKENS
            lines = "".join(f"{n}: {v}\r\n" for n, v in headers)
            head = f"POST /stream/x HTTP/1.1\r\n{lines}content-length: 0\r\n"
            channel.write(f"{head}\r\n".encode())
            if number % BATCH == 0:
                await asyncio.sleep(BATCH_PAUSE_S)
        try:
            yield
        finally:
            for channel in channels:
                channel.abort()

    def headers(self, attempt: str, left_ms: int) -> Headers:
        """Returns the headers of a caller's request."""
        return (
            ("host", "h.example"),
            ("x-savorylift-attempt-id", attempt),
            ("x-savorylift-deadline-remaining", str(left_ms)),
            ("x-api-key", "key"),
        )

    async def look_up(self, path: str) -> int:
        """Sends a request to the plain service; returns the status."""
        channel = await connect(self.ip, self.caller_port, 1.0)
        headers = self.headers("look", 3000)
        response = await fetch_on(channel, "GET", f"{path}x", headers, b"")
        return response.status

    async def count_waiting(self) -> float:
        """Returns the number of waiting drafts that the node tells."""
        page = await fetch(
            (self.ip, self._node_ports[5]),
            "GET",
            "/metrics",
            timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=CALL_TIMEOUT_S,
        )
        for line in page.body.decode().splitlines():
            if line.startswith("savorylift_front_waiting "):
                return float(line.split()[1])
        raise AssertionError(page.body)

    async def longest_s(self) -> dict[str, float]:
        """Returns the longest times that a look-up and readiness took."""
        longest = {"look-up": 0.0, "readiness": 0.0}
        until_s = time.monotonic() + WATCHED_S
        while time.monotonic() < until_s:
            began_s = time.monotonic()
            assert await self.look_up("/safe/") == 200
            looked_s = time.monotonic()
            assert await self._is_ready(self.ip)
            ready_s = time.monotonic()
            longest["look-up"] = max(longest["look-up"], looked_s - began_s)
            longest["readiness"] = max(longest["readiness"], ready_s - looked_s)
            await asyncio.sleep(WATCH_PAUSE_S)
        return longest

    async def time_until_served_s(self, path: str) -> float:
        """Returns after what time requests for a new path are served."""
        began_s = time.monotonic()
        while await self.look_up(path) != 200:
            await asyncio.sleep(WATCH_PAUSE_S)
        return time.monotonic() - began_s


def test_node_serves_all_else_at_once_while_drafts_wait(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        fleet = DraftFleet(tmp_path)
        async with fleet.running():
            fleet.app[0].delay_s = 0.0
            fleet.publish(make_configuration(2))
            await asyncio.sleep(SETTLE_S)
            async with fleet.drafts(DRAFTS):
                await asyncio.sleep(SETTLE_S)
                assert await fleet.count_waiting() > 0.9 * DRAFTS
                longest_s = await fleet.longest_s()
                assert max(longest_s.values()) < MAX_WAIT_S, longest_s
                fleet.publish(make_configuration(3, "/new/"))
                served_s = await fleet.time_until_served_s("/new/")
                assert served_s < POLL_PAUSE_S + MAX_WAIT_S
                assert await fleet.count_waiting() > 0.9 * DRAFTS

    asyncio.run(scenario())
