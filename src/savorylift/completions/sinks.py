"""Where tokens go: a stream of events, or one whole answer."""

import asyncio
import time

import msgspec

from savorylift.completions.engine_call import Token, decode_token
from savorylift.completions.errors import REQUEST_ID, error_body
from savorylift.exchange.codec import CallerStream
from savorylift.exchange.ending import Refused
from savorylift.exchange.request import AnswerHead, CallerRequest
from savorylift.outcomes import Ending

# Callers that hear nothing for longer take the node for dead.
KEEP_ALIVE_S = 0.25
COMMENT = b":\n\n"


class StreamSink:
    """Sends each token at once as a server-sent event."""

    def __init__(self, req: CallerRequest, caller: CallerStream) -> None:
        """Sends nothing before the first token, unless the caller resumes.

        Then the tokens that it has may have to be made again first, and
        meanwhile it should hear that the node is alive.
        """
        self._req = req
        self._caller = caller
        self._model = model_of(req)
        self._sent_s = 0.0
        self._has_tokens = False
        self._life: asyncio.Task[None] | None = None
        if req.resume_after is not None:
            self._start()

    @property
    def is_started(self) -> bool:
        """Whether the caller may have seen a part of the answer."""
        return self._caller.is_started

    def start(self, head: AnswerHead) -> None:  # noqa: ARG002
        """Sends the head of the node's own answer."""
        self._start()

    def _start(self) -> None:
        headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
            (REQUEST_ID, self._req.attempt_id),
        )
        self._caller.start(
            AnswerHead(
                200, headers, is_ours=True, is_not_run=False, is_signed=True
            )
        )
        self._sent_s = time.monotonic()
        loop = asyncio.get_running_loop()
        self._life = loop.create_task(self._keep_alive())

    async def send(self, data: bytes) -> None:
        """Sends a token."""
        token = decode_token(data)
        self._has_tokens = True
        self._sent_s = time.monotonic()
        await self._caller.send(self._event(token))

    def finish(self) -> None:
        """Ends the stream as complete."""
        self._stop()
        self._caller.write(b"data: [DONE]\n\n")
        self._caller.finish()

    def fail(self, refused: Refused) -> None:
        """Ends the stream with an error event and no end mark."""
        self._stop()
        ending = Ending.FAILED if self._has_tokens else refused.ending
        body = error_body(self._req.attempt_id, refused, ending)
        self._caller.write(b"event: error\ndata: " + body + b"\n\n")
        self._caller.finish()

    def _event(self, token: Token) -> bytes:
        choice = {
            "index": 0,
            "text": token.text,
            "finish_reason": token.finish_reason,
        }
        event = {
            "id": self._req.attempt_id,
            "object": "text_completion",
            "model": self._model,
            "token_index": token.number,
            "choices": [choice],
        }
        data = msgspec.json.encode(event)
        return b"id: %d\ndata: %b\n\n" % (token.number, data)

    async def _keep_alive(self) -> None:
        """Shows the caller that its node lives while no token comes."""
        while not self._caller.is_gone:
            await asyncio.sleep(KEEP_ALIVE_S)
            if time.monotonic() - self._sent_s >= KEEP_ALIVE_S:
                self._caller.write(COMMENT)

    def _stop(self) -> None:
        if self._life is not None:
            self._life.cancel()
            self._life = None


class WholeSink:
    """Collects the answer; the caller sees nothing before it is whole."""

    def __init__(self, req: CallerRequest, caller: CallerStream) -> None:
        """Collects nothing yet."""
        self._req = req
        self._caller = caller
        self._tokens: list[Token] = []
        self.is_started = False

    def start(self, head: AnswerHead) -> None:
        """Does nothing: the head follows with the whole answer."""

    async def send(self, data: bytes) -> None:
        """Keeps a token."""
        self._tokens.append(decode_token(data))

    def finish(self) -> None:
        """Sends the answer."""
        reason = self._tokens[-1].finish_reason if self._tokens else None
        choice = {
            "index": 0,
            "text": "".join(token.text for token in self._tokens),
            "finish_reason": reason,
        }
        tokens = sum(1 for token in self._tokens if token.text)
        answer = {
            "id": self._req.attempt_id,
            "object": "text_completion",
            "model": model_of(self._req),
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        }
        headers = (
            ("content-type", "application/json"),
            (REQUEST_ID, self._req.attempt_id),
        )
        self._caller.respond(200, headers, msgspec.json.encode(answer))

    def fail(self, refused: Refused) -> None:
        """Does nothing: the refusal goes in place of the answer."""


class _Asked(msgspec.Struct):
    model: str


def model_of(req: CallerRequest) -> str:
    """Returns the model that a request for a generation names."""
    return msgspec.json.decode(req.body, type=_Asked).model
