"""A sound backend server: a plain service or a model engine of a version."""

import asyncio
import contextlib
import itertools
import time

from review.rig import http
from review.rig.record import Record

SEAL = {"X-Savorylift-Response-Seal": "seal"}
NOT_EXECUTED = {"X-Savorylift-Not-Executed": "1"}
FIRST_BORN_MS = 1_700_000_000_000

_starts = itertools.count(FIRST_BORN_MS)


class Server:
    """Runs calls and streams as the pages say, and writes each run down.

    Attributes:
        server_id: Its ID in the store.
        address: Its IP:PORT.
        version: Version of its software, which each event of a stream names.
        runs: IDs of the attempts that it began to run.
        work_s: Time that a plain call takes.
        events: Number of events of a stream.
        interval_s: Pause before each event.
    """

    def __init__(
        self, server_id: str, service: str, address: str, record: Record
    ) -> None:
        """Creates a server that does not listen yet."""
        self.server_id = server_id
        self.service = service
        self.address = address
        self.version = "v1"
        self.zone = "z0"
        self.slots = 64
        self.runs: list[str] = []
        self.work_s = 0.05
        self.events = 100
        self.interval_s = 0.1
        self._record = record
        self._born_ms = next(_starts)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def end(self) -> None:
        """Ends as a process does: closes the socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the entry that it writes to the store, a new one each."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(http.BrokenError, ConnectionError):
                await self._answer(await http.read_request(reader), writer)
                await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, req: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        headers = req.head.headers
        if req.head.target == "/health":
            name = {"X-Savorylift-Instance-Id": self.server_id}
            writer.write(http.encode_answer(200, name, b""))
            return
        attempt = headers.get("x-savorylift-attempt-id", "")
        own = {"X-Savorylift-Attempt-Id": attempt}
        expected = headers.get("x-savorylift-expected-instance")
        if not attempt or expected not in (None, self.server_id):
            status = 421 if attempt else 400
            writer.write(http.encode_answer(status, own | NOT_EXECUTED, b""))
            return
        self.runs.append(attempt)
        self._record.add(
            "run", server=self.server_id, version=self.version, attempt=attempt
        )
        if "x-savorylift-token-counts" in headers:
            await self._stream(headers, own | SEAL, writer)
            return
        await asyncio.sleep(self.work_s)
        body = b"answer of " + attempt.encode()
        writer.write(http.encode_answer(200, own | SEAL, body))

    async def _stream(
        self,
        headers: dict[str, str],
        own: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        kind = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Connection": "close",
        }
        writer.write(http.encode_answer_head(200, own | kind))
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.interval_s)
            event = f"id: {number}\ndata: {self.version} {time.time():.3f}\n\n"
            writer.write(http.encode_chunk(event.encode()))
            await writer.drain()
        writer.write(http.encode_chunk(b""))
