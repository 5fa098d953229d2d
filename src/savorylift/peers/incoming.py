"""Connections that other nodes open to this one."""

import asyncio
import collections
import contextlib
import http

import websockets
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from savorylift.identity import NodeRef
from savorylift.peers import auth
from savorylift.peers.codec import Envelope, decode_envelope, encode
from savorylift.peers.counters import Drop
from savorylift.peers.handlers import HandlerTable
from savorylift.peers.link import Message
from savorylift.peers.options import QUIET, LinkOptions

ACCEPTOR_PING_INTERVAL_S = 20.0  # the opener notices silence; this cleans up


class Acceptor:
    """Listens, authenticates openers and answers on their connections."""

    def __init__(self, cfg: LinkOptions, handlers: HandlerTable) -> None:
        """Prepares the listener; `open` starts it."""
        self._cfg = cfg
        self._handlers = handlers
        self._server: Server | None = None
        self._conns: dict[NodeRef, ServerConnection] = {}

    async def open(self) -> str:
        """Starts to listen; returns the bound `ip:port`."""
        cfg = self._cfg
        self._server = await serve(
            self._serve,
            cfg.host,
            cfg.port,
            ssl=cfg.server_tls,
            logger=QUIET,
            process_request=self._judge,
            process_response=self._prove,
            compression=None,
            server_header=None,
            open_timeout=cfg.open_timeout_s,
            ping_interval=ACCEPTOR_PING_INTERVAL_S,
            ping_timeout=ACCEPTOR_PING_INTERVAL_S,
            close_timeout=cfg.close_timeout_s,
            max_size=cfg.max_message_bytes,
        )
        host, port = next(iter(self._server.sockets)).getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stops listening and closes every accepted connection."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _judge(
        self, conn: ServerConnection, request: Request
    ) -> Response | None:
        cfg = self._cfg
        handshake = auth.read_handshake(request.headers)
        if handshake is None or not auth.is_authentic_request(
            handshake, request.headers, cfg.keys
        ):
            cfg.counters.dropped(Drop.UNAUTHENTICATED)
            return conn.respond(http.HTTPStatus.UNAUTHORIZED, "")
        if cfg.is_ended(handshake.sender):
            cfg.counters.dropped(Drop.ENDED_INCARNATION)
            return conn.respond(http.HTTPStatus.GONE, "")
        if handshake.target.incarnation not in ("", cfg.own.incarnation):
            cfg.counters.dropped(Drop.OTHER_INCARNATION)
            return conn.respond(http.HTTPStatus.MISDIRECTED_REQUEST, "")
        return None

    def _prove(
        self, _conn: ServerConnection, request: Request, response: Response
    ) -> Response:
        handshake = auth.read_handshake(request.headers)
        if handshake is not None and self._cfg.keys.keys:
            response.headers[auth.PROOF_HEADER] = auth.accept_proof(
                handshake, request.headers, self._cfg.keys
            )
        return response

    async def _serve(self, conn: ServerConnection) -> None:
        assert conn.request is not None, "an open connection had a request"
        handshake = auth.read_handshake(conn.request.headers)
        assert handshake is not None, "checked before the connection opened"
        await self._replace(handshake.sender, conn)
        answers = Answers(conn, self._cfg)
        writer = asyncio.ensure_future(answers.write())
        try:
            async for frame in conn:
                self._receive(handshake.sender, frame, answers)
        except websockets.ConnectionClosed:
            pass
        finally:
            writer.cancel()
            if self._conns.get(handshake.sender) is conn:
                del self._conns[handshake.sender]

    async def _replace(self, sender: NodeRef, conn: ServerConnection) -> None:
        """Keeps one connection an opener; an older one is taken for dead."""
        older = self._conns.get(sender)
        self._conns[sender] = conn
        if older is not None:
            older.transport.abort()

    def _receive(
        self, opener: NodeRef, frame: str | bytes, answers: "Answers"
    ) -> None:
        envelope = decode_envelope(frame).value_or(None)
        if envelope is None or envelope.is_answer:
            self._cfg.counters.dropped(Drop.MALFORMED)
            return
        if envelope.sender != opener:
            self._cfg.counters.dropped(Drop.WRONG_SENDER)
            return
        if self._cfg.is_ended(opener):
            self._cfg.counters.dropped(Drop.ENDED_INCARNATION)
            return
        self._handlers.receive(
            envelope, len(frame), lambda msg: answers.put(envelope, msg)
        )


class Answers:
    """Answers that wait for one accepted connection."""

    def __init__(self, conn: ServerConnection, cfg: LinkOptions) -> None:
        """Starts empty."""
        self._conn = conn
        self._cfg = cfg
        self._loop = asyncio.get_running_loop()
        self._outbox: collections.deque[tuple[str, bytes]] = collections.deque()
        self._wake = asyncio.Event()

    def put(self, question: Envelope, msg: Message) -> None:
        """Queues the answer to `question`; any thread."""
        frame = encode(self._cfg.own, msg, question.request, is_answer=True)
        if len(self._outbox) >= self._cfg.max_queue:
            self._cfg.counters.dropped(Drop.QUEUE_FULL)
            return
        self._outbox.append((type(msg).__name__, frame))
        with contextlib.suppress(RuntimeError):  # the loop may have ended
            self._loop.call_soon_threadsafe(self._wake.set)

    async def write(self) -> None:
        """Sends answers until the connection ends."""
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                self._wake.clear()
                while self._outbox:
                    type_name, frame = self._outbox.popleft()
                    await self._conn.send(frame)
                    self._cfg.counters.sent(type_name, len(frame))
                await self._wake.wait()
