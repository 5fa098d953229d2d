"""How callers of a fleet send requests: on new connections, or on kept ones."""

import asyncio
import random
import socket
import ssl
from typing import NamedTuple, Protocol

from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.kept_connection import Answer, KeptConnection

CONNECT_TIMEOUT_S = 1.0
# A slow caller reads at most so much at a time, and so often.
SLOW_BUFFER_BYTES = 16_384
SLOW_READ_INTERVAL_S = 0.05
NO_ANSWER = Answer(0, {}, b"", is_whole=False)
# What callers ask for beside streams: a path without a route, and a plain call.
OTHER_PATHS = ("/unknown/x", "/once/x")


class Call(NamedTuple):
    """A request.

    Attributes:
        path: Its path.
        headers: Its headers.
        body: Its body.
        timeout_s: For how long its caller waits.
        max_pause_s: Pause after which its caller abandons the response; None
            for none.
    """

    path: str
    headers: Headers
    body: bytes
    timeout_s: float
    max_pause_s: float | None = None


class StreamCaller(Protocol):
    """Sends requests to a port of nodes."""

    async def ask(self, ip: str, port: int, call: Call) -> Answer:
        """Sends a request to a node and reads the response."""
        ...


class FreshCaller:
    """Uses a connection for one request."""

    async def ask(self, ip: str, port: int, call: Call) -> Answer:
        """Sends a request on a new connection and reads the response."""
        try:
            conn = KeptConnection(await self._connect(ip, port))
        except OSError:
            return NO_ANSWER
        conn.send(call.path, call.headers, call.body)
        return await conn.read(call.timeout_s, call.max_pause_s)

    async def _connect(self, ip: str, port: int) -> Channel:
        return await connect(ip, port, CONNECT_TIMEOUT_S)


class _SlowChannel(Channel):
    """A connection that is read a little at a time, with pauses."""

    async def read(self) -> bytes:
        await asyncio.sleep(SLOW_READ_INTERVAL_S)
        return await super().read()


class SlowCaller(FreshCaller):
    """Reads some responses more slowly than they come."""

    def __init__(self, rng: random.Random, share: float) -> None:
        """Draws which responses, so that they are this share of all."""
        self._rng = rng
        self._share = share

    async def _connect(self, ip: str, port: int) -> Channel:
        if self._rng.random() >= self._share:
            return await super()._connect(ip, port)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, channel = await loop.create_connection(
                _SlowChannel, ip, port
            )
        channel.limit_input(SLOW_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        return channel


class Habits(NamedTuple):
    """What callers do with their connections.

    Attributes:
        earlier_share: Share of the requests before which something else is
            asked for on the same connection.
        pipelined_share: Share of the requests behind which a call is sent
            before they are answered.
        old_share: Share of the requests that are of HTTP/1.0.
    """

    earlier_share: float = 0.5
    pipelined_share: float = 0.0
    old_share: float = 0.0


class KeepingCaller:
    """Uses connections for as long as nodes leave them open.

    Attributes:
        kept: Number of requests on connections that had been used before.
        pipelined: Number of pipelined calls that were answered.
    """

    def __init__(
        self,
        rng: random.Random,
        habits: Habits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Has no connections yet; uses TLS if a context is given."""
        self._rng = rng
        self._habits = habits
        self._tls = tls
        self._idle: dict[str, list[KeptConnection]] = {}
        self._other_calls = 0
        self.kept = 0
        self.pipelined = 0

    async def ask(self, ip: str, port: int, call: Call) -> Answer:
        """Sends a request on a connection that may have been used before."""
        try:
            conn = await self._take(ip, port)
        except OSError:
            return NO_ANSWER
        if self._rng.random() < self._habits.earlier_share:
            self._send_other(conn, call)
            await conn.read(call.timeout_s)
            if not conn.is_usable:
                # The node may be leaving: another connection is needed.
                return NO_ANSWER
        self.kept += conn.requests > 0
        is_old = self._rng.random() < self._habits.old_share
        conn.send(
            call.path, call.headers, call.body, "1.0" if is_old else "1.1"
        )
        is_pipelined = self._rng.random() < self._habits.pipelined_share
        if is_pipelined:
            self._send_other(conn, call)
        answer = await conn.read(call.timeout_s, call.max_pause_s)
        if is_pipelined and conn.is_usable:
            self.pipelined += (await conn.read(call.timeout_s)).is_whole
        if conn.is_usable:
            self._idle.setdefault(ip, []).append(conn)
        return answer

    def _send_other(self, conn: KeptConnection, call: Call) -> None:
        self._other_calls += 1
        name = "x-savorylift-attempt-id"
        headers = tuple(item for item in call.headers if item[0] != name)
        conn.send(
            self._rng.choice(OTHER_PATHS),
            (*headers, (name, f"other{self._other_calls}")),
            b"question",
        )

    async def _take(self, ip: str, port: int) -> KeptConnection:
        """Returns a connection, the one that was used last if one is open.

        Raises:
            OSError: None is, and the node can't be reached.
        """
        idle = self._idle.get(ip, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable:
                return conn
            conn.close()
        return KeptConnection(await self._connect(ip, port))

    async def _connect(self, ip: str, port: int) -> Channel:
        if self._tls is None:
            return await connect(ip, port, CONNECT_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, channel = await loop.create_connection(
                Channel, ip, port, ssl=self._tls
            )
        return channel
