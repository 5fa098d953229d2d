"""A connection that this node opens to another, and what waits for it."""

import asyncio
import collections
import contextlib
import time
from collections.abc import Callable

import websockets
from returns.result import Success
from websockets.asyncio.client import ClientConnection, connect

from savorylift.identity import NodeRef
from savorylift.peers import auth
from savorylift.peers.codec import Envelope, decode_envelope, decode_message
from savorylift.peers.counters import Drop
from savorylift.peers.options import QUIET, LinkOptions
from savorylift.peers.question import Outbound, Question


class Outgoing:
    """Sends queued frames to one node and receives the answers."""

    def __init__(
        self,
        target: NodeRef,
        cfg: LinkOptions,
        on_end: Callable[["Outgoing"], None],
    ) -> None:
        """Prepares the connection; `run` opens it."""
        self.target = target
        self._cfg = cfg
        self._on_end = on_end
        self._outbox: collections.deque[Outbound] = collections.deque()
        self._wake = asyncio.Event()
        self._questions: dict[int, Question] = {}
        self._conn: ClientConnection | None = None
        self._last_used_s = time.monotonic()
        self._unanswered_s: float | None = None
        self.has_failed = False  # True after an opening that failed

    def has_room(self) -> bool:
        """Returns True if another frame may be queued; any thread."""
        return len(self._outbox) < self._cfg.max_queue

    def put(self, item: Outbound) -> None:
        """Queues a frame."""
        if not self.has_room():
            self._drop(item, Drop.QUEUE_FULL)
            return
        if item.question is not None:
            self._questions[item.question.request] = item.question
        self._outbox.append(item)
        self._last_used_s = time.monotonic()
        self._wake.set()

    def expire(self, question: Question) -> None:
        """Ends a question whose time is over."""
        self._questions.pop(question.request, None)
        question.fail("no answer in time")

    def is_idle(self, now_s: float) -> bool:
        """Returns True if nothing waits and nothing was sent for a while."""
        busy = self._outbox or self._questions
        return not busy and now_s - self._last_used_s > self._cfg.idle_s

    def needs_probe(self, now_s: float) -> bool:
        """Returns True if nothing has come back for a while after a send."""
        if self._conn is None or self._unanswered_s is None:
            return False
        return now_s - self._unanswered_s >= self._cfg.ping_interval_s

    async def probe(self) -> None:
        """Pings the other end and drops the connection on a timeout."""
        conn = self._conn
        if conn is None:
            return
        self._unanswered_s = None
        try:
            pong = await conn.ping()
            await asyncio.wait_for(pong, self._cfg.ping_timeout_s)
        except TimeoutError:
            conn.transport.abort()
        except websockets.ConnectionClosed:
            return

    async def run(self) -> None:
        """Sends until the queue is empty after a connection's end."""
        reason = Drop.UNREACHABLE
        try:
            while self._outbox:
                if not await self._run_connection():
                    self.has_failed = True
                    break
        except asyncio.CancelledError:
            reason = Drop.STOPPED
            raise
        finally:
            self._on_end(self)
            self.abandon(reason)

    async def _run_connection(self) -> bool:
        """Opens a connection and uses it up; False if it never opened."""
        address = self._cfg.address_of(self.target)
        if address is None or self._cfg.is_ended(self.target):
            return False
        try:
            conn = await self._open(address)
        except (OSError, TimeoutError, websockets.WebSocketException):
            return False
        try:
            if not self._is_peer(conn):
                self._cfg.counters.dropped(Drop.UNAUTHENTICATED)
                return False
            await self._use(conn)
        finally:
            self._conn = None
            await self._close(conn)
        return True

    async def _open(self, address: str) -> ClientConnection:
        cfg = self._cfg
        self._handshake = auth.new_handshake(cfg.own, self.target)
        scheme = "wss" if cfg.client_tls else "ws"
        return await connect(
            f"{scheme}://{address}/",
            additional_headers=auth.request_headers(self._handshake, cfg.keys),
            ssl=cfg.client_tls,
            logger=QUIET,
            proxy=None,
            compression=None,
            user_agent_header=None,
            open_timeout=cfg.open_timeout_s,
            ping_interval=None,
            close_timeout=cfg.close_timeout_s,
            max_size=cfg.max_message_bytes,
        )

    def _is_peer(self, conn: ClientConnection) -> bool:
        assert conn.response is not None, "an open connection has a response"
        headers = conn.response.headers
        return auth.is_authentic_accept(
            self._handshake, headers, self._cfg.keys
        )

    async def _use(self, conn: ClientConnection) -> None:
        self._conn = conn
        self._unanswered_s = None
        writer = asyncio.ensure_future(self._write(conn))
        try:
            async for frame in conn:
                self._unanswered_s = None
                self._receive(frame)
        except websockets.ConnectionClosed:
            self._cfg.counters.connection_lost()
        finally:
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer
            self._fail_sent("connection lost")

    async def _write(self, conn: ClientConnection) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                while self._outbox:
                    await self._send(conn, self._outbox.popleft())
                self._wake.clear()
                await self._wake.wait()

    async def _send(self, conn: ClientConnection, item: Outbound) -> None:
        if item.question is not None:
            if item.question.request not in self._questions:
                return
            item.question.sent = True
        if self._unanswered_s is None:
            self._unanswered_s = time.monotonic()
        await conn.send(item.frame)
        self._cfg.counters.sent(item.type_name, len(item.frame))

    def _receive(self, frame: str | bytes) -> None:
        decoded = decode_envelope(frame).value_or(None)
        if decoded is None:
            self._cfg.counters.dropped(Drop.MALFORMED)
            return
        reason = self._find_fault(decoded)
        if reason is not None:
            self._cfg.counters.dropped(reason)
            return
        self._answer(decoded, len(frame))

    def _find_fault(self, envelope: Envelope) -> Drop | None:
        if not envelope.is_answer or envelope.request is None:
            return Drop.MALFORMED
        if not _is_match(self.target, envelope.sender):
            return Drop.WRONG_SENDER
        if self._cfg.is_ended(envelope.sender):
            return Drop.ENDED_INCARNATION
        if envelope.request not in self._questions:
            return Drop.LATE_ANSWER
        return None

    def _answer(self, envelope: Envelope, size: int) -> None:
        assert envelope.request is not None, "checked on receipt"
        question = self._questions.pop(envelope.request)
        if question.answer_type.__name__ != envelope.type_name:
            self._cfg.counters.dropped(Drop.UNKNOWN_TYPE)
            question.fail("answer of another type")
            return
        self._cfg.counters.received(envelope.type_name, size)
        msg = decode_message(envelope, question.answer_type).value_or(None)
        if msg is None:
            self._cfg.counters.dropped(Drop.MALFORMED)
            question.fail("malformed answer")
            return
        question.resolve(Success(msg))

    async def close(self) -> None:
        """Closes the open connection, if there is one."""
        if self._conn is not None:
            await self._close(self._conn)

    async def _close(self, conn: ClientConnection) -> None:
        with contextlib.suppress(OSError, websockets.WebSocketException):
            await conn.close()

    def _fail_sent(self, message: str) -> None:
        for question in list(self._questions.values()):
            if question.sent:
                self._questions.pop(question.request)
                question.fail(message)

    def abandon(self, reason: Drop) -> None:
        """Drops what waits and ends all questions."""
        for item in self._outbox:
            self._drop(item, reason)
        self._outbox.clear()
        for question in self._questions.values():
            question.fail(reason.value)
        self._questions.clear()

    def _drop(self, item: Outbound, reason: Drop) -> None:
        self._cfg.counters.dropped(reason)
        if item.question is not None:
            self._questions.pop(item.question.request, None)
            item.question.fail(reason.value)


def _is_match(target: NodeRef, sender: NodeRef) -> bool:
    """Returns True if `sender` is who was wanted; no incarnation is any."""
    return not target.incarnation or target == sender
