"""Where a generation's tokens go: a live stream or a whole answer."""

import time
from collections.abc import Sequence
from typing import Protocol

import msgspec

from savorylift.streams.caller_socket import CallerSocket
from savorylift.streams.events import TokenEvent

KEEP_ALIVE_S = 0.25  # callers that hear nothing for longer go elsewhere
SSE_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Cache-Control: no-store\r\n"
    b"Connection: close\r\n"
)
# One template a stream, since this runs for every token.
TOKEN_FIELDS = (
    b', "token_index": %d, "choices": '
    b'[{"index": 0, "text": %b, "finish_reason": %b}]'
)


class Sink(Protocol):
    """Receives one answer's events in order."""

    caller: CallerSocket

    def is_started(self) -> bool:
        """Returns True once the caller may have seen part of the answer."""

    def announce(self, ticket: str) -> None:
        """Hands over the ticket that resumes the answer elsewhere."""

    def deliver(self, events: Sequence[TokenEvent]) -> None:
        """Passes on tokens, and the finishing event as the last one."""

    def keep_alive(self) -> None:
        """Shows the caller that its node is alive while no token comes."""

    def can_restart(self) -> bool:
        """Returns True if `restart` is allowed at this point."""

    def restart(self, answer_id: str) -> None:
        """Voids all that was delivered; later tokens are a new answer."""


class StreamSink:
    """Sends each token at once as a server-sent event."""

    def __init__(
        self,
        caller: CallerSocket,
        answer_id: str,
        model: str,
        headers: Sequence[tuple[str, str]],
        *,
        accepts_restart: bool,
    ) -> None:
        """Prepares the stream; nothing is sent before the first event.

        Args:
            caller: The caller's connection.
            answer_id: Identifier of the answer in every event.
            model: Model name in every event.
            headers: Response headers besides those of every stream.
            accepts_restart: True if the caller takes `restart` events.
        """
        self.caller = caller
        self._model = model
        self._accepts_restart = accepts_restart
        self._head = SSE_HEAD + b"".join(
            f"{name}: {value}\r\n".encode() for name, value in headers
        )
        self._pending_ticket: str | None = None
        self._is_started = False
        self._name(answer_id)

    def _name(self, answer_id: str) -> None:
        common = {
            "id": answer_id,
            "object": "text_completion",
            "model": self._model,
        }
        self._common = msgspec.json.encode(common)[:-1]
        self._token_form = self._event(TOKEN_FIELDS, escape=True)

    def is_started(self) -> bool:
        """Returns True once the response head was sent."""
        return self._is_started

    def announce(self, ticket: str) -> None:
        """Sends the ticket, together with the next token if none was sent."""
        self._pending_ticket = ticket
        if self._is_started:
            self.caller.write(self._ticket_event())

    def deliver(self, events: Sequence[TokenEvent]) -> None:
        """Sends events in one write."""
        parts: list[bytes] = []
        if not self._is_started:
            self._is_started = True
            parts += [self._head, b"\r\n", self._ticket_event()]
        parts += [self._token_event(event) for event in events]
        self.caller.write(b"".join(parts))

    def keep_alive(self) -> None:
        """Sends a comment if the stream has been silent for a while."""
        silent_s = time.monotonic() - self.caller.last_write_s
        if self._is_started and silent_s > KEEP_ALIVE_S:
            self.caller.write(b":\n\n")

    def can_restart(self) -> bool:
        """Returns True if nothing was sent or the caller takes restarts."""
        return self._accepts_restart or not self._is_started

    def restart(self, answer_id: str) -> None:
        """Tells the caller to drop what it got."""
        self._name(answer_id)
        if self._is_started:
            self.caller.write(self._event(b', "choices": [], "restart": true'))

    def fail(self, body: bytes) -> None:
        """Ends the stream with an error event.

        Args:
            body: JSON text of the error.
        """
        self.caller.write(b"event: error\ndata: " + body + b"\n\n")

    def _event(self, fields: bytes, *, escape: bool = False) -> bytes:
        common = self._common.replace(b"%", b"%%") if escape else self._common
        return b"data: " + common + fields + b"}\n\n"

    def _ticket_event(self) -> bytes:
        if self._pending_ticket is None:
            return b""
        ticket = msgspec.json.encode(self._pending_ticket)
        self._pending_ticket = None
        return self._event(b', "choices": [], "resume_ticket": ' + ticket)

    def _token_event(self, event: TokenEvent) -> bytes:
        text = msgspec.json.encode(event.token)
        if event.finish_reason is None:
            return self._token_form % (event.token_index, text, b"null")
        reason = msgspec.json.encode(event.finish_reason)
        last = self._token_form % (event.token_index, text, reason)
        return last + b"data: [DONE]\n\n"


class WholeSink:
    """Collects the answer; the caller sees nothing before it is whole."""

    def __init__(self, caller: CallerSocket) -> None:
        """Watches `caller` only to notice that it is gone."""
        self.caller = caller
        self._parts: list[str] = []
        self.finish_reason: str | None = None

    def is_started(self) -> bool:
        """Returns False: nothing is sent before the end."""
        return False

    def announce(self, ticket: str) -> None:
        """Drops the ticket: a whole answer is asked for anew."""

    def deliver(self, events: Sequence[TokenEvent]) -> None:
        """Collects tokens."""
        for event in events:
            self._parts.append(event.token)
            self.finish_reason = event.finish_reason

    def keep_alive(self) -> None:
        """Does nothing: the caller waits for the whole answer."""

    def can_restart(self) -> bool:
        """Returns True: the caller has seen nothing."""
        return True

    def restart(self, answer_id: str) -> None:  # noqa: ARG002
        """Drops what was collected."""
        self._parts.clear()

    def token_count(self) -> int:
        """Returns the number of tokens collected so far."""
        return sum(1 for part in self._parts if part)

    def text(self) -> str:
        """Returns the answer collected so far."""
        return "".join(self._parts)
