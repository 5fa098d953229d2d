"""HTTP/1.1 client that uses one connection per request.

Connections are not reused: an idle one may have been closed or lost without
notice, and late bytes of one response could be read as part of the next one.
"""

import io

import h11
import structlog

from savorylift.wire import metrics
from savorylift.wire.answer_head_check import find_answer_fault
from savorylift.wire.buffer_budget import RESPONSE_BUFFERS
from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.coop_budget import CoopBudget
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.message import Headers, Response, ResponseHead
from savorylift.wire.purpose import Purpose
from savorylift.wire.send_queue import MAX_WRITE_BYTES

# A server in trouble may send without end. Bodies are read whole, so one
# response is bounded, and all of them together by `RESPONSE_BUFFERS`.
MAX_RESPONSE_BYTES = 4_194_304
# Informational responses before the final one.
MAX_INFORMATIONAL = 8
# Assigned by IANA. If a connection ends after any other one, without a final
# response, the server has sent an invalid status.
INFORMATIONAL_STATUSES = frozenset({100, 101, 102, 103})
# Host of a request from which only its method matters.
ANY_HOST = [("host", "any")]
MAX_LOGGED_CHARACTERS = 100
STATUSES_WITHOUT_BODY = frozenset({204, 304})

_log = structlog.get_logger()


class BrokenAnswerError(Exception):
    """The response ended early, was reset, or is not valid HTTP."""


class ClientCall:
    """One request on an open connection, and its response."""

    def __init__(self, channel: Channel) -> None:
        """Uses `channel` from now on; `close` closes it."""
        self._channel = channel
        self._h11 = h11.Connection(h11.CLIENT)
        self._method = ""
        self._coop_budget = CoopBudget()
        # Of the last informational response; None if there was none, or once
        # the final response has come.
        self._informational_status: int | None = None

    @property
    def channel(self) -> Channel:
        """The underlying connection."""
        return self._channel

    def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Writes the request; sets a content length if it has a body.

        Raises:
            BrokenAnswerError: There can be no such request; nothing was sent.
        """
        self._method = method
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers = (*headers, ("content-length", str(len(body))))
        head = _encode_head(method, target, headers)
        data = self._h11.send(head) or b""
        sent_body = self._h11.send(h11.Data(data=body)) or b"" if body else b""
        self._h11.send(h11.EndOfMessage())
        if len(sent_body) > MAX_WRITE_BYTES:
            # The request keeps it, for as long as it may be sent again.
            self._channel.write(data)
            self._channel.write_shared(sent_body)
        else:
            self._channel.write(data + sent_body)

    async def read_head(self) -> ResponseHead:
        """Returns status and headers of the response.

        Raises:
            BrokenAnswerError: The connection ended first, or the response is
                not valid HTTP.
        """
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._informational_status = None
                return self._decode_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("expected a response head")
            self._informational_status = event.status_code
        raise BrokenAnswerError("too many informational responses")

    def _decode_head(self, event: h11.Response) -> ResponseHead:
        """Returns a head that has been read.

        Raises:
            BrokenAnswerError: It isn't valid HTTP/1.
        """
        fault = find_answer_fault(event)
        if fault is not None:
            version = event.http_version.decode("ascii")
            self._record_fault(fault, f"{version} {event.status_code}")
            raise BrokenAnswerError(f"a response head with a wrong {fault}")
        headers = tuple(
            (key.decode("ascii"), value.decode("latin-1"))
            for key, value in event.headers
        )
        head = ResponseHead(event.status_code, headers)
        is_close_delimited = _is_close_delimited(head, self._method)
        return head._replace(is_close_delimited=is_close_delimited)

    async def read_body_chunk(self) -> bytes | None:
        """Returns the next chunk of the body, or None at its end.

        Raises:
            BrokenAnswerError: The body is incomplete or invalid.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError("expected more of the body")

    async def read_response(self) -> Response:
        """Returns the complete response.

        Raises:
            BrokenAnswerError: It is incomplete, invalid or too large.
        """
        head = await self.read_head()
        return await self.read_rest(head)

    async def read_rest(self, head: ResponseHead) -> Response:
        """Reads the body that follows `head`; returns the complete response.

        Raises:
            BrokenAnswerError: It is incomplete, invalid or too large.
        """
        # Unlike a bytearray, it returns its content without a copy.
        body = io.BytesIO()
        with RESPONSE_BUFFERS.lease() as lease:
            while (chunk := await self.read_body_chunk()) is not None:
                if body.tell() + len(chunk) > MAX_RESPONSE_BYTES:
                    raise BrokenAnswerError("the response body is too large")
                if not lease.take(len(chunk)):
                    raise BrokenAnswerError("too much of responses is buffered")
                body.write(chunk)
            return Response(head.status, head.headers, body.getvalue())

    async def skip_response(self) -> None:
        """Reads the rest of a response, and expects another one after it.

        A server in trouble may send responses that belong to other requests
        before the one to this request.

        Raises:
            BrokenAnswerError: The body is incomplete or invalid.
        """
        while await self.read_body_chunk() is not None:
            pass
        rest, is_ended = self._h11.trailing_data
        self._h11 = _make_parser(self._method)
        if rest:
            self._h11.receive_data(rest)
        if is_ended:
            self._h11.receive_data(b"")

    def close(self) -> None:
        """Closes the connection immediately."""
        self._channel.abort()

    def _record_fault(self, fault: str, detail: str) -> None:
        """Counts and logs an answer that isn't valid HTTP/1."""
        metrics.ANSWERS_UNREADABLE.labels(fault).inc()
        _log.warning(
            "answer_unreadable",
            peer=self._channel.peer,
            fault=fault,
            detail=detail[:MAX_LOGGED_CHARACTERS],
        )

    def _record_protocol_error(
        self, exc: h11.RemoteProtocolError, *, is_ended: bool
    ) -> None:
        """Counts and logs a faulty answer.

        The end of a connection alone isn't one: the server may have crashed.

        Args:
            exc: What is wrong with the input.
            is_ended: Whether the input has ended.
        """
        status = self._informational_status
        if not is_ended:
            self._record_fault("syntax", str(exc))
        elif status is not None and status not in INFORMATIONAL_STATUSES:
            self._record_fault("status", f"{status} without a final response")

    async def _next_event(self) -> object:
        is_ended = False
        while True:
            try:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    await self._coop_budget.spend()
                    return event
                data = await self._channel.read()
                is_ended = not data
                await self._coop_budget.spend(len(data))
                self._h11.receive_data(data)
            except h11.RemoteProtocolError as exc:
                self._record_protocol_error(exc, is_ended=is_ended)
                raise BrokenAnswerError(str(exc)) from exc
            except ConnectionError as exc:
                raise BrokenAnswerError(f"connection reset: {exc}") from exc


