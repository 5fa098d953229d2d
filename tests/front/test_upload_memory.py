"""Tests of a node's memory while many callers upload large bodies at once."""

import asyncio
import contextlib
import itertools
import pathlib
import random
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from savorylift.platform.store import OPERATORS_TOPIC
from tests.front.environment import configuration, limits
from tests.front.process_fleet import ProcessFleet
from tests.front.test_endless_bytes import BLOCK, HEAD
from tests.front.test_endless_memory import CALLS, MAX_NODE_KB, peak_kb
from tests.front.test_fair_input import PacedServer

# The operator's limit on bodies.
MAX_BODY_BYTES = 4_194_304
MIN_BODY_BYTES = 70_000
SERVERS = 2
CALLERS = 60
# Callers among them whose body is as large as it may be.
LARGEST = 45
# So many bodies fit into a quarter of the node's memory.
MIN_SERVED = 8
SERVE_S = 0.3
# Time that callers have for a call, and in which it must be answered.
TIME_LEFT_S = 4.0
# Small calls must have their answers as soon as this, beside the node's work
# for the uploads.
MAX_SMALL_S = 2.0
SMALL_CALLS = 20
SMALL_INTERVAL_S = 0.1
# Callers that send a part of their body, and then nothing.
STALLED = 40
STALL_TIMEOUT_MS = 1_000
# Idle connections must stay open for as long as a test takes.
KEPT_TIMEOUT_MS = 30_000
PIECE_BYTES = 65_536
SEED = 7

pytestmark = pytest.mark.processes
_numbers = itertools.count()


class Outcome(NamedTuple):
    """How an upload ended.

    Attributes:
        attempt: ID of the attempt.
        status: Status of the answer; 0 if there was none.
        head: Head of the answer, in lower case.
        took_s: Time until the answer.
    """

    attempt: str
    status: int
    head: str
    took_s: float


class UploadFleet(ProcessFleet):
    """One node whose configuration admits large bodies."""

    @property
    def ip(self) -> str:
        """Address of the node."""
        return self.ips[0]

    @property
    def runs(self) -> list[str]:
        """Attempts that the servers have run."""
        return [run for server in self.app for run in server.runs]

    async def admit_large_bodies(
        self, idle_timeout_ms: int = STALL_TIMEOUT_MS
    ) -> None:
        """Publishes the limits, and waits until they are in force."""
        large = limits() | {
            "maxBodyBytes": MAX_BODY_BYTES,
            "idleTimeoutMs": idle_timeout_ms,
        }
        cfg = configuration(2) | {"limits": large}
        self._store.add(OPERATORS_TOPIC, "config", cfg)
        for server in self.app:
            server.delay_s = SERVE_S
        await asyncio.sleep(1.0)

    def peak_kb(self) -> int:
        """Returns the node's largest memory so far; it must be running."""
        process = self.processes[self.ip]
        assert process.is_running
        return peak_kb(process.pid)

    async def upload(
        self, body: bytes, sent: int | None = None, *, chunked: bool = False
    ) -> Outcome:
        """Sends an upload and reads its answer.

        Args:
            body: The body.
            sent: How many bytes of it to send, without chunks; None for all.
            chunked: Whether to send it in chunks.
        """
        attempt = f"up{next(_numbers)}"
        began_s = time.monotonic()
        text = ""
        with contextlib.suppress(OSError, EOFError):
            async with asyncio.timeout(TIME_LEFT_S + 1.0):
                text = await self._send(attempt, body, sent, chunked=chunked)
        status = int(text.split()[1]) if text else 0
        return Outcome(attempt, status, text, time.monotonic() - began_s)

    async def _send(
        self, attempt: str, body: bytes, sent: int | None, *, chunked: bool
    ) -> str:
        reader, writer = await asyncio.open_connection(
            self.ip, self.caller_port
        )
        framing = f"Content-Length: {len(body)}"
        if chunked:
            framing = "Transfer-Encoding: chunked"
        writer.write(head(attempt, framing))
        pieces = encode_chunks(body) if chunked else iter([body[:sent]])
        sending = asyncio.ensure_future(send_pieces(writer, pieces))
        try:
            answer = await reader.readuntil(b"\r\n\r\n")
        finally:
            sending.cancel()
            writer.close()
        return answer.decode().lower()


