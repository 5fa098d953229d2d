"""One generation under way at an engine."""

import asyncio
import time
from typing import NamedTuple

from savorylift.backends.registry import Known
from savorylift.exchange.admission import Admitted
from savorylift.exchange.codec import Withdrawal
from savorylift.exchange.request import Continuation
from savorylift.wire.client_call import ClientCall


class NextPart(NamedTuple):
    """Where a run that stopped goes on.

    Attributes:
        server: The engine to go on at.
        source: The engine that it ran at, which keeps its memory.
        continuation: Memory to go on from.
    """

    server: Known
    source: Known
    continuation: Continuation


class Run:
    """What this node knows of one generation.

    Attributes:
        adm: The request.
        tokens: Tokens that it is expected to reach.
        server: Engine that has it; None while it waits.
        call: Call to that engine; None before it and between engines.
        withdrawal: What ends the run there, if closing the call does not.
        last_event: Number of the newest event passed on; None before one.
        move: Task that moves it to another engine, if one does.
        sent_s: Steady time at which it was given to its first engine.
        awaits_first_event: Whether its engine has made no event yet.
        unread_at_start: Prompt tokens that this engine had to read then.
        first_event_s: Steady time of the first event.
        newest_event_s: Steady time of the newest event.
        longest_gap_s: Longest pause between events so far.
        gap_event: Number of the event that ended this pause.
        moves: Times that it went on at another engine.
    """

    def __init__(self, adm: Admitted, tokens: int) -> None:
        """Starts without an engine."""
        self.adm = adm
        self.tokens = tokens
        self.server: Known | None = None
        self.call: ClientCall | None = None
        self.withdrawal: Withdrawal | None = None
        self.last_event: int | None = None
        self.move: asyncio.Task[NextPart | None] | None = None
        self.sent_s = 0.0
        self.awaits_first_event = True
        self.unread_at_start = 0
        self.first_event_s: float | None = None
        self.newest_event_s: float | None = None
        self.longest_gap_s = 0.0
        self.gap_event: int | None = None
        self.moves = 0

    @property
    def attempt_id(self) -> str:
        """The caller's name for the request."""
        return self.adm.req.attempt_id

    @property
    def can_move(self) -> bool:
        """Whether its memory can be copied to another engine."""
        engine = self.adm.service.engine
        return engine is not None and engine.can_move

    @property
    def memory_tokens(self) -> int:
        """Tokens that it holds at its engine by now."""
        engine = self.adm.service.engine
        generation = self.adm.req.generation
        if engine is None or generation is None:
            return 0
        events = self.last_event or 0
        return generation.prompt_tokens + events * engine.tokens_per_event

    @property
    def resume_after(self) -> str | None:
        """Last event that the caller has, as a header value."""
        if self.last_event is not None:
            return str(self.last_event)
        if self.adm.route.can_resume:
            return self.adm.req.resume_after
        return None

    def note_sent(self, unread: int) -> None:
        """Remembers that it is given to an engine.

        Args:
            unread: Prompt tokens that the engine has to read by now.
        """
        self.sent_s = time.monotonic()
        self.awaits_first_event = True
        self.unread_at_start = unread

    def note_event(self, number: int | None) -> None:
        """Remembers an event that is passed on."""
        now_s = time.monotonic()
        if self.newest_event_s is None:
            self.first_event_s = now_s
        else:
            gap_s = now_s - self.newest_event_s
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.gap_event = number
        self.newest_event_s = now_s
        if number is not None:
            self.last_event = number