def _encode_head(method: str, target: str, headers: Headers) -> h11.Request:
    """Returns the head of a request.

    Raises:
        BrokenAnswerError: It has characters that no head can have.
    """
    try:
        return h11.Request(
            method=method,
            target=target,
            headers=[(k.encode(), v.encode("latin-1")) for k, v in headers],
        )
    except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
        raise BrokenAnswerError(f"the request can't be sent: {exc}") from exc


def _make_parser(method: str) -> h11.Connection:
    """Returns a parser of the response to a request that was sent before."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=ANY_HOST))
    parser.send(h11.EndOfMessage())
    return parser


def _is_close_delimited(head: ResponseHead, method: str) -> bool:
    if method == "HEAD" or head.status in STATUSES_WITHOUT_BODY:
        return False
    return (
        head.header("content-length") is None
        and head.header("transfer-encoding") is None
    )


async def fetch(
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float,
    connect_timeout_s: float,
    purpose: Purpose = Purpose.OTHER,
) -> Response:
    """Sends a request on a new connection and returns the response.

    Raises:
        OSError: The connection failed, or the call timed out.
        BrokenAnswerError: The response is incomplete, invalid or too large.
    """
    host, port = address
    async with InputTimeout(timeout_s):
        channel = await connect(host, port, connect_timeout_s, purpose)
        all_headers = (("host", f"{host}:{port}"), *headers)
        return await fetch_on(channel, method, target, all_headers, body)


async def fetch_on(
    channel: Channel, method: str, target: str, headers: Headers, body: bytes
) -> Response:
    """Sends a request on an open connection, which it closes.

    Raises:
        BrokenAnswerError: The response is incomplete, invalid or too large.
    """
    call = ClientCall(channel)
    try:
        call.send(method, target, headers, body)
        return await call.read_response()
    finally:
        call.close()
