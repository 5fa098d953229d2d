"""Requests to engines and services, and what they answer."""

import secrets
from typing import NamedTuple

import msgspec

from savorylift.completions.caller_request import (
    COMPLETIONS_PATH,
    ORDINARY_RANK,
    RANK_STEPS,
    CompletionBody,
)
from savorylift.completions.errors import REQUEST_ID
from savorylift.exchange.codec import Outgoing, Withdrawal
from savorylift.exchange.events import END_MARK, Event, EventSplitter, data_of
from savorylift.exchange.request import AnswerHead, CallerRequest, Forwarding
from savorylift.wire.client_call import BrokenAnswerError
from savorylift.wire.message import ResponseHead, end_to_end

GENERATIONS_PATH = "/v1/generations/"
# The engine's statuses that say that nothing was started: full or leaving,
# and another model or a generation that it has.
NOT_RUN_STATUSES = frozenset({409, 503})
# Any other reason, such as `cancelled`, is no end of a whole answer.
FINISHED = frozenset({"stop", "length"})
MAX_EVENT_BYTES = 65_536  # one token each; more means a broken engine


class Token(NamedTuple):
    """One event of a generation.

    Attributes:
        number: Position of the token in the output, from 0.
        text: Text of the token; empty in the finishing event.
        finish_reason: `stop` or `length` in the finishing event, else None.
    """

    number: int
    text: str
    finish_reason: str | None


class _EngineEvent(msgspec.Struct):
    id: str
    index: int
    token: str
    finish_reason: str | None = None


def generation_call(req: CallerRequest, how: Forwarding) -> Outgoing:
    """Returns the request that starts a generation at an engine."""
    asked = msgspec.json.decode(req.body, type=CompletionBody)
    run_id = f"{req.attempt_id}.{secrets.token_hex(4)}"
    rank = ORDINARY_RANK if how.priority is None else how.priority
    body = {
        "model": asked.model,
        "version": how.model_version or "",
        "prompt": asked.prompt,
        "max_tokens": asked.max_tokens,
        "seed": asked.seed,
        "stream": True,
        "generation_id": run_id,
        "priority": (ORDINARY_RANK - rank) * RANK_STEPS,
        "team": how.team or "",
    }
    headers = (
        ("host", "engine"),
        ("content-type", "application/json"),
        (REQUEST_ID, req.attempt_id),
    )
    data = msgspec.json.encode(body)
    # An engine goes on when its connection is lost.
    withdrawal = Withdrawal("DELETE", f"{GENERATIONS_PATH}{run_id}")
    return Outgoing(run_id, "POST", COMPLETIONS_PATH, headers, data, withdrawal)


def service_call(req: CallerRequest) -> Outgoing:
    """Returns the request that a plain service gets."""
    headers = (("host", "service"), *req.headers)
    return Outgoing(req.attempt_id, req.method, req.target, headers, req.body)


def read_head(head: ResponseHead, req: CallerRequest) -> AnswerHead:
    """Returns what the head of an answer says.

    Engines name their generation in each event, services the request in
    their head.
    """
    echoed = head.value(REQUEST_ID)
    is_generation = req.generation is not None
    is_not_run = head.status == 503 or (
        is_generation and head.status in NOT_RUN_STATUSES
    )
    return AnswerHead(
        status=head.status,
        headers=end_to_end(head.headers),
        is_ours=is_generation or echoed == req.attempt_id,
        is_not_run=is_not_run,
        is_signed=True,
    )


class TokenReader:
    """Reads the tokens of one generation, from the first not delivered."""

    def __init__(self, run_id: str, resume_after: str | None) -> None:
        """Leaves out what the caller has.

        Args:
            run_id: The engine's name for the generation.
            resume_after: Index of the last token that the caller has.
        """
        self._run_id = run_id
        self._splitter = EventSplitter()
        self._delivered = -1
        if resume_after is not None and resume_after.isdecimal():
            self._delivered = int(resume_after)
        self._is_whole = False

    def feed(self, data: bytes) -> list[Event]:
        """Returns the tokens that `data` completes, as JSON.

        Raises:
            BrokenAnswerError: An event is not of this generation.
        """
        events = []
        for event in self._splitter.feed(data):
            text = data_of(event.data)
            if text == END_MARK:
                self._is_whole = True
            elif text:
                token = self._read(text)
                if token.number > self._delivered:
                    encoded = msgspec.json.encode(token)
                    events.append(Event(encoded, token.number))
        if len(self._splitter.end()) > MAX_EVENT_BYTES:
            raise BrokenAnswerError("an event is too large")
        return events

    def end(self) -> bytes:
        """Returns nothing, once the generation has ended.

        Raises:
            BrokenAnswerError: It ended early.
        """
        if not self._is_whole:
            raise BrokenAnswerError("the stream ended without its end mark")
        return b""

    def _read(self, text: bytes) -> Token:
        try:
            event = msgspec.json.decode(text, type=_EngineEvent)
        except msgspec.MsgspecError as exc:
            raise BrokenAnswerError(f"bad engine event: {exc}") from exc
        if event.id != self._run_id:
            raise BrokenAnswerError(f"an event of generation {event.id}")
        reason = event.finish_reason
        if reason is not None and reason not in FINISHED:
            raise BrokenAnswerError(f"generation ended early: {reason}")
        return Token(event.index, event.token, reason)


def decode_token(data: bytes) -> Token:
    """Returns a token as `TokenReader` gives it."""
    return msgspec.json.decode(data, type=Token)
