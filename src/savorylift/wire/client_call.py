"""One HTTP/1.1 call on a connection of its own.

No connection is used twice: an idle one may have been closed or silenced
without notice, and late bytes of one answer could be taken for the next.
"""

import asyncio

import h11

from savorylift.wire.channel import Channel, connect
from savorylift.wire.message import Headers, Response, ResponseHead

ANSWER_BYTES = 33_554_432


class BrokenAnswerError(Exception):
    """The answer ended early, was reset, or is no HTTP."""


class ClientCall:
    """A request sent on an open channel, and its answer."""

    def __init__(self, channel: Channel) -> None:
        """Takes over the channel."""
        self._channel = channel
        self._state = h11.Connection(h11.CLIENT)

    @property
    def channel(self) -> Channel:
        """The connection's bytes."""
        return self._channel

    def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Writes the whole request, with a length if it has a body."""
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers = (*headers, ("content-length", str(len(body))))
        head = h11.Request(
            method=method,
            target=target,
            headers=[(k.encode(), v.encode("latin-1")) for k, v in headers],
        )
        data = self._state.send(head) or b""
        if body:
            data += self._state.send(h11.Data(data=body)) or b""
        data += self._state.send(h11.EndOfMessage()) or b""
        self._channel.write(data)

    async def read_head(self) -> ResponseHead:
        """Returns the answer's head.

        Raises:
            BrokenAnswerError: There is none.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple(
                    (key.decode("ascii"), value.decode("latin-1"))
                    for key, value in event.headers
                )
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("expected an answer")

    async def read_part(self) -> bytes | None:
        """Returns the next part of the body, None after the last one.

        Raises:
            BrokenAnswerError: The body isn't complete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError("expected more of the body")

    async def read_answer(self) -> Response:
        """Returns the whole answer.

        Raises:
            BrokenAnswerError: It isn't complete.
        """
        head = await self.read_head()
        return await self.read_rest(head)

    async def read_rest(self, head: ResponseHead) -> Response:
        """Returns the whole answer, given its head.

        Raises:
            BrokenAnswerError: It isn't complete, or is too large.
        """
        body = bytearray()
        while (part := await self.read_part()) is not None:
            body += part
            if len(body) > ANSWER_BYTES:
                raise BrokenAnswerError("the answer is too large")
        return Response(head.status, head.headers, bytes(body))

    def close(self) -> None:
        """Ends the connection at once."""
        self._channel.abort()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._state.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._state.receive_data(await self._channel.read())
            except h11.RemoteProtocolError as exc:
                raise BrokenAnswerError(str(exc)) from exc
            except ConnectionError as exc:
                raise BrokenAnswerError(f"connection reset: {exc}") from exc


async def fetch(
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float,
    connect_s: float,
) -> Response:
    """Makes one whole call.

    Raises:
        OSError: No connection, or no answer in time.
        BrokenAnswerError: The answer isn't complete.
    """
    host, port = address
    async with asyncio.timeout(timeout_s):
        call = ClientCall(await connect(host, port, connect_s))
        try:
            named = (("host", f"{host}:{port}"), *headers)
            call.send(method, target, named, body)
            return await call.read_answer()
        finally:
            call.close()
