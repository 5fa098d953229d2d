"""State of a generation in progress."""

import asyncio
import time
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.codec import CancelRequest
from savorylift.exchange.events import MAX_NUMBER_DIGITS, Event
from savorylift.exchange.request import KvCopy
from savorylift.exchange.request_traits import find_traits
from savorylift.exchange.results import Obstacle, Refused
from savorylift.exchange.time_limit import end_now
from savorylift.speeds.stream_pace import StreamPace
from savorylift.wire.channel import Channel
from savorylift.wire.client_call import ClientCall

# An engine that crashes on a request may still deliver a first event or two.
EVENTS_TO_SURVIVE = 4


class ResumeTarget(NamedTuple):
    """Where to resume a run that was stopped to move it.

    Attributes:
        server: Engine to resume on.
        source: Engine that the run was on, which keeps its KV cache.
        kv_copy: KV cache to resume from.
    """

    server: BackendServer
    source: BackendServer
    kv_copy: KvCopy


class Run:
    """State of one generation at this node.

    Attributes:
        admitted: The admitted request.
        traits: What it can be recognized by if it crashes its engine.
        expected_tokens: Number of tokens, prompt included, that the run is
            expected to reach.
        server: Engine that the run is assigned to; None while it is queued.
        call: Call to that engine; None before it and between engines.
        channel: Connection of the latest call; None before the first.
        cancel_request: Request that cancels the run on that engine; None if
            closing the call cancels it.
        last_event: Number of the last relayed event; None before the first.
        move_task: Task that moves the run to another engine, if any.
        assigned_s: Monotonic time at which the queue last assigned an engine
            to the run, just before the request is sent.
        awaits_first_event: Whether that engine has not sent an event yet.
        engine_events: Number of events relayed from the engine that the queue
            assigned last, or that it was moved to from there.
        engine_first_event_s: Monotonic time of the first of these; None before
            it.
        has_survived_start: Whether an engine has got past the beginning of the
            response.
        has_unnumbered_events: Whether some of these had no number.
        possibly_run_attempts: Number of engines that may have run the request
            before the current one.
        is_at_engine: Whether it is being sent to an engine or was sent.
        time_limit: Ends the serving of the request; None before it begins.
        refusal: Why the request must not be sent to engines, if so.
        prefill_tokens_at_start: Prompt tokens that the engine had to prefill
            at `assigned_s`, including those of earlier runs.
        first_event_s: Monotonic time of the first relayed event.
        last_event_s: Monotonic time of the last relayed event.
        longest_gap_s: Longest pause between events so far.
        gap_event: Number of the event that ended this pause.
        moves: Number of times that the run was stopped to resume elsewhere.
        is_close_delimited: Whether only the close of its connection marks the
            end of its stream, at the current engine.
        is_framed_for_caller: Whether the caller's stream was begun in a framing
            that marks its end as complete.
        is_stopping: Whether its engine was told to stop it, for a move.
        is_end_known: Whether its engine, which lives, has ended its stream.
        awaits_move: Whether it waits for the planner of moves.
        is_given_up: Whether it is to be made again elsewhere, since its engine
            leaves before a copy could end.
        obstacle: What kept it from going on at the latest engine tried, if it
            had begun; None if that was something else.
        return_in_s: After what time there should be room for it, if it is
            refused since its turn would come too late; None otherwise.
        life_check: Finds out whether the engine that began its stream is of
            the version that its entry says; None before the stream begins.
        pace: How fast its engine sends it; None before the first event.
    """

    def __init__(self, admitted: AdmittedRequest, expected_tokens: int) -> None:
        """Creates a run without an engine."""
        self.admitted = admitted
        self.traits = find_traits(admitted)
        self.expected_tokens = expected_tokens
        self.server: BackendServer | None = None
        self.call: ClientCall | None = None
        self.channel: Channel | None = None
        self.cancel_request: CancelRequest | None = None
        self.last_event: int | None = None
        self.move_task: asyncio.Task[ResumeTarget | None] | None = None
        self.assigned_s = 0.0
        self.awaits_first_event = True
        self.engine_events = 0
        self.engine_first_event_s: float | None = None
        self.has_survived_start = False
        self.has_unnumbered_events = False
        self.possibly_run_attempts = 0
        self.is_at_engine = False
        self.time_limit: asyncio.Timeout | None = None
        self.refusal: Refused | None = None
        self.prefill_tokens_at_start = 0
        self.first_event_s: float | None = None
        self.last_event_s: float | None = None
        self.longest_gap_s = 0.0
        self.gap_event: int | None = None
        self.moves = 0
        self.is_close_delimited = False
        self.is_framed_for_caller = False
        self.is_stopping = False
        self.is_end_known = False
        self.awaits_move = False
        self.is_given_up = False
        self.obstacle: Obstacle | None = None
        self.return_in_s: float | None = None
        self.life_check: asyncio.Task[None] | None = None
        self.pace: StreamPace | None = None

    @property
    def attempt_id(self) -> str:
        """The caller's ID for the request."""
        return self.admitted.req.attempt_id

    @property
    def is_take_up(self) -> bool:
        """Whether its caller is to get the rest of a stream."""
        req = self.admitted.req
        is_resumed = req.resumes is not None or req.resume_after is not None
        return self.admitted.route.can_resume and is_resumed

    @property
    def has_begun(self) -> bool:
        """Whether only servers of one software version may continue it."""
        return self.admitted.software_version is not None

    def bind_version(self, version: str) -> None:
        """Lets only servers of a software version continue it."""
        self.admitted = self.admitted._replace(software_version=version)

    @property
    def is_version_certain(self) -> bool:
        """Whether it is known which software version began its stream."""
        return self.life_check is None or self.life_check.done()

    @property
    def can_move(self) -> bool:
        """Whether the KV cache can be copied to another engine."""
        engine = self.admitted.service.engine
        return engine is not None and engine.can_move

    @property
    def kv_cache_tokens(self) -> int:
        """Estimated number of tokens in the KV cache of the run."""
        engine = self.admitted.service.engine
        generation = self.admitted.req.generation
        if engine is None or generation is None:
            return 0
        events = self.last_event or 0
        return generation.prompt_tokens + events * engine.tokens_per_event

    @property
    def resume_after(self) -> str | None:
        """ID of the last event that the caller has, as a header value."""
        if self.last_event is not None:
            return str(self.last_event)
        if self.admitted.route.can_resume:
            return self.admitted.req.resume_after
        return None

    @property
    def last_event_of_caller(self) -> int | None:
        """Number of the last event that the caller has, if that is known."""
        after = self.resume_after
        if after is None or len(after) > MAX_NUMBER_DIGITS:
            return None
        return int(after) if after.isdecimal() else None

    @property
    def is_position_known(self) -> bool:
        """Whether another engine can be told where to go on."""
        return self.last_event is not None or not self.has_unnumbered_events

    @property
    def was_stopped_without_end(self) -> bool:
        """Whether the end of its stream may be due to a move."""
        return self.is_close_delimited and self.is_stopping

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run the request."""
        return self.is_at_engine or self.possibly_run_attempts > 0

    def stop(self, refusal: Refused | None) -> None:
        """Ends the serving of the request now, if there is a refusal."""
        if refusal is not None and end_now(self.time_limit):
            self.refusal = refusal

    def mark_assigned(self, prefill_tokens: int) -> None:
        """Records that the queue assigned an engine to the run.

        Args:
            prefill_tokens: Prompt tokens that the engine has yet to prefill.
        """
        self.assigned_s = time.monotonic()
        self.awaits_first_event = True
        self.engine_events = 0
        self.engine_first_event_s = None
        self.prefill_tokens_at_start = prefill_tokens

    def mean_pause_s(self) -> float | None:
        """Returns the mean pause between the events of the present engine.

        None before its second event.
        """
        if self.engine_first_event_s is None or self.engine_events < 2:
            return None
        span_s = time.monotonic() - self.engine_first_event_s
        return span_s / (self.engine_events - 1)

    def record_event(self, event: Event) -> None:
        """Updates times and numbers when an event is relayed."""
        number = event.number
        now_s = time.monotonic()
        self.engine_events += 1
        if self.engine_first_event_s is None:
            self.engine_first_event_s = now_s
        if self.engine_events >= EVENTS_TO_SURVIVE:
            self.has_survived_start = True
        if self.last_event_s is None:
            self.first_event_s = now_s
        else:
            gap_s = now_s - self.last_event_s
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.gap_event = number
        self.last_event_s = now_s
        if number is not None:
            self.last_event = number
        elif not event.is_comment:
            self.has_unnumbered_events = True
