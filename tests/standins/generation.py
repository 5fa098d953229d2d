"""One generation of a simulated engine and its subscribers."""

import time
from typing import Protocol

from tests.standins.engine_settings import CompletionRequest
from tests.standins.tokens import GeneratedText


class Subscriber(Protocol):
    """Receiver of the events of a generation."""

    def send_event(self, event: bytes) -> None:
        """Sends one event."""

    def finish(self) -> None:
        """Ends the event stream."""


class Generation:
    """One generation and its subscribers.

    Attributes:
        request: Request of the caller.
        text: Complete output of the model.
        reported_id: Id in the events; differs from the request's if the fault
            `wrong_ids` was injected.
        prompt_tokens: Length of the prompt.
        emitted: Number of tokens produced so far.
        prefill_end_s: Monotonic time before which no token is produced.
        preemptions: Number of times that it was preempted.
        finish_reason: Why it ended; empty until then.
        finished_s: Monotonic time at which it ended.
        subscribers: Receivers of its further events.
    """

    def __init__(
        self, request: CompletionRequest, text: GeneratedText, reported_id: str
    ) -> None:
        """Creates a generation without output tokens."""
        self.request = request
        self.text = text
        self.reported_id = reported_id
        self.prompt_tokens = len(request.prompt.split())
        self.emitted = 0
        self.prefill_end_s = 0.0
        self.preemptions = 0
        self.finish_reason = ""
        self.finished_s = 0.0
        self.subscribers: list[Subscriber] = []

    @property
    def kv_used(self) -> int:
        """Tokens that it occupies in the KV cache while it runs."""
        return self.prompt_tokens + self.emitted

    def event(self, index: int) -> bytes:
        """Returns the token at `index` as an event, or else the final event."""
        if index < self.emitted:
            token, reason = self.text.token(index), "null"
        else:
            token, reason = "", f'"{self.finish_reason}"'
        return (
            f'data: {{"id": "{self.reported_id}", "index": {index}, '
            f'"token": "{token}", "finish_reason": {reason}}}\n\n'
        ).encode()

    def subscribe(self, subscriber: Subscriber, index: int) -> None:
        """Sends past events from `index` on, and then new ones."""
        for past_index in range(index, self.emitted):
            subscriber.send_event(self.event(past_index))
        self.subscribers.append(subscriber)
        if self.finish_reason:
            self._send_end()

    def emit(self) -> None:
        """Produces the next token."""
        self.emitted += 1
        event = self.event(self.emitted - 1)
        for subscriber in self.subscribers:
            subscriber.send_event(event)

    def end(self, reason: str) -> None:
        """Ends the generation for the given reason."""
        self.finish_reason = reason
        self.finished_s = time.monotonic()
        self._send_end()

    def _send_end(self) -> None:
        for subscriber in self.subscribers:
            subscriber.send_event(self.event(self.emitted))
            subscriber.send_event(b"data: [DONE]\n\n")
            subscriber.finish()
        self.subscribers.clear()
