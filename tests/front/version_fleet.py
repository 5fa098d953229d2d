"""Fleets whose engines have software versions, and what callers get there.

Every event says the version of the server that wrote it.
"""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

from savorylift.front.settings import FrontSettings
from savorylift.settings import TlsSettings
from savorylift.wire.message import Headers
from tests.front.cut_node import (
    CUT_SIGNAL,
    HEAL_SIGNAL,
    SERVER_CUT_SIGNAL,
    STORE_CUT_SIGNAL,
)
from tests.front.node_fleet import (
    GENERATION_PATHS,
    START_TIMEOUT_S,
    NodeFleet,
)
from tests.front.process_fleet import ProcessFleet
from tests.front.stream_callers import Call, FreshCaller, StreamCaller
from tests.standins.platform_server import PlatformServer
from tests.standins.platform_store import PlatformStore

ENGINES = 4
EVENTS = 12
BREAK_AFTER = 4
STREAM_TIMEOUT_S = 8.0
PATH = "/resumable/x"
POLL_INTERVAL_S = 0.05
# Time between two entries of an engine.
HEARTBEAT_S = 1.2
SOURCE_VARIABLE = "PYTHONPATH"


class Part(NamedTuple):
    """What a caller got in one attempt.

    Attributes:
        status: Status of the response; 0 if there was none.
        versions: Software version of each event.
        is_whole: Whether the stream ended as complete.
        took_s: Time until the response ended.
        retry_after: When to return, if the response said so.
        numbers: Number of each event.
        build: Build of the node that was asked.
    """

    status: int
    versions: list[str]
    is_whole: bool
    took_s: float
    retry_after: str | None = None
    numbers: tuple[int, ...] = ()
    build: str = ""


class VersionFleet(NodeFleet):
    """Two engines of each of two versions; streams break off once.

    Attributes:
        caller: Sends the requests.
        path: Path of the requests.
        max_pause_s: Pause after which callers abandon a stream; None for none.
    """

    path = PATH
    max_pause_s: float | None = None

    def __init__(self, nodes: int = 2) -> None:
        super().__init__(nodes, ENGINES)
        self.caller: StreamCaller = FreshCaller()
        self._set_up_engines()

    def _set_up_engines(self) -> None:
        self.set_versions("v1", "v1", "v2", "v2")
        for server in self.pool:
            server.says_version = True
            server.events_per_stream = EVENTS
            server.resets_after = BREAK_AFTER

    def set_versions(self, *versions: str) -> None:
        """Sets the software version of each engine."""
        for server, version in zip(self.pool, versions, strict=True):
            server.software_version = version

    @contextlib.asynccontextmanager
    async def heartbeats(
        self, servers: Sequence[PlatformServer]
    ) -> AsyncIterator[None]:
        """Lets engines write their entries regularly, each at its moment."""

        async def write(number: int, server: PlatformServer) -> None:
            await asyncio.sleep(number * HEARTBEAT_S / len(servers))
            while True:
                self.publish_entry(server, "pool")
                await asyncio.sleep(HEARTBEAT_S)

        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(write(number, server))
                for number, server in enumerate(servers)
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()

    async def stream(
        self,
        node: int,
        attempt: str,
        extra: Headers = (),
        counts: str = "100,50",
    ) -> Part:
        """Sends a request for a stream and reads it to its end."""
        headers: Headers = (
            ("host", "h.example"),
            ("x-savorylift-attempt-id", attempt),
            ("x-savorylift-deadline-remaining", "6000"),
            ("x-api-key", "key"),
            *extra,
        )
        if self.path.startswith(GENERATION_PATHS):
            headers += (("x-savorylift-token-counts", counts),)
        ip = self.ips[node]
        build = self._build(ip)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await self.caller.ask(
            ip,
            self.caller_port,
            Call(
                self.path,
                headers,
                b"question " + attempt.encode(),
                STREAM_TIMEOUT_S,
                self.max_pause_s,
            ),
        )
        return Part(
            answer.status,
            versions(answer.data),
            answer.is_whole,
            loop.time() - began_s,
            answer.headers.get("retry-after"),
            numbers(answer.data),
            build,
        )

    def _build(self, ip: str) -> str:
        """Returns the build that a node runs; empty for this one."""
        return ""

    async def take_up(
        self, node: int, attempt: str, part: Part, first: str
    ) -> Part:
        """Takes a stream up that the attempt `first` began."""
        extra = (("last-event-id", str(len(part.versions))), ("resumes", first))
        return await self.stream(node, attempt, extra)

    async def take_up_all(self, node: int, parts: list[Part]) -> list[Part]:
        """Takes up all streams that `broken_streams` returned."""
        return await asyncio.gather(
            *(
                self.take_up(node, f"t{number}", part, f"s{number}")
                for number, part in enumerate(parts)
            )
        )

    async def streams(self, count: int, node: int = 0) -> list[Part]:
        """Returns streams that `take_up_all` may take up."""
        names = [f"s{number}" for number in range(count)]
        return await asyncio.gather(*(self.stream(node, n) for n in names))

    async def broken_streams(self, count: int, node: int = 0) -> list[Part]:
        """Returns streams that broke off and did not go on."""
        for server in self.pool:
            server.rejects_resumed = True
        parts = await self.streams(count, node)
        for server in self.pool:
            server.rejects_resumed = False
        assert all(len(part.versions) == BREAK_AFTER for part in parts)
        assert not any(part.is_whole for part in parts)
        return parts


