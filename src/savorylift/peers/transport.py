"""The link between nodes over websockets, on one thread."""

import asyncio
import itertools
import threading
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import TypeVar

import structlog
from returns.result import Failure, Result, Success

from savorylift.identity import NodeRef
from savorylift.peers.codec import encode
from savorylift.peers.counters import Drop
from savorylift.peers.handlers import HandlerTable
from savorylift.peers.incoming import Acceptor
from savorylift.peers.link import Message, PeerFault
from savorylift.peers.options import LinkOptions
from savorylift.peers.outgoing import Outgoing
from savorylift.peers.question import Outbound, Question

M = TypeVar("M", bound=Message)
Answer = TypeVar("Answer", bound=Message)

SWEEPS_PER_PING = 4


class WebsocketLink:
    """Implements `PeerLink`; one event loop serves all connections.

    A connection is opened by the first message to a node and carries only
    this node's messages and their answers.
    """

    def __init__(self, cfg: LinkOptions) -> None:
        """Prepares the link; handlers are registered before `start`."""
        self._cfg = cfg
        self._handlers = HandlerTable(cfg.counters)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name="peer-link", daemon=True
        )
        self._opened: Future[str] = Future()
        self._stopping = asyncio.Event()
        self._is_running = False
        self._numbers = itertools.count(1)
        self._outgoing: dict[NodeRef, Outgoing] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry_at_s: dict[NodeRef, float] = {}

    def start(self, timeout_s: float = 5.0) -> Result[str, str]:
        """Starts the thread; returns the listener's `ip:port` or the cause."""
        self._thread.start()
        try:
            return Success(self._opened.result(timeout_s))
        except (OSError, TimeoutError) as exc:
            return Failure(f"peer listener: {exc!r}")

    def stop(self, timeout_s: float = 2.0) -> bool:
        """Closes all connections; False if that took longer than allowed."""
        self._is_running = False
        if not self._thread.is_alive():
            return True
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def on_tell(
        self, msg_type: type[M], handler: Callable[[NodeRef, M], None]
    ) -> None:
        """Registers the handler of a one-way message type."""
        self._handlers.add_tell(msg_type, handler)

    def on_ask(
        self,
        msg_type: type[M],
        handler: Callable[[NodeRef, M, "Future[Message]"], None],
    ) -> None:
        """Registers the handler that resolves the given future once."""
        self._handlers.add_ask(msg_type, handler)

    def tell(self, node: NodeRef, msg: Message) -> bool:
        """Queues `msg` for `node`; False if it was dropped at once."""
        reason = self._find_obstacle(node)
        if reason is not None:
            self._cfg.counters.dropped(reason)
            return False
        if node == self._cfg.own:
            return self._call(self._handlers.run_tell, node, msg)
        frame = encode(self._cfg.own, msg)
        item = Outbound(type(msg).__name__, frame, None)
        return self._call(self._put, node, item)

    def ask(
        self,
        node: NodeRef,
        msg: Message,
        answer_type: type[Answer],
        timeout_s: float,
    ) -> "Future[Result[Answer, PeerFault]]":
        """Sends `msg` and resolves with the answer or a fault."""
        fut: Future[Result[Answer, PeerFault]] = Future()
        question = Question(next(self._numbers), answer_type, fut)
        reason = self._find_obstacle(node)
        if reason is not None:
            self._cfg.counters.dropped(reason)
            question.fail(reason.value)
        elif not self._call(self._ask, node, msg, question, timeout_s):
            question.fail(Drop.STOPPED.value)
        return fut

    def _find_obstacle(self, node: NodeRef) -> Drop | None:
        if not self._is_running:
            return Drop.STOPPED
        if node == self._cfg.own:
            return None
        if self._cfg.is_ended(node):
            return Drop.ENDED_INCARNATION
        if self._cfg.address_of(node) is None:
            return Drop.NO_ADDRESS
        if time.monotonic() < self._retry_at_s.get(node, 0.0):
            return Drop.UNREACHABLE
        conn = self._outgoing.get(node)
        is_full = conn is not None and not conn.has_room()
        return Drop.QUEUE_FULL if is_full else None

    def _call(self, func: Callable[..., None], *args: object) -> bool:
        """Runs `func` on the loop's thread; False if the loop has ended."""
        try:
            self._loop.call_soon_threadsafe(func, *args)
        except RuntimeError:
            return False
        return True

    def _ask(
        self, node: NodeRef, msg: Message, question: Question, timeout_s: float
    ) -> None:
        if node == self._cfg.own:
            self._ask_self(msg, question, timeout_s)
            return
        frame = encode(self._cfg.own, msg, question.request)
        conn = self._conn_to(node)
        question.timer = self._loop.call_later(timeout_s, conn.expire, question)
        conn.put(Outbound(type(msg).__name__, frame, question))

    def _ask_self(
        self, msg: Message, question: Question, timeout_s: float
    ) -> None:
        question.sent = True
        question.timer = self._loop.call_later(
            timeout_s, question.fail, "no answer in time"
        )

        def reply(answer: Message) -> None:
            self._call(question.resolve, Success(answer))

        self._handlers.run_ask(self._cfg.own, msg, reply)

    def _put(self, node: NodeRef, item: Outbound) -> None:
        self._conn_to(node).put(item)

    def _conn_to(self, node: NodeRef) -> Outgoing:
        conn = self._outgoing.get(node)
        if conn is None:
            conn = Outgoing(node, self._cfg, self._forget)
            self._outgoing[node] = conn
            self._loop.call_soon(self._run_conn, conn)  # after the first put
        return conn

    def _run_conn(self, conn: Outgoing) -> None:
        self._spawn(conn.run())

    def _spawn(self, action: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _forget(self, conn: Outgoing) -> None:
        if self._outgoing.get(conn.target) is conn:
            del self._outgoing[conn.target]
        if conn.has_failed:
            retry_at_s = time.monotonic() + self._cfg.retry_s
            self._retry_at_s[conn.target] = retry_at_s

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._main())
        except OSError as exc:
            self._opened.set_exception(exc)
        finally:
            self._is_running = False
            self._loop.close()

    async def _main(self) -> None:
        acceptor = Acceptor(self._cfg, self._handlers)
        address = await acceptor.open()
        self._is_running = True
        self._opened.set_result(address)
        while not self._stopping.is_set():
            await self._sweep()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for conn in list(self._outgoing.values()):
            conn.abandon(Drop.STOPPED)
        await acceptor.close()
        structlog.get_logger().info("peer_link_stopped")

    async def _sweep(self) -> None:
        """Waits a while, then checks for dead and idle connections."""
        interval_s = self._cfg.ping_interval_s / SWEEPS_PER_PING
        try:
            await asyncio.wait_for(self._stopping.wait(), interval_s)
        except TimeoutError:
            self._look_after(time.monotonic())

    def _look_after(self, now_s: float) -> None:
        for conn in list(self._outgoing.values()):
            if conn.needs_probe(now_s):
                self._spawn(conn.probe())
            elif conn.is_idle(now_s):
                self._spawn(conn.close())
        expired = [n for n, t in self._retry_at_s.items() if t < now_s]
        for node in expired:
            del self._retry_at_s[node]
