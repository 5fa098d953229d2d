"""One generation of a model engine and who listens to it."""

import time
from typing import Protocol

from tests.standins.engine_settings import Ask
from tests.standins.tokens import Text


class Listener(Protocol):
    """Receives the events of a generation."""

    def send_event(self, event: bytes) -> None:
        """Sends one event."""

    def finish(self) -> None:
        """Ends the answer."""


class Generation:
    """One generation and who listens to it."""

    def __init__(self, ask: Ask, text: Text, shown_id: str) -> None:
        """Starts without tokens."""
        self.ask = ask
        self.text = text
        self.shown_id = shown_id
        self.prompt_tokens = len(ask.prompt.split())
        self.emitted = 0
        self.ready_s = 0.0  # `time.monotonic()` of the next token at least
        self.preempted = 0
        self.finish_reason = ""
        self.finished_s = 0.0
        self.listeners: list[Listener] = []

    @property
    def held(self) -> int:
        """Tokens that it holds in memory while it runs."""
        return self.prompt_tokens + self.emitted

    def event(self, index: int) -> bytes:
        """Returns the event at `index`, of a token or of the end."""
        if index < self.emitted:
            token, reason = self.text.token(index), "null"
        else:
            token, reason = "", f'"{self.finish_reason}"'
        return (
            f'data: {{"id": "{self.shown_id}", "index": {index}, '
            f'"token": "{token}", "finish_reason": {reason}}}\n\n'
        ).encode()

    def listen(self, listener: Listener, index: int) -> None:
        """Sends the events from `index` on, now and as they come."""
        for past in range(index, self.emitted):
            listener.send_event(self.event(past))
        self.listeners.append(listener)
        if self.finish_reason:
            self._end()

    def emit(self) -> None:
        """Produces the next token."""
        self.emitted += 1
        event = self.event(self.emitted - 1)
        for listener in self.listeners:
            listener.send_event(event)

    def end(self, reason: str) -> None:
        """Ends the generation for the given reason."""
        self.finish_reason = reason
        self.finished_s = time.monotonic()
        self._end()

    def _end(self) -> None:
        for listener in self.listeners:
            listener.send_event(self.event(self.emitted))
            listener.send_event(b"data: [DONE]\n\n")
            listener.finish()
        self.listeners.clear()