class VersionProcessFleet(VersionFleet, ProcessFleet):
    """The same, with a process for each node, which can be cut off.

    Attributes:
        caller_tls: TLS files of the nodes; None for plain connections.
    """

    program = "tests.front.cut_node"

    def __init__(self, nodes: int, directory: pathlib.Path) -> None:
        ProcessFleet.__init__(self, nodes, ENGINES, directory)
        self.caller = FreshCaller()
        self.caller_tls: TlsSettings | None = None
        self._other_source: pathlib.Path | None = None
        self._set_up_engines()

    @property
    def store(self) -> PlatformStore:
        """The store of the fleet."""
        return self._store

    def use_source(self, nodes: int, source: pathlib.Path) -> None:
        """Lets the last nodes run the program of another source tree."""
        self._other_source = source
        for ip in self.ips[len(self.ips) - nodes :]:
            self.switch_build(ip)

    def switch_build(self, ip: str) -> None:
        """Lets a node start with the other source tree from now on, or back."""
        environment = self.processes[ip].environment
        if self._build(ip):
            del environment[SOURCE_VARIABLE]
        elif self._other_source is not None:
            environment[SOURCE_VARIABLE] = str(self._other_source)

    def _build(self, ip: str) -> str:
        return self.processes[ip].environment.get(SOURCE_VARIABLE, "")

    def _settings(self, ip: str) -> FrontSettings:
        return super()._settings(ip)._replace(caller_tls=self.caller_tls)

    def kill(self, nodes: int) -> None:
        """Kills the first nodes at the same moment."""
        self.kill_nodes(self.ips[:nodes])

    def kill_nodes(self, ips: list[str]) -> None:
        """Kills nodes at the same moment."""
        for ip in ips:
            self.processes[ip].kill()

    async def start_again(self, nodes: int) -> None:
        """Starts the first nodes again and waits until they are ready."""
        await self.start_nodes_again(self.ips[:nodes])

    async def start_nodes_again(self, ips: list[str]) -> None:
        """Starts nodes again and waits until they are ready."""
        for ip in ips:
            self.start_node(ip)
        async with asyncio.timeout(START_TIMEOUT_S):
            for ip in ips:
                await self._ready(ip)

    async def roll(self, *, switches_build: bool = False) -> None:
        """Ends each node with SIGTERM and starts it again, one by one."""
        for ip in self.ips:
            self.processes[ip].terminate()
            await self.start_when_ended(ip, switches_build=switches_build)

    async def start_when_ended(
        self, ip: str, *, switches_build: bool = False
    ) -> None:
        """Waits for the end of a node and starts it again."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.processes[ip].is_running:
                await asyncio.sleep(POLL_INTERVAL_S)
            if switches_build:
                self.switch_build(ip)
            self.start_node(ip)
            await self._ready(ip)

    def cut_off_nodes(self, ips: list[str]) -> None:
        """Cuts nodes off from all other nodes; servers and store are heard."""
        for ip in ips:
            self.processes[ip].send_signal(CUT_SIGNAL)

    def cut_off_store(self, ip: str) -> None:
        """Lets a node's new connections to the store hang until it heals."""
        self.processes[ip].send_signal(STORE_CUT_SIGNAL)

    def cut_off_servers(self, ip: str) -> None:
        """Lets a node reach neither servers nor the store any more."""
        self.processes[ip].send_signal(SERVER_CUT_SIGNAL)

    def heal_nodes(self, ips: list[str] | None = None) -> None:
        """Ends the cuts of nodes, or of all; each must have started."""
        for ip in self.ips if ips is None else ips:
            self.processes[ip].send_signal(HEAL_SIGNAL)

    async def _ready(self, ip: str) -> None:
        while not await self._is_ready(ip):
            await asyncio.sleep(POLL_INTERVAL_S)


def versions(data: bytes) -> list[str]:
    """Returns the software version of each event."""
    return fields(data, "data: ")


def numbers(data: bytes) -> tuple[int, ...]:
    """Returns the number of each event."""
    return tuple(int(text) for text in fields(data, "id: "))


def fields(data: bytes, name: str) -> list[str]:
    """Returns the values of a field of all complete events."""
    complete, _, _ = data.rpartition(b"\n\n")
    lines = complete.decode().splitlines()
    return [line.removeprefix(name) for line in lines if line.startswith(name)]


def join(parts: list[Part], rests: list[Part]) -> list[list[str]]:
    """Returns the versions that each caller got in two attempts."""
    return [
        part.versions + rest.versions
        for part, rest in zip(parts, rests, strict=True)
    ]


def mixed(*streams: list[str]) -> list[list[str]]:
    return [events for events in streams if len(set(events)) > 1]
