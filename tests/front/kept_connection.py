"""A caller's connection to a node, for one request after the other."""

import asyncio
from typing import NamedTuple

import h11

from savorylift.wire.channel import Channel
from savorylift.wire.message import Headers

ANY_HOST = [("host", "any")]


class Answer(NamedTuple):
    """What came of a response.

    Attributes:
        status: Status; 0 if there was no head.
        headers: Headers with lower-case names.
        data: The body, as far as it came.
        is_whole: Whether it ended as complete.
    """

    status: int
    headers: dict[str, str]
    data: bytes
    is_whole: bool


class KeptConnection:
    """Sends requests, also before the last one is answered.

    Attributes:
        requests: Number of requests so far.
    """

    def __init__(self, channel: Channel) -> None:
        """Uses an open connection."""
        self._channel = channel
        self._rest = b""
        self._is_last = False
        self.requests = 0

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return not self._is_last and self._channel.is_open

    def send(
        self, path: str, headers: Headers, body: bytes, version: str = "1.1"
    ) -> None:
        """Writes a request."""
        self.requests += 1
        all_headers = (*headers, ("content-length", str(len(body))))
        lines = [f"POST {path} HTTP/{version}"]
        lines += [f"{name}: {value}" for name, value in all_headers]
        head = "\r\n".join([*lines, "", ""])
        self._channel.write(head.encode("latin-1") + body)

    async def read(
        self, timeout_s: float, max_pause_s: float | None = None
    ) -> Answer:
        """Reads the next response; closes the connection if it is the last."""
        reader = _AnswerReader()
        is_whole = False
        try:
            async with asyncio.timeout(timeout_s):
                await reader.read(self._channel, self._rest, max_pause_s)
            is_whole = True
        except (h11.RemoteProtocolError, OSError):
            self._is_last = True
        self._rest = reader.rest
        if self._is_last or reader.is_last:
            self._is_last = True
            self.close()
        return Answer(
            reader.status, reader.headers, bytes(reader.data), is_whole
        )

    def close(self) -> None:
        """Closes it at once."""
        self._channel.abort()


class _AnswerReader:
    """Reads one response.

    Attributes:
        status: Status; 0 before the head.
        headers: Headers with lower-case names.
        data: The body so far.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(h11.Request(method="POST", target="/", headers=ANY_HOST))
        self._h11.send(h11.EndOfMessage())
        self.status = 0
        self.headers: dict[str, str] = {}
        self.data = bytearray()

    @property
    def rest(self) -> bytes:
        """What came behind the response."""
        return self._h11.trailing_data[0]

    @property
    def is_last(self) -> bool:
        """Whether no other response may follow."""
        return self._h11.their_state is not h11.DONE

    async def read(
        self, channel: Channel, begun: bytes, max_pause_s: float | None
    ) -> None:
        """Reads to the end of the response, which may have begun before.

        Raises:
            h11.RemoteProtocolError: It is incomplete.
            ConnectionError: The connection was reset.
            TimeoutError: Nothing came for longer than `max_pause_s`.
        """
        if begun:
            self._h11.receive_data(begun)
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(max_pause_s):
                    data = await channel.read()
                self._h11.receive_data(data)
            elif isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                self.data += event.data
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("no response")