def head(attempt: str, framing: str) -> bytes:
    """Returns the head of an upload."""
    return (
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
        f"X-Savorylift-Attempt-Id: {attempt}\r\n"
        f"X-Savorylift-Deadline-Remaining: {TIME_LEFT_S * 1000:.0f}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def encode_chunks(body: bytes) -> Iterator[bytes]:
    """Returns a body in chunks."""
    for start in range(0, len(body), PIECE_BYTES):
        piece = body[start : start + PIECE_BYTES]
        yield b"%x\r\n%b\r\n" % (len(piece), piece)
    yield b"0\r\n\r\n"


async def send_pieces(
    writer: asyncio.StreamWriter, pieces: Iterator[bytes]
) -> None:
    """Sends pieces as fast as they are taken."""
    with contextlib.suppress(OSError):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()


def bodies() -> list[bytes]:
    """Returns the bodies of all callers."""
    rng = random.Random(SEED)
    largest = rng.randbytes(MAX_BODY_BYTES)
    sizes = [
        rng.randrange(MIN_BODY_BYTES, MAX_BODY_BYTES)
        for _ in range(CALLERS - LARGEST)
    ]
    drawn = [largest] * LARGEST + [largest[:size] for size in sizes]
    rng.shuffle(drawn)
    return drawn


async def call_meanwhile(fleet: UploadFleet) -> None:
    """Sends small calls, and waits until they have ended."""
    for _ in range(SMALL_CALLS):
        fleet.start_call(fleet.ip, "/safe/x")
        await asyncio.sleep(SMALL_INTERVAL_S)
    while len(fleet.endings) < SMALL_CALLS:
        await asyncio.sleep(SMALL_INTERVAL_S)


# Its ten bodies of 4 MB at a time share their calls' 2 s with all other tests.
@pytest.mark.alone
@pytest.mark.parametrize("chunked", [False, True])
def test_bursts_of_uploads_leave_a_node_its_memory(
    *, chunked: bool, tmp_path: pathlib.Path
) -> None:
    """A node that held each caller's body ran out of memory."""

    async def scenario() -> None:
        fleet = UploadFleet(1, SERVERS, tmp_path)
        async with fleet.running():
            await fleet.admit_large_bodies()
            *outcomes, _ = await asyncio.gather(
                *(fleet.upload(b, chunked=chunked) for b in bodies()),
                call_meanwhile(fleet),
            )
            assert fleet.peak_kb() < MAX_NODE_KB
            runs = fleet.runs
            uploads = [o for o in outcomes if o is not None]
            assert {o.status for o in uploads} <= {200, 503}
            refused = [o for o in uploads if o.status == 503]
            assert all("retry-after: " in o.head for o in refused)
            assert not {o.attempt for o in refused} & set(runs)
            assert max(o.took_s for o in uploads) < TIME_LEFT_S
            assert len(uploads) - len(refused) >= MIN_SERVED
            assert {e.status for e in fleet.endings} == {200}
            assert max(e.took_s for e in fleet.endings) < MAX_SMALL_S

    asyncio.run(scenario())


def test_uploads_beside_endless_answers_leave_a_node_its_memory(
    tmp_path: pathlib.Path,
) -> None:
    """Bodies and answers that each fit exceeded the memory together."""

    async def scenario() -> None:
        fleet = UploadFleet(1, SERVERS, tmp_path)
        async with fleet.running(), contextlib.AsyncExitStack() as stack:
            await fleet.admit_large_bodies()
            for server in fleet.app:
                server.stop()
                endless = PacedServer(server.port, HEAD + b"\r\n", BLOCK)
                stack.enter_context(endless.listening())
            for _ in range(CALLS):
                fleet.start_call(fleet.ip, "/once/")
            await asyncio.gather(*map(fleet.upload, bodies()))
            assert fleet.peak_kb() < MAX_NODE_KB

    asyncio.run(scenario())


def test_kept_connections_keep_no_bodies(tmp_path: pathlib.Path) -> None:
    """Each idle connection held the body of its last request."""

    async def scenario() -> None:
        fleet = UploadFleet(1, SERVERS, tmp_path)
        async with fleet.running(), contextlib.AsyncExitStack() as stack:
            await fleet.admit_large_bodies(KEPT_TIMEOUT_MS)
            for server in fleet.app:
                server.delay_s = 0.0
            body = bytes(MAX_BODY_BYTES)
            for number in range(CALLERS):
                reader, writer = await asyncio.open_connection(
                    fleet.ip, fleet.caller_port
                )
                stack.callback(writer.close)
                framing = f"Content-Length: {MAX_BODY_BYTES}"
                writer.write(head(f"kept{number}", framing))
                writer.write(body)
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 200")
                assert b"connection: close" not in answer.lower()
            assert fleet.peak_kb() < MAX_NODE_KB

    asyncio.run(scenario())


def test_callers_that_stall_do_not_keep_the_memory_for_bodies(
    tmp_path: pathlib.Path,
) -> None:
    """What stalled uploads hold must be free again after the time-out."""

    async def scenario() -> None:
        fleet = UploadFleet(1, SERVERS, tmp_path)
        async with fleet.running():
            await fleet.admit_large_bodies()
            body = bytes(MAX_BODY_BYTES)
            stalled = [
                fleet.upload(body, MAX_BODY_BYTES // 2) for _ in range(STALLED)
            ]
            outcomes = await asyncio.gather(*stalled)
            assert {o.status for o in outcomes} == {408, 503}
            assert fleet.runs == []
            assert fleet.peak_kb() < MAX_NODE_KB
            assert (await fleet.upload(body)).status == 200

    asyncio.run(scenario())
