"""One generation at one engine, from dispatch to its end."""

import time
from typing import NamedTuple, Protocol

import structlog
from returns.result import Failure

from savorylift.permits.gate import Permit, PermitUse
from savorylift.streams.cleaner import Remnant
from savorylift.streams.counters import RESUMES
from savorylift.streams.delivery import Delivery
from savorylift.streams.parts import GenerationParts
from savorylift.streams.relay_job import RelayEnd, RelayJob, RelayTimes
from savorylift.streams.sink import Sink
from savorylift.streams.upstream import (
    EngineRequest,
    EngineStream,
    open_stream,
)

ADJUST_S = 1.0  # interval of memory corrections while a stream runs
MAX_FRUITLESS_RESUMES = 3
RESUME_PAUSE_S = 0.1
NO_DELAY_S = -1.0  # tells a keeper of output without a delay to learn from
PATIENCE_FACTOR = 2.0  # a preempted generation is silent but not lost

RESUMABLE = frozenset(
    {
        RelayEnd.SOURCE_LOST,
        RelayEnd.SOURCE_SILENT,
        RelayEnd.OUT_OF_ORDER,
        RelayEnd.WRONG_GENERATION,
    }
)

log = structlog.get_logger()


class Attempt(NamedTuple):
    """A dispatched generation.

    Attributes:
        permit: Permit it runs under.
        address: `ip:port` of the engine.
        generation_id: Identifier at the engine.
        dispatched_s: `time.monotonic()` when the engine was asked.
        is_resumed: True if another connection had relayed it before.
    """

    permit: Permit
    address: str
    generation_id: str
    dispatched_s: float
    is_resumed: bool = False


class AttemptEnd(NamedTuple):
    """How an attempt ended.

    Attributes:
        end: Why the relay stopped for good.
        first_token_s: Delay of the first event; None if there was none.
        incarnation: Incarnation that the engine named.
    """

    end: RelayEnd
    first_token_s: float | None
    incarnation: str | None


class Reserve(Protocol):
    """Memory reserved for one attempt, corrected as its output grows."""

    def corrected(self, produced: int) -> int | None:
        """Returns a new reserve in tokens, or None to keep the old one."""


class Follower:
    """Follows one attempt over as many connections as it takes."""

    def __init__(
        self,
        parts: GenerationParts,
        sink: Sink,
        delivery: Delivery,
        deadline_s: float,
    ) -> None:
        """Prepares to follow attempts of one answer."""
        self._parts = parts
        self._sink = sink
        self._delivery = delivery
        self._deadline_s = deadline_s

    def follow(
        self, attempt: Attempt, stream: EngineStream, reserve: Reserve
    ) -> AttemptEnd:
        """Relays until the attempt has ended or its engine seems lost."""
        timing = self._parts.timing
        silence_s = timing.token_timeout_s
        first_token_s: float | None = None
        incarnation = stream.incarnation
        fruitless = 0
        while True:
            before = self._delivery.expected_index
            job = self._relay(stream, silence_s)
            if first_token_s is None:
                first_token_s = self._await_first(job, attempt, stream)
            end = self._await_end(job, attempt, reserve)
            ended = AttemptEnd(end, first_token_s, incarnation)
            if end not in RESUMABLE:
                return ended
            RESUMES.labels(end.name.lower()).inc()
            if self._delivery.expected_index > before:
                fruitless, silence_s = 0, timing.token_timeout_s
            else:
                fruitless += 1
                silence_s *= PATIENCE_FACTOR
            if fruitless > MAX_FRUITLESS_RESUMES:
                return ended
            reopened = self.reopen(attempt)
            if reopened is None:
                return ended
            stream = reopened

    def reopen(self, attempt: Attempt) -> EngineStream | None:
        """Opens the generation's events on a new connection.

        Returns:
            None if the engine does not know the generation or can't be
            reached within a few tries.
        """
        timing = self._parts.timing
        index = self._delivery.expected_index
        target = f"/v1/generations/{attempt.generation_id}/events?from={index}"
        req = EngineRequest("GET", target, None)
        for _ in range(MAX_FRUITLESS_RESUMES):
            if time.monotonic() >= self._deadline_s:
                return None
            opened = open_stream(
                attempt.address,
                req,
                timing.connect_timeout_s,
                timing.token_timeout_s,
            )
            if not isinstance(opened, Failure):
                return opened.unwrap()
            fault = opened.failure()
            log.info(
                "resume failed",
                backend_server=attempt.permit.backend_server,
                cause=fault.message,
            )
            if fault.code == "unknown_generation":
                return None
            time.sleep(RESUME_PAUSE_S)
        return None

    def _relay(self, stream: EngineStream, silence_s: float) -> RelayJob:
        timing = self._parts.timing
        first_s = timing.first_token_timeout_s
        if not self._delivery.is_empty():
            first_s = silence_s
        times = RelayTimes(self._deadline_s, first_s, silence_s)
        job = RelayJob(stream, self._sink, self._delivery, times)
        self._parts.relay.add(job)
        return job

    def _await_first(
        self, job: RelayJob, attempt: Attempt, stream: EngineStream
    ) -> float | None:
        """Waits for the first event and tells the keeper of it at once.

        Returns:
            Its delay in seconds, or None if the connection ended without or
            the engine had produced it before.
        """
        while not job.wait_first_event(ADJUST_S):
            continue  # the relay ends every job by its own timeouts
        if job.first_event_s is None:
            return None
        # What is read again at once says nothing of the engine's own delay.
        is_new = not attempt.is_resumed
        delay_s = job.first_event_s - attempt.dispatched_s
        self._parts.gate.started(
            attempt.permit,
            stream.incarnation or "",
            delay_s if is_new else NO_DELAY_S,
            is_cold=stream.is_cold,
        )
        return delay_s if is_new else None

    def _await_end(
        self, job: RelayJob, attempt: Attempt, reserve: Reserve
    ) -> RelayEnd:
        while True:
            end = job.wait(ADJUST_S)
            if end is not None:
                return end
            tokens = reserve.corrected(self._delivery.next_index)
            if tokens is not None:
                self._parts.gate.adjust(attempt.permit, tokens)


def remnant(attempt: Attempt, output_tokens: int) -> Remnant:
    """Returns what the cleaner needs to end an attempt."""
    return Remnant(
        attempt.permit,
        attempt.generation_id,
        attempt.dispatched_s,
        output_tokens,
    )


def unsent_use(*, overloaded: bool = False) -> PermitUse:
    """Returns the use of a permit whose work never started."""
    return PermitUse(
        finished=True,
        completed=False,
        first_token_s=None,
        output_tokens=0,
        overloaded=overloaded,
        incarnation=None,
    )
