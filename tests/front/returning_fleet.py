"""A fleet whose nodes are started again after each end, as a platform does."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sysconfig
import time
from collections.abc import AsyncIterator, Coroutine
from typing import Any, NamedTuple

from savorylift.front.settings import FrontSettings
from tests.front.node_fleet import Ending
from tests.front.process_fleet import ProcessFleet
from tests.harness.ports import free_addresses
from tests.harness.process import REPOSITORY_ROOT
from tests.standins.platform_server import PlatformServer
from tests.standins.platform_store import PlatformStore

PROGRAM = "deploy/node.py"
START_EVENT = "start"
SERVERS = 3
RESTART_S = 0.3
SUPERVISION_S = 0.02
CALLS_PER_S = 25.0
PATHS = ("/safe/x", "/once/x", "/stream/x")
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
REPEAT_INTERVAL_S = 0.1
SIGNAL_INTERVAL_S = 0.02
# A settings file that is written in place is truncated for longer than a start
# takes until it is read.
WRITING_S = 1.5
WRITTEN_BYTES = 100


class End(NamedTuple):
    """The end of a node's process that the test didn't cause.

    Attributes:
        ip: Address of the node.
        exit_code: Its exit code; negative for a signal.
        had_started: Whether it had logged its start.
        log: The end of its log.
    """

    ip: str
    exit_code: int
    had_started: bool
    log: str


class Served(NamedTuple):
    """A caller's request, with its retry.

    Attributes:
        started_s: Monotonic time at which it was sent.
        statuses: Status of each attempt; 0 without a whole response.
    """

    started_s: float
    statuses: tuple[int, ...]

    @property
    def is_served(self) -> bool:
        """Whether an attempt succeeded."""
        return 200 in self.statuses


class ReturningFleet(ProcessFleet):
    """A `ProcessFleet` with a supervisor and steady callers.

    Attributes:
        own_ends: Ends of nodes that the test didn't cause.
        served: Ended requests of the steady callers.
        held_back: Nodes that aren't started again for now.
        writes_in_place: Whether settings files are truncated at each start,
            and whole a moment later.
    """

    settling_s = 0.0

    def __init__(self, nodes: int, directory: pathlib.Path) -> None:
        super().__init__(nodes, SERVERS, directory)
        (bulk,) = free_addresses(1, self.ips)
        self._bulk_port = _port(bulk)
        self.own_ends: list[End] = []
        self.served: list[Served] = []
        self.held_back: set[str] = set()
        self.writes_in_place = False
        self._attempts = 0
        self._ended_by_test: set[str] = set()
        self._log_starts: dict[str, int] = {}
        self._background: set[asyncio.Task[None]] = set()
        for process in self.processes.values():
            process.environment["PYTHONPATH"] = _module_path()

    @property
    def store(self) -> PlatformStore:
        """The store of the fleet."""
        return self._store

    @contextlib.asynccontextmanager
    async def supervised(self) -> AsyncIterator[None]:
        """Runs the fleet, its supervisor and its callers."""
        async with self.running():
            self.spawn(self._supervise())
            self.spawn(self._call_steadily())
            yield

    def settings(self, ip: str) -> FrontSettings:
        """Returns the settings of a node."""
        return self._settings(ip)

    def start_node(self, ip: str) -> None:
        """Starts the process of a node that is not running."""
        path = self._directory / f"{ip}.json"
        process = self.processes[ip]
        self._ended_by_test.discard(ip)
        self._log_starts[ip] = _size(process.log_path)
        whole = self._encoded_settings(ip)
        if self.writes_in_place:
            path.write_bytes(whole[:WRITTEN_BYTES])
            loop = asyncio.get_running_loop()
            loop.call_later(WRITING_S, path.write_bytes, whole)
        else:
            path.write_bytes(whole)
        process.start("-S", PROGRAM, str(path))

    def end_nodes(
        self,
        number: signal.Signals = signal.SIGKILL,
        ips: list[str] | None = None,
    ) -> None:
        """Ends nodes with a signal at the same moment; all by default."""
        for ip in self.ips if ips is None else ips:
            if self.processes[ip].is_running:
                self._ended_by_test.add(ip)
                self.processes[ip].send_signal(number)

    async def wait_until_ended(self) -> None:
        """Waits until no node that was ended is running."""
        while any(self.processes[ip].is_running for ip in self._ended_by_test):
            await asyncio.sleep(SUPERVISION_S)

    async def wait_until_back(self) -> float:
        """Waits until all processes run; returns the monotonic time then."""
        await asyncio.sleep(RESTART_S)
        while not all(p.is_running for p in self.processes.values()):
            await asyncio.sleep(SUPERVISION_S)
        return time.monotonic()

    async def are_all_ready(self) -> bool:
        """Whether all nodes say that they are ready."""
        return all(await asyncio.gather(*map(self._is_ready, self.ips)))

    def share_served(self, since_s: float, until_s: float) -> float:
        """Returns the share served of the requests sent in a time.

        They must have ended by now.
        """
        sent = [c for c in self.served if since_s <= c.started_s < until_s]
        return sum(c.is_served for c in sent) / max(1, len(sent))

    async def measure(self, duration_s: float) -> float:
        """Returns the share served of the requests from now on."""
        since_s = time.monotonic()
        await asyncio.sleep(duration_s)
        calls = [t for t in self._background if t.get_name() == "call"]
        await asyncio.gather(*calls)
        return self.share_served(since_s, since_s + duration_s)

    async def restart_servers(self) -> None:
        """Lets all servers start again, with new IDs and processes."""
        for service, servers in (("app", self.app), ("pool", self.pool)):
            for server in servers:
                await self._restart_server(server, service)

    async def _restart_server(
        self, server: PlatformServer, service: str
    ) -> None:
        server.stop()
        server.abort_all()
        server.forget_runs()
        server.born += 1
        await server.start(server.port)
        self.restart_under_other_id(server, service)

    def remove_entries(self) -> None:
        """Removes the entries of all servers."""
        for server in (*self.app, *self.pool):
            self.remove_entry(server)

    def publish_entries(self) -> None:
        """Writes the entries of all servers."""
        for service, servers in (("app", self.app), ("pool", self.pool)):
            for server in servers:
                self.publish_entry(server, service)

    def hold_ports(self, *, all_ports: bool) -> list[socket.socket]:
        """Takes the caller ports, or all ports, of all nodes."""
        holders = []
        for ip in self.ips:
            cfg = self.settings(ip)
            holders.append(_listen(ip, _port(cfg.caller_listen)))
            if all_ports:
                holders += self._hold_others(ip, cfg)
        return holders

    def _hold_others(self, ip: str, cfg: FrontSettings) -> list[socket.socket]:
        listened = (
            _port(cfg.directory_listen),
            _port(cfg.readiness_listen),
            cfg.peer_port,
            cfg.metrics_port,
        )
        holders = [_listen(ip, port) for port in listened]
        for port in (cfg.peer_port, self._bulk_port):
            holder = socket.socket(type=socket.SOCK_DGRAM)
            holder.bind((ip, port))
            holders.append(holder)
        return holders

    async def signal_in_series(
        self, number: signal.Signals, duration_s: float
    ) -> None:
        """Sends a signal to all nodes again and again."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            for process in self.processes.values():
                process.send_signal(number)
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    def add_repeating_callers(self, count: int) -> None:
        """Starts callers that repeat at once until they are served."""
        for number in range(count):
            path = PATHS[number % len(PATHS)]
            self.spawn(self._repeat(path))

    async def _repeat(self, path: str) -> None:
        while (await self._attempt(path)).status != 200:
            await asyncio.sleep(REPEAT_INTERVAL_S)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine until it or the test ends."""
        self._spawn(coroutine, "other")

    def _spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        task = asyncio.ensure_future(coroutine)
        task.set_name(name)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _call_steadily(self) -> None:
        rng = random.Random(len(self.ips))
        while True:
            self._spawn(self._call_with_retry(rng.choice(PATHS)), "call")
            await asyncio.sleep(1 / CALLS_PER_S)

    async def _call_with_retry(self, path: str) -> None:
        first = await self._attempt(path)
        statuses = [first.status]
        if first.status != 200:
            delay_s = first.retry_after_s or RETRY_DELAY_S
            await asyncio.sleep(min(delay_s, MAX_RETRY_DELAY_S))
            statuses.append((await self._attempt(path)).status)
        self.served.append(Served(first.started_s, tuple(statuses)))

    async def _attempt(self, path: str) -> Ending:
        self._attempts += 1
        ip = self._rng.choice(self.ips)
        return await self.call(ip, path, f"b{self._attempts}")

    async def _supervise(self) -> None:
        down: set[str] = set()
        while True:
            for ip in set(self.ips) - down:
                if not self.processes[ip].is_running:
                    down.add(ip)
                    self._record_end(ip)
                    self.spawn(self._start_again(ip, down))
            await asyncio.sleep(SUPERVISION_S)

    def _record_end(self, ip: str) -> None:
        if ip in self._ended_by_test:
            return
        process = self.processes[ip]
        text = process.log_path.read_bytes()[self._log_starts[ip] :].decode()
        had_started = START_EVENT in _events(text)
        exit_code = process.wait()
        self.own_ends.append(
            End(ip, exit_code, had_started, process.log_tail())
        )

    async def _start_again(self, ip: str, down: set[str]) -> None:
        await asyncio.sleep(RESTART_S)
        while ip in self.held_back:
            await asyncio.sleep(SUPERVISION_S)
        self.start_node(ip)
        down.discard(ip)

    def _settings(self, ip: str) -> FrontSettings:
        return super()._settings(ip)._replace(bulk_port=self._bulk_port)


def _module_path() -> str:
    """Returns where a process without `site` finds the node and its needs."""
    source = REPOSITORY_ROOT / "src"
    return os.pathsep.join((str(source), sysconfig.get_path("purelib")))


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _listen(ip: str, port: int) -> socket.socket:
    """Takes a port, which connections that have ended may still use."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((ip, port))
    holder.listen()
    return holder


def _size(path: pathlib.Path) -> int:
    return path.stat().st_size if path.exists() else 0


def _events(text: str) -> set[str]:
    """Returns the names of the events in a log."""
    lines = [line for line in text.splitlines() if line.startswith("{")]
    return {str(json.loads(line)["event"]) for line in lines}
