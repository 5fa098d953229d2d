"""Sinks that send a generation to the caller, streamed or complete."""

import asyncio
import time

import msgspec

from savorylift.completions.engine_call import Token, decode_token
from savorylift.completions.errors import REQUEST_ID_HEADER, error_body
from savorylift.exchange.codec import CallerStream
from savorylift.exchange.request import AnswerHead, CallerRequest
from savorylift.exchange.results import Refused
from savorylift.outcomes import Ending

# Time without data after which a comment is sent; callers that receive nothing
# for longer treat the node as failed.
KEEP_ALIVE_INTERVAL_S = 0.25
KEEP_ALIVE_COMMENT = b":\n\n"


class StreamSink:
    """Sends each token as a server-sent event as soon as it arrives."""

    def __init__(self, req: CallerRequest, caller: CallerStream) -> None:
        """Initializes the sink; starts the response if a stream is resumed.

        Before a resumed stream continues, the engine may have to generate again
        the tokens that the caller already has. Meanwhile keep-alive comments
        show the caller that the node works.
        """
        self._req = req
        self._caller = caller
        self._model = model_of(req)
        self._last_sent_s = 0.0
        self._has_tokens = False
        self._named_run = ""
        self._keep_alive_task: asyncio.Task[None] | None = None
        if req.resume_after is not None:
            self._start()

    @property
    def is_started(self) -> bool:
        """Whether the caller may have seen a part of the answer."""
        return self._caller.is_started

    def start(self, head: AnswerHead) -> None:  # noqa: ARG002
        """Starts the event stream; the engine's own headers are not sent."""
        self._start()

    def _start(self) -> None:
        headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
            (REQUEST_ID_HEADER, self._req.attempt_id),
        )
        self._caller.start(
            AnswerHead(
                200,
                headers,
                matches_request=True,
                is_not_run=False,
                is_signed=True,
            )
        )
        self._last_sent_s = time.monotonic()
        loop = asyncio.get_running_loop()
        self._keep_alive_task = loop.create_task(self._send_keep_alives())

    async def send(self, data: bytes) -> None:
        """Sends a token as an event."""
        token = decode_token(data)
        self._has_tokens = True
        self._last_sent_s = time.monotonic()
        await self._caller.send(self._encode_event(token))

    def finish(self) -> None:
        """Sends the end marker and ends the response."""
        self._stop_keep_alives()
        self._caller.write(b"data: [DONE]\n\n")
        self._caller.finish()

    def fail(self, refused: Refused) -> None:
        """Ends the response with an error event and without the end marker."""
        self._stop_keep_alives()
        ending = Ending.FAILED if self._has_tokens else refused.ending
        body = error_body(self._req.attempt_id, refused, ending)
        self._caller.write(b"event: error\ndata: " + body + b"\n\n")
        self._caller.finish()

    def _encode_event(self, token: Token) -> bytes:
        choice = {
            "index": 0,
            "text": token.text,
            "finish_reason": token.finish_reason,
        }
        event: dict[str, object] = {
            "id": self._req.attempt_id,
            "object": "text_completion",
            "model": self._model,
            "token_index": token.token_index,
            "choices": [choice],
        }
        if token.run_id != self._named_run:
            event["run"] = self._named_run = token.run_id
        data = msgspec.json.encode(event)
        return b"id: %d\ndata: %b\n\n" % (token.token_index, data)

    async def _send_keep_alives(self) -> None:
        """Sends comments while no token arrives, until the caller is gone."""
        while not self._caller.is_disconnected:
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)
            if time.monotonic() - self._last_sent_s >= KEEP_ALIVE_INTERVAL_S:
                self._caller.write(KEEP_ALIVE_COMMENT)

    def _stop_keep_alives(self) -> None:
        if self._keep_alive_task is not None:
            self._keep_alive_task.cancel()
            self._keep_alive_task = None


class BufferingSink:
    """Buffers the tokens and sends the complete answer at the end."""

    def __init__(self, req: CallerRequest, caller: CallerStream) -> None:
        """Initializes the sink with an empty buffer."""
        self._req = req
        self._caller = caller
        self._tokens: list[Token] = []
        self.is_started = False

    def start(self, head: AnswerHead) -> None:
        """Does nothing: the headers are sent with the complete answer."""

    async def send(self, data: bytes) -> None:
        """Buffers a token."""
        self._tokens.append(decode_token(data))

    def finish(self) -> None:
        """Sends the complete answer as one JSON response."""
        finish_reason = self._tokens[-1].finish_reason if self._tokens else None
        choice = {
            "index": 0,
            "text": "".join(token.text for token in self._tokens),
            "finish_reason": finish_reason,
        }
        token_count = sum(1 for token in self._tokens if token.text)
        answer = {
            "id": self._req.attempt_id,
            "object": "text_completion",
            "model": model_of(self._req),
            "choices": [choice],
            "usage": {"completion_tokens": token_count},
        }
        headers = (
            ("content-type", "application/json"),
            (REQUEST_ID_HEADER, self._req.attempt_id),
        )
        self._caller.respond(200, headers, msgspec.json.encode(answer))

    def fail(self, refused: Refused) -> None:
        """Does nothing: the caller gets the refusal as an error response."""


class _ModelField(msgspec.Struct):
    model: str


def model_of(req: CallerRequest) -> str:
    """Returns the name of the model that a completion request asks for."""
    return msgspec.json.decode(req.body, type=_ModelField).model
