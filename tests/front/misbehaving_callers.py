"""Crowds of callers that don't behave, at all paths of one node's process."""

import asyncio
import contextlib
import itertools
import pathlib
import socket
from collections.abc import AsyncIterator, Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS_TOPIC
from savorylift.wire.channel import Channel
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.environment import configuration
from tests.front.limited_node import DESCRIPTORS_VARIABLE
from tests.front.process_fleet import ProcessFleet
from tests.front.test_endless_memory import peak_kb
from tests.harness.certificates import client_context

MAX_BODY_BYTES = 4_194_304
MAX_HEAD_BYTES = 65_536
ORDINARY_BODY_BYTES = 65_536
# What the system buffers for a caller that doesn't read.
RECEIVE_BUFFER_BYTES = 4096
SAMPLE_S = 0.1
# An ordinary caller that is refused, or whose connection is closed, returns.
TRIES = 15
TRY_TIMEOUT_S = 3.0
TRY_INTERVAL_S = 1.0
REFUSED_STATUSES = frozenset({429, 503})

# What a caller does: bytes to send, and pauses in seconds. Then it stays.
Script = Iterator[bytes | float]


class Place(NamedTuple):
    """Where a request goes.

    Attributes:
        name: Name of the place.
        port: Port of the node.
        target: Path and query.
        headers: Headers beside the host.
        method: Method of an ordinary request.
        statuses: Statuses that an ordinary request may get.
        has_tls: Whether connections use TLS.
    """

    name: str
    port: int
    target: str
    headers: Headers = ()
    method: str = "GET"
    statuses: frozenset[int] = frozenset({200})
    has_tls: bool = False

    def head(self, *lines: str) -> bytes:
        """Returns the head of a request, with more lines at its end."""
        return self.open_head() + "".join(
            f"{line}\r\n" for line in (*lines, "")
        ).encode("latin-1")

    def open_head(self) -> bytes:
        """Returns the beginning of a head, which lacks its end."""
        lines = (
            f"POST {self.target} HTTP/1.1",
            "Host: h.example",
            *(f"{name}: {value}" for name, value in self.headers),
        )
        return "".join(f"{line}\r\n" for line in lines).encode()


class Watch(NamedTuple):
    """What was seen of the node's process while a crowd was there.

    Attributes:
        descriptors: Most that were open.
        peak_kb: Its largest memory.
        answered: Names of the places that answered an ordinary request.
    """

    descriptors: int
    peak_kb: int
    answered: set[str]


