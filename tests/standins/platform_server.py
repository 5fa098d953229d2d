"""A simulated backend server: a plain service or a model engine.

It speaks the protocol of the platform that the nodes run on.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.wire.listener import Listener
from savorylift.wire.message import Headers, Request
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection

RESPONSE_SIGNATURE_HEADER = ("x-savorylift-response-seal", "seal")
NOT_EXECUTED_HEADER = ("x-savorylift-not-executed", "1")
STREAM_TYPE_HEADER = ("content-type", "text/event-stream")
TRICKLE_INTERVAL_S = 0.2
# Where engines send copies of runs to each other.
COPY_TARGET = "/kv-copy"
# By so many bytes, in the circle of all sizes, events differ from the last.
SIZE_STEP = 7919
FIRST_EVENT = 1
# How long a server is down after a crash.
RESTART_S = 0.2


class KvCopy(NamedTuple):
    """A copy of a run's KV cache.

    Attributes:
        attempt_id: Attempt whose run was copied.
        event_count: Number of events that the run had produced.
    """

    attempt_id: str
    event_count: int


class PlatformServer:
    """Runs requests with the faults that a test sets, and records them.

    Attributes:
        server_id: Id of this server in the store.
        port: Port that it listens on.
        runs: Ids of the attempts that it started, in order, without those that
            it continued from a KV cache copy.
        headers: Headers of the last request.
        body: Body of the last request.
        status: Status code of its responses.
        delay_s: Delay before a response.
        rejects_all: Whether it rejects every run as not executed, with 503.
        closes_after: Closes the connection early: after this number of body
            bytes, or within the stream event of this number; None for never.
        has_unframed_streams: Whether its streams have no chunks and end with
            their connection.
        ends_in_order: Whether an end of its process closes connections in
            order, also those of streams without chunks.
        close_interval_s: Time from one connection to the next that it closes,
            as its process ends in order.
        answers_in_parts: Whether plain answers hold the same as streams, and
            come in as many parts.
        event_bytes: Most bytes that an event is filled up with.
        events_per_stream: Number of events of each stream.
        event_interval_s: Pause before each event of a stream.
        trickles_after: Number of the event after which a stream that begins
            with the first event stalls, but for `trickle` now and then; None
            for no event.
        trickle: What a stalled stream sends.
        streamed_events: Number of events sent so far, by attempt id.
        ended_s: Monotonic time at which its latest whole stream ended.
        reported_attempt_id: Attempt id that its responses carry instead of the
            real one; None for the real one.
        is_leaving: Whether it reports that it is draining.
        loses_copies: Whether it has lost every KV cache copy, so that no run
            can continue here.
        stopped: Attempts whose run the final KV cache copy stopped.
        copies_to_reject: Number of upcoming KV cache copies that it rejects
            for lack of room.
        copy_delay_s: How long a copy takes.
        drops_final_copy: Whether it stops the run at the final KV cache copy,
            but then closes the connection without copying or responding.
        final_copy_delay_s: Time from the final KV cache copy, which stops the
            run, to its response.
        ends_before_final_copy: Whether a run ends by itself before its final
            KV cache copy, which then finds none.
        is_replaced_at_final_copy: Whether another process takes its place at
            the final KV cache copy, which closes all its connections.
        deadly_part: ID of a part of prompts on which it crashes as it begins
            to answer; None for no part.
        deadly_body: Body of requests on which it crashes; None for no body.
        deadly_arrivals: Monotonic times of the requests with that body.
        crash_delay_s: Time from the beginning of a deadly request to the
            crash.
        crashes_before_head: Whether it crashes before the head of the answer.
        crashes_without_caller: Whether it also crashes on a deadly request
            whose connection was closed meanwhile.
        software_version: Version of its software, as its entry says.
        born: Unix time in milliseconds of its start, as its entry and its
            reports say.
        sequence: Number of entries that it has written.
        says_born: Whether its reports say when it started.
        has_report: Whether it has reports.
        no_report_status: What it answers if it has none.
        report_delay_s: How long a report takes.
        says_version: Whether each event of a stream says that version.
        resets_after: Resets the connection after the stream event of this
            number, in streams that begin here; None for never.
        resets_from: Resets the connection after any event of at least this
            number; None for never.
        rejects_resumed: Whether it rejects every run that does not begin with
            the first event.
        restart_s: How long it is down after a crash.
        crashes_s: Monotonic times of its crashes.
        on_event: Called with the number of each event that was sent.
        on_restart: Called with its earlier ID after it restarted from a crash
            with a new one.
        named_limit: Limit on its requests that it names in its responses;
            None to name none.
        brittle_at: Number of rejections in a second beyond which it falls
            over, as it says in all its answers; None if it is sound.
        retry_after: When to return, as all its answers say; None not to say.
        says_leaving: Whether it says in all its answers that it leaves.
        hold: For how long it wants nothing more, as its rejections say; None
            not to say.
        more_holds: Further values of the same header.
        date: The `Date` of its rejections; None for none.
        omits_proof: Whether its rejections don't say that nothing has run.
        places: Number of runs at once; more are rejected; None for any.
        arrivals: Monotonic times of all requests, also of those that it
            rejects and of calls that are no run.
        reports: Number of reports that it was asked for.
        connections: Monotonic times at which connections were opened.
        peers: Engines that runs can be copied to, by port.
        kv_copies: Copies from which runs can continue here, by handle.
    """

    def __init__(self, server_id: str) -> None:
        """Creates a server without faults."""
        self.server_id = server_id
        self.port = 0
        self.runs: list[str] = []
        self.headers: dict[str, str] = {}
        self.body = b""
        self.status = 200
        self.delay_s = 0.0
        self.rejects_all = False
        self.closes_after: int | None = None
        self.reported_attempt_id: str | None = None
        self.loses_copies = False
        self.is_leaving = False
        self.has_unframed_streams = False
        self.ends_in_order = False
        self.close_interval_s = 0.0
        self.answers_in_parts = False
        self.event_bytes = 0
        self.events_per_stream = 10
        self.event_interval_s = 0.01
        self.trickles_after: int | None = None
        self.trickle = b":"
        self.streamed_events: dict[str, int] = {}
        self.ended_s = 0.0
        self._ended: set[str] = set()
        self.stopped: set[str] = set()
        self.copies_to_reject = 0
        self.drops_final_copy = False
        self.copy_delay_s = 0.0
        self.final_copy_delay_s = 0.0
        self.ends_before_final_copy = False
        self.is_replaced_at_final_copy = False
        self.kv_copies: dict[str, KvCopy] = {}
        self.peers: dict[int, PlatformServer] = {}
        self.deadly_part: str | None = None
        self.deadly_body: bytes | None = None
        self.deadly_arrivals: list[float] = []
        self.crash_delay_s = 0.0
        self.crashes_before_head = False
        self.crashes_without_caller = False
        self.restart_s = RESTART_S
        self.software_version = "v1"
        self.born = 1
        self.sequence = 0
        self.says_born = True
        self.has_report = True
        self.no_report_status = 404
        self.report_delay_s = 0.0
        self.says_version = False
        self.resets_after: int | None = None
        self.resets_from: int | None = None
        self.rejects_resumed = False
        self.crashes_s: list[float] = []
        self.named_limit: str | None = None
        self.brittle_at: int | None = None
        self.retry_after: str | None = None
        self.places: int | None = None
        self.says_leaving = False
        self.hold: str | None = None
        self.more_holds: tuple[str, ...] = ()
        self.omits_proof = False
        self.date: str | None = None
        self._running = 0
        self._rejected_s: list[float] = []
        self._is_falling = False
        self.arrivals: list[float] = []
        self.reports = 0
        self.connections: list[float] = []
        self.on_event: Callable[[int], None] = lambda _: None
        self.on_restart: Callable[[str], None] = lambda _: None
        self._listener: Listener | None = None
        self._conns: set[ServerConnection] = set()

    async def start(self, port: int) -> None:
        """Starts to listen on the loopback interface."""
        self.port = port
        self._listener = Listener(self._serve, InputLimits)
        await self._listener.start("127.0.0.1", port)

    @property
    def crashes(self) -> int:
        """Number of its crashes."""
        return len(self.crashes_s)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return len(self._conns)

    def stop(self) -> None:
        """Stops to listen, so that another program can use the port."""
        assert self._listener is not None
        self._listener.stop_accepting()

    def abort_all(self) -> None:
        """Breaks all connections."""
        for conn in self._conns:
            conn.channel.abort()

    def close_all(self) -> None:
        """Ends all connections once the queued bytes are sent."""
        for conn in self._conns:
            conn.channel.close()

    def forget_runs(self) -> None:
        """Drops all runs and KV cache copies, as an end of its process does."""
        self.kv_copies.clear()
        self.streamed_events.clear()
        self.stopped.clear()

    async def end_all(self, interval_s: float = 0.0) -> None:
        """Closes all connections after what was sent, as a process that ends.

        Answers without a length or chunks then look whole.

        Args:
            interval_s: Time from one to the next.
        """
        for conn in list(self._conns):
            await conn.channel.allow_close()
            conn.channel.close()
            if interval_s:
                await asyncio.sleep(interval_s)

    async def crash(self) -> None:
        """Breaks all connections, and restarts under another ID."""
        self.crashes_s.append(time.monotonic())
        assert self._listener is not None
        self._listener.stop_accepting()
        self.abort_all()
        await asyncio.sleep(self.restart_s)
        earlier_id = self.server_id
        self.server_id = f"{earlier_id.partition('.')[0]}.{self.crashes}"
        await self.start(self.port)
        self.on_restart(earlier_id)

    def entry(
        self, service: str, zone: str, state: str = "ready"
    ) -> dict[str, object]:
        """Returns this server's next entry in the store."""
        self.sequence += 1
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": self.software_version,
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _serve(self, conn: ServerConnection) -> None:
        self._conns.add(conn)
        self.connections.append(time.monotonic())
        try:
            await self._serve_request(conn)
        finally:
            self._conns.discard(conn)

    async def _serve_request(self, conn: ServerConnection) -> None:
        req = await conn.next_request()
        if not isinstance(req, Request):
            return
        if req.target == COPY_TARGET:
            self._keep_copy(conn, json.loads(req.body))
            return
        self._record_arrival()
        headers = dict(req.headers)
        if req.target == "/report":
            self._record_report()
            await asyncio.sleep(self.report_delay_s)
            if not self.has_report:
                conn.respond(self.no_report_status, self._limit_headers(), b"")
                return
            state = "draining" if self.is_leaving else "ready"
            report: dict[str, object] = {"state": state}
            if self.says_born:
                report["born"] = self.born
            conn.respond(
                200, self._limit_headers(), json.dumps(report).encode()
            )
        elif req.target == "/health":
            await asyncio.sleep(self.delay_s)
            status = 503 if self.rejects_all or self.says_leaving else 200
            conn.respond(status, self._notice_headers(), b"")
        elif req.target == "/kv-move":
            await asyncio.sleep(self.copy_delay_s)
            await self._copy_kv(conn, json.loads(req.body))
        elif req.target.startswith("/kv-handle/"):
            self.kv_copies.pop(req.target.rpartition("/")[2], None)
            conn.respond(200, self._limit_headers(), b"")
        elif headers["x-savorylift-expected-instance"] != self.server_id:
            conn.respond(421, self._refusal_headers(headers), b"")
        elif self._rejects(headers):
            conn.respond(503, self._refusal_headers(headers), b"")
        else:
            self.headers = headers
            self.body = req.body
            if self.deadly_body is not None and req.body == self.deadly_body:
                self.deadly_arrivals.append(time.monotonic())
            if self.places is not None and self._running >= self.places:
                await self._reject(conn, headers)
                return
            self._running += 1
            try:
                await self._run(conn, headers, req.body)
            finally:
                self._running -= 1
        await conn.channel.drain()
        conn.channel.close()

    @property
    def calls_arrived(self) -> int:
        """Number of requests that reached it, without reports."""
        return len(self.arrivals) - self.reports

    def _record_call(self, attempt_id: str) -> None:
        """Does nothing with a call that was meant for this server."""

    def _record_arrival(self) -> None:
        self.arrivals.append(time.monotonic())

    def _record_report(self) -> None:
        self.reports += 1

    def _rejects(self, headers: dict[str, str]) -> bool:
        """Whether it rejects a call that was meant for it."""
        self._record_call(headers["x-savorylift-attempt-id"])
        is_resumed = "last-event-id" in headers
        return self.rejects_all or (self.rejects_resumed and is_resumed)

    def _refusal_headers(self, headers: dict[str, str]) -> Headers:
        attempt = headers["x-savorylift-attempt-id"]
        proof = () if self.omits_proof else (NOT_EXECUTED_HEADER,)
        return (
            ("x-savorylift-attempt-id", attempt),
            *proof,
            *self._notice_headers(),
        )

    def _notice_headers(self) -> Headers:
        """Returns what its rejections say of its plans."""
        headers = self._limit_headers()
        if self.hold is not None:
            headers += (("retry-after", self.hold),)
        if self.date is not None:
            headers += (("date", self.date),)
        return headers + tuple(("retry-after", v) for v in self.more_holds)

    def _limit_headers(self) -> Headers:
        """Returns what all answers say of this server's limits."""
        headers: Headers = ()
        if self.named_limit is not None:
            headers += (("server-limit", self.named_limit),)
        if self.brittle_at is not None:
            headers += (("server-brittle", str(self.brittle_at)),)
        if self.retry_after is not None:
            headers += (("retry-after", self.retry_after),)
        if self.says_leaving:
            headers += (("server-leaving", "1"),)
        return headers

    async def _reject(
        self, conn: ServerConnection, headers: dict[str, str]
    ) -> None:
        """Rejects a run for want of room; a brittle server may fall over."""
        conn.respond(503, self._refusal_headers(headers), b"")
        now_s = time.monotonic()
        self._rejected_s.append(now_s)
        lately = sum(now_s - t < 1.0 for t in self._rejected_s)
        if self.brittle_at is None or lately <= self.brittle_at:
            return
        if not self._is_falling:
            self._is_falling = True
            await self.crash()
            self._rejected_s.clear()
            self._is_falling = False

    async def _run(
        self, conn: ServerConnection, headers: dict[str, str], body: bytes
    ) -> None:
        attempt = headers["x-savorylift-attempt-id"]
        reported_attempt = self.reported_attempt_id or attempt
        if "kv-from" not in headers:
            self.runs.append(attempt)
        await asyncio.sleep(self.delay_s)
        response_headers: Headers = (
            ("x-savorylift-attempt-id", reported_attempt),
            RESPONSE_SIGNATURE_HEADER,
            *self._limit_headers(),
        )
        if self._is_deadly(headers, body):
            await asyncio.sleep(self.crash_delay_s)
            if conn.channel.is_peer_closed and not self.crashes_without_caller:
                return
            if not self.crashes_before_head:
                conn.start_response(self.status, response_headers)
            await self.crash()
            return
        is_stream = "x-savorylift-token-counts" in headers
        if is_stream and self.status == 200:
            response_headers += (STREAM_TYPE_HEADER,)
        if (is_stream or self.answers_in_parts) and self.status == 200:
            await self._stream(conn, attempt, headers, response_headers)
            return
        answer = b"answer of " + attempt.encode()
        if self.closes_after is None:
            conn.respond(self.status, response_headers, answer)
            return
        length = ("content-length", str(len(answer)))
        conn.start_response(self.status, (*response_headers, length))
        conn.send_body(answer[: self.closes_after])

    def _is_deadly(self, headers: dict[str, str], body: bytes) -> bool:
        if self.deadly_body is not None and body == self.deadly_body:
            return True
        prompt = headers.get("x-savorylift-prompt-prefix", "")
        return self.deadly_part is not None and self.deadly_part in prompt

    async def _stream(
        self,
        conn: ServerConnection,
        attempt: str,
        headers: dict[str, str],
        response_headers: Headers,
    ) -> None:
        if "kv-from" in headers:
            handle = headers["kv-from"].rpartition("/")[2]
            if self.kv_copies.pop(handle, None) is None or self.loses_copies:
                conn.respond(503, self._refusal_headers(headers), b"")
                return
        if conn.channel.transport.is_closing():
            return
        start = int(headers.get("last-event-id", "0"))
        data = self.software_version.encode() if self.says_version else b"x"
        conn.start_response(
            200,
            response_headers,
            is_close_delimited=self.has_unframed_streams,
        )
        if self.ends_in_order:
            await conn.channel.allow_close()
        for number in range(start + 1, self.events_per_stream + 1):
            await asyncio.sleep(self.event_interval_s)
            is_stopped = attempt in self.stopped and "kv-from" not in headers
            if is_stopped or conn.channel.is_peer_closed:
                await conn.channel.allow_close()
                return
            if self.closes_after == number:
                conn.send_body(b"id: %d\ndata: cut" % number)
                return
            filling = self._filling(number)
            conn.send_body(b"id: %d\n%sdata: %s\n\n" % (number, filling, data))
            self.streamed_events[attempt] = number
            self.on_event(number)
            if self._resets_after(number, is_resumed=bool(start)):
                await conn.channel.drain()
                conn.channel.abort()
                return
            if number == self.trickles_after and not start:
                await self._trickle(conn)
                return
        conn.end_response()
        await conn.flush()
        self._ended.add(attempt)
        self.ended_s = time.monotonic()

    def _filling(self, number: int) -> bytes:
        """Returns a comment by which events differ in size."""
        if not self.event_bytes:
            return b""
        return b":%s\n" % (b"." * (number * SIZE_STEP % self.event_bytes))

    def _resets_after(self, number: int, *, is_resumed: bool) -> bool:
        if self.resets_from is not None and number >= self.resets_from:
            return True
        return number == self.resets_after and not is_resumed

    async def _trickle(self, conn: ServerConnection) -> None:
        """Sends the same bytes now and then, as long as anyone listens."""
        while not conn.channel.is_peer_closed:
            conn.send_body(self.trickle)
            await asyncio.sleep(TRICKLE_INTERVAL_S)

    async def _copy_kv(
        self, conn: ServerConnection, copy_request: dict[str, object]
    ) -> None:
        attempt = str(copy_request["id"])
        if attempt not in self.streamed_events or attempt in self._ended:
            conn.respond(404, self._limit_headers(), b"")
            return
        if self.copies_to_reject:
            self.copies_to_reject -= 1
            conn.respond(503, self._limit_headers(), b"")
            return
        if copy_request.get("last"):
            if self.ends_before_final_copy:
                while attempt not in self._ended:
                    await asyncio.sleep(self.event_interval_s)
                conn.respond(404, self._limit_headers(), b"")
                return
            self.stopped.add(attempt)
            if self.is_replaced_at_final_copy:
                self.born += 1
                conn.respond(404, self._limit_headers(), b"")
                await self.end_all()
                return
            if self.drops_final_copy:
                return
            await asyncio.sleep(self.final_copy_delay_s)
        handle = f"h-{attempt}"
        event_count = self.streamed_events[attempt]
        port = int(str(copy_request["to"]).rpartition(":")[2])
        copy = KvCopy(attempt, event_count)
        if not await self._send_copy(port, handle, copy):
            conn.respond(503, self._limit_headers(), b"")
            return
        self.kv_copies[handle] = copy
        response_body = {"handle": handle, "createdRev": event_count}
        conn.respond(
            200, self._limit_headers(), json.dumps(response_body).encode()
        )

    async def _send_copy(self, port: int, handle: str, copy: KvCopy) -> bool:
        """Gives a copy to another engine; returns whether it has it."""
        self.peers[port].kv_copies[handle] = copy
        return True

    def _keep_copy(
        self, conn: ServerConnection, sent: dict[str, object]
    ) -> None:
        """Keeps a copy that another engine sends."""
        copy = KvCopy(str(sent["attempt_id"]), int(str(sent["event_count"])))
        self.kv_copies[str(sent["handle"])] = copy
        conn.respond(200, self._limit_headers(), b"")
