"""A small backend server of the users' platform: plain or model engine."""

import asyncio
import json
from typing import NamedTuple

from savorylift.wire.listener import Listener
from savorylift.wire.message import Headers, Request
from savorylift.wire.server_connection import (
    InputLimits,
    ServerConnection,
)

SEAL = ("x-savorylift-response-seal", "seal")
NOT_RUN = ("x-savorylift-not-executed", "1")
STEP_S = 0.01


class Handle(NamedTuple):
    """Memory of a run that was copied.

    Attributes:
        attempt_id: The run.
        events: Events that it had made.
    """

    attempt_id: str
    events: int


class PlatformServer:
    """Answers requests as a test says, and remembers which it ran.

    Attributes:
        server_id: Its identifier.
        runs: Attempts that it ran, in order.
        headers: Headers of the last request.
        body: Body of the last request.
        status: Status of its answers.
        delay_s: Time before an answer.
        sheds: Whether it rejects every request as not run.
        breaks_after: Bytes or events after which it breaks off; None never.
        events: Events of a stream.
        streams: Attempts that stream now, with their events so far.
        answers_as: Attempt that its answers name instead of the real one.
        is_leaving: Whether it reports that it is leaving.
        loses_copies: Whether no run can go on here.
        stopped: Attempts that were told to stop.
        copies_rejected: Copies that it rejects for want of room.
        dies_at_last_copy: Whether it is gone once a run has to stop.
        peers: Engines by port, to which runs are copied.
        handles: Copies of runs that may go on here, by name.
    """

    def __init__(self, server_id: str) -> None:
        """Starts as a sound, fast server."""
        self.server_id = server_id
        self.port = 0
        self.runs: list[str] = []
        self.headers: dict[str, str] = {}
        self.body = b""
        self.status = 200
        self.delay_s = 0.0
        self.sheds = False
        self.breaks_after: int | None = None
        self.answers_as: str | None = None
        self.loses_copies = False
        self.is_leaving = False
        self.events = 10
        self.streams: dict[str, int] = {}
        self.stopped: set[str] = set()
        self.copies_rejected = 0
        self.dies_at_last_copy = False
        self.handles: dict[str, Handle] = {}
        self.peers: dict[int, PlatformServer] = {}

    async def start(self, port: int) -> None:
        """Listens on loopback."""
        self.port = port
        await Listener(self._serve, InputLimits).start("127.0.0.1", port)

    def entry(
        self, service: str, zone: str, state: str = "ready"
    ) -> dict[str, object]:
        """Returns its entry for the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }

    async def _serve(self, conn: ServerConnection) -> None:
        req = await conn.next_request()
        if not isinstance(req, Request):
            return
        headers = dict(req.headers)
        if req.target == "/report":
            state = "draining" if self.is_leaving else "ready"
            conn.respond(200, (), json.dumps({"state": state}).encode())
        elif req.target == "/kv-move":
            self._move(conn, json.loads(req.body))
        elif req.target.startswith("/kv-handle/"):
            self.handles.pop(req.target.rpartition("/")[2], None)
            conn.respond(200, (), b"")
        elif headers["x-savorylift-expected-instance"] != self.server_id:
            conn.respond(421, (), b"")
        elif self.sheds:
            conn.respond(503, (NOT_RUN,), b"")
        else:
            self.headers = headers
            self.body = req.body
            await self._run(conn, headers)
        await conn.channel.drain()
        conn.channel.close()

    async def _run(
        self, conn: ServerConnection, headers: dict[str, str]
    ) -> None:
        attempt = headers["x-savorylift-attempt-id"]
        echoed = self.answers_as or attempt
        marks: Headers = (("x-savorylift-attempt-id", echoed), SEAL)
        if "kv-from" not in headers:
            self.runs.append(attempt)
        await asyncio.sleep(self.delay_s)
        is_stream = "x-savorylift-token-counts" in headers
        if is_stream and self.status == 200:
            await self._stream(conn, attempt, headers, marks)
            return
        body = b"answer of " + attempt.encode()
        if self.breaks_after is None:
            conn.respond(self.status, marks, body)
            return
        conn.start_response(
            self.status, (*marks, ("content-length", str(len(body))))
        )
        conn.send_body(body[: self.breaks_after])

    async def _stream(
        self,
        conn: ServerConnection,
        attempt: str,
        headers: dict[str, str],
        marks: Headers,
    ) -> None:
        if "kv-from" in headers:
            name = headers["kv-from"].rpartition("/")[2]
            if self.handles.pop(name, None) is None or self.loses_copies:
                conn.respond(503, (NOT_RUN,), b"")
                return
        start = int(headers.get("last-event-id", "0"))
        conn.start_response(200, marks)
        for number in range(start + 1, self.events + 1):
            await asyncio.sleep(STEP_S)
            is_stopped = attempt in self.stopped and "kv-from" not in headers
            if is_stopped or conn.channel.is_ended:
                return
            if self.breaks_after == number:
                conn.send_body(b"id: %d\ndata: cut" % number)
                return
            conn.send_body(b"id: %d\ndata: x\n\n" % number)
            self.streams[attempt] = number
        conn.end_response()

    def _move(self, conn: ServerConnection, order: dict[str, object]) -> None:
        attempt = str(order["id"])
        if attempt not in self.streams:
            conn.respond(404, (), b"")
            return
        if self.copies_rejected:
            self.copies_rejected -= 1
            conn.respond(503, (), b"")
            return
        if order.get("last"):
            self.stopped.add(attempt)
            if self.dies_at_last_copy:
                return
        name = f"h-{attempt}"
        made = self.streams[attempt]
        port = int(str(order["to"]).rpartition(":")[2])
        self.peers[port].handles[name] = Handle(attempt, made)
        self.handles[name] = Handle(attempt, made)
        answer = {"handle": name, "createdRev": made}
        conn.respond(200, (), json.dumps(answer).encode())