class CrowdedFleet(ProcessFleet):
    """One node with low limits, and crowds of callers."""

    program = "tests.front.limited_node"

    def __init__(
        self,
        directory: pathlib.Path,
        descriptors: int,
        changes: Mapping[str, object],
    ) -> None:
        """Sets the limits of the node.

        Args:
            directory: Where the node's files are.
            descriptors: Most descriptors of its process.
            changes: Settings that differ from those of other tests.
        """
        super().__init__(1, 1, directory)
        self._changes = changes
        (self.ip,) = self.ips
        limit = {DESCRIPTORS_VARIABLE: str(descriptors)}
        self.processes[self.ip].environment.update(limit)

    def _settings(self, ip: str) -> FrontSettings:
        return super()._settings(ip)._replace(**self._changes)  # type: ignore[arg-type]

    async def admit_large_requests(self) -> None:
        """Publishes limits that let callers send much and take long."""
        cfg = configuration(2) | {
            "limits": {
                "maxHeaderBytes": MAX_HEAD_BYTES,
                "maxBodyBytes": MAX_BODY_BYTES,
                "headerTimeoutMs": 30_000,
                "idleTimeoutMs": 60_000,
            }
        }
        self._store.add(OPERATORS_TOPIC, "config", cfg)
        await asyncio.sleep(1.0)

    def places(self) -> list[Place]:
        """Returns all places at which the node takes requests."""
        _, caller, directory, ready, peer, metrics = self._node_ports
        own: Headers = (
            ("X-Api-Key", "key"),
            ("X-Savorylift-Attempt-Id", "crowd"),
            ("X-Savorylift-Deadline-Remaining", "60000"),
        )
        ok = frozenset({200})
        state = f"/state?0.0.0.{self.ip}"
        return [
            Place("route", caller, "/safe/x", own, "POST", ok),
            Place("no route", caller, "/none", own, "POST", frozenset({404})),
            Place("ready", ready, "/readiness"),
            Place("directory", directory, "/resolution?name=h.example"),
            Place("metrics", metrics, "/metrics"),
            Place("status", metrics, "/status"),
            Place("nodes", peer, state, (), "GET", frozenset({200, 503})),
            Place(
                "handed over",
                peer,
                "/safe/x",
                (*own, ("Savorylift-Relay", "1")),
                "POST",
                ok,
            ),
        ]

    async def watch_crowd(
        self,
        callers: int,
        way: Callable[[Place], Script],
        send_s: float,
        crowded: Sequence[Place] | None = None,
        arriving_s: float = 0.0,
    ) -> Watch:
        """Lets a crowd come, and then one ordinary caller to each place.

        Args:
            callers: Callers at each place with a crowd.
            way: What each of them does.
            send_s: When the ordinary callers come.
            crowded: Where the crowd comes; None for all places.
            arriving_s: Time over which the crowd comes.
        """
        process = self.processes[self.ip]
        places = self.places()
        crowd = (places if crowded is None else list(crowded)) * callers
        async with contextlib.AsyncExitStack() as stack:
            counts = await stack.enter_async_context(
                sampled_descriptors(process.pid)
            )
            for number, place in enumerate(crowd):
                delay_s = arriving_s * number / len(crowd)
                caller = run_caller(self.ip, place, way(place), delay_s)
                task = asyncio.ensure_future(caller)
                stack.callback(task.cancel)
            await asyncio.sleep(send_s)
            answers = await asyncio.gather(*map(self._is_answered, places))
            # Such a fault must show as itself: the process is gone.
            assert process.is_running, process.log_tail()
            answered = {
                place.name
                for place, is_answered in zip(places, answers, strict=True)
                if is_answered
            }
            return Watch(max(counts), peak_kb(process.pid), answered)

    async def _is_answered(self, place: Place) -> bool:
        for _ in range(TRIES):
            with contextlib.suppress(OSError, BrokenAnswerError):
                status = await self._call_place(place)
                if status in place.statuses:
                    return True
                assert status in REFUSED_STATUSES, (place.name, status)
            await asyncio.sleep(TRY_INTERVAL_S)
        return False

    async def _call_place(self, place: Place) -> int:
        """Sends one ordinary request; returns the status of its answer."""
        body = bytes(ORDINARY_BODY_BYTES) if place.method == "POST" else b""
        async with asyncio.timeout(TRY_TIMEOUT_S):
            channel = await _connect(self.ip, place)
            call = ClientCall(channel)
            headers = _ordinary_headers(place)
            try:
                call.send(place.method, place.target, headers, body)
                return (await call.read_response()).status
            finally:
                call.close()


_numbers = itertools.count()


async def _connect(ip: str, place: Place) -> Channel:
    """Opens a connection as an ordinary caller does."""
    if not place.has_tls:
        return await connect(ip, place.port, TRY_TIMEOUT_S)
    _, channel = await asyncio.get_running_loop().create_connection(
        Channel, ip, place.port, ssl=client_context()
    )
    return channel


def _ordinary_headers(place: Place) -> Headers:
    """Returns the headers of an ordinary request, which is an attempt anew."""
    values = {
        "X-Savorylift-Attempt-Id": f"ordinary{next(_numbers)}",
        "X-Savorylift-Deadline-Remaining": f"{TRY_TIMEOUT_S * 1000:.0f}",
    }
    return (
        ("host", "h.example"),
        *((name, values.get(name, value)) for name, value in place.headers),
    )


@contextlib.asynccontextmanager
async def sampled_descriptors(pid: int) -> AsyncIterator[list[int]]:
    """Counts the open descriptors of a process again and again."""
    counts: list[int] = []

    async def sample() -> None:
        while True:
            with contextlib.suppress(OSError):
                found = pathlib.Path(f"/proc/{pid}/fd").iterdir()
                counts.append(sum(1 for _ in found))
            await asyncio.sleep(SAMPLE_S)

    task = asyncio.ensure_future(sample())
    try:
        yield counts
    finally:
        task.cancel()


async def run_caller(
    ip: str, place: Place, script: Script, delay_s: float = 0.0
) -> None:
    """Follows a script, never reads, and stays until it is cancelled."""
    await asyncio.sleep(delay_s)
    tls = client_context() if place.has_tls else None
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    writer: asyncio.StreamWriter | None = None
    try:
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (ip, place.port))
            _, writer = await asyncio.open_connection(
                sock=sock,
                limit=1000,
                ssl=tls,
                server_hostname=ip if tls else None,
            )
            if tls:
                # Otherwise, it would answer the notice that ends a connection.
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            for step in script:
                if isinstance(step, float):
                    await asyncio.sleep(step)
                    continue
                writer.write(step)
                await writer.drain()
        # Also where the node has closed the connection.
        await asyncio.Event().wait()
    finally:
        if writer is not None:
            writer.transport.abort()
        sock.close()
