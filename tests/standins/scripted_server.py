"""A backend server that answers with the bytes that a test gives it."""

import enum
from collections.abc import Callable, Mapping
from typing import NamedTuple

from savorylift.wire.channel import Channel
from savorylift.wire.listener import Listener
from savorylift.wire.message import Request
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection

# What a server says of itself: when it started, as its entry does.
REPORT = b'{"born": 1}'


class End(enum.Enum):
    """What a server does after its bytes."""

    CLOSE = "closes the connection"
    RESET = "resets the connection"
    SILENCE = "sends nothing more"


class ScriptedRequest(NamedTuple):
    """A request to a scripted server.

    Attributes:
        target: Path and query.
        headers: Headers by lower-case name.
        body: The body.
    """

    target: str
    headers: Mapping[str, str]
    body: bytes


class Script(NamedTuple):
    """What a server sends in answer to a request.

    Attributes:
        answer: The bytes.
        end: What follows.
    """

    answer: bytes
    end: End = End.CLOSE


class ScriptedServer:
    """Answers each request but for reports with the script for it.

    Attributes:
        requests: Requests that it got.
        open_connections: Number of connections that its peers keep open.
    """

    def __init__(
        self,
        get_script: Callable[[ScriptedRequest], Script],
        early: bytes = b"",
    ) -> None:
        """Creates a server.

        Args:
            get_script: Returns what to send in answer to a request.
            early: Bytes to send as soon as a connection is open.
        """
        self.requests: list[ScriptedRequest] = []
        self.open_connections = 0
        self._get_script = get_script
        self._early = early
        self._listener = Listener(self._serve, InputLimits)

    async def start(self, port: int) -> None:
        """Starts to listen on the loopback interface."""
        await self._listener.start("127.0.0.1", port)

    async def _serve(self, conn: ServerConnection) -> None:
        self.open_connections += 1
        try:
            await self._answer(conn)
        finally:
            self.open_connections -= 1

    async def _answer(self, conn: ServerConnection) -> None:
        conn.channel.write(self._early)
        req = await conn.next_request()
        if not isinstance(req, Request):
            return
        if req.target == "/report":
            conn.respond(200, (), REPORT)
            await conn.channel.close_gracefully()
            return
        scripted = ScriptedRequest(req.target, dict(req.headers), req.body)
        self.requests.append(scripted)
        script = self._get_script(scripted)
        conn.channel.write(script.answer)
        await _end(conn.channel, script.end)


async def _end(channel: Channel, end: End) -> None:
    if end is End.SILENCE:
        await channel.peer_closed.wait()
    elif end is End.RESET:
        channel.reset_on_close()
        channel.close()
    else:
        await channel.close_gracefully()
