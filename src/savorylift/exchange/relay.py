"""Relays the events of an engine's response to the caller.

Each event is delivered once, in order, and all events come from the same run.
"""

import math
import time
from collections.abc import Callable

from savorylift.exchange.codec import Codec, EventSink
from savorylift.exchange.events import Event
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.results import Broken
from savorylift.exchange.run import Run
from savorylift.exchange.run_log import log_complete, record_first_event_time
from savorylift.exchange.send import Started
from savorylift.outcomes import Reason
from savorylift.wire.client_call import BrokenAnswerError
from savorylift.wire.coop_budget import CoopBudget
from savorylift.wire.input_timeout import InputTimeout

# A stream may stop without an error, or go on with bytes that make no event or
# with comments.
# Pauses between the events of a working engine are shorter than this.
STALL_TIMEOUT_S = 1.0
# A stream whose run is given up may have ended already: what arrives within
# this time is still relayed.
LAST_PART_S = 0.02


class _GivenUpError(Exception):
    """The run is to be made again elsewhere, and no end of it has come."""


class Relay:
    """Relays the complete events that the caller does not have yet."""

    def __init__(
        self,
        codec: Codec,
        on_first_event: Callable[[Run], None],
        on_event: Callable[[Run], None],
    ) -> None:
        """Creates a relay for any number of runs.

        Args:
            codec: Decodes the streams of engines.
            on_first_event: Called before a run's first event from the
                engine that it started on is relayed.
            on_event: Called after each relayed event.
        """
        self._codec = codec
        self._on_first_event = on_first_event
        self._on_event = on_event

    async def forward(
        self,
        run: Run,
        started: Started,
        sink: EventSink,
        failover_policy: FailoverPolicy,
    ) -> Broken | None:
        """Relays a response; returns None if its stream has ended.

        The stream of the caller remains open; `finish` ends it.
        """
        reader = self._codec.make_event_reader(started.run_id, run.resume_after)
        last_event_s = time.monotonic()
        newest = -1
        until_s = math.inf
        coop_budget = CoopBudget()
        try:
            while True:
                if run.is_given_up:
                    until_s = min(until_s, time.monotonic() + LAST_PART_S)
                chunk = await _read_chunk(
                    run, started, failover_policy, last_event_s, until_s
                )
                if chunk is None:
                    break
                for event in reader.feed(chunk):
                    await self._forward_event(run, started, sink, event)
                    # An engine that makes a stream again works, although the
                    # caller has these events; one that repeats them doesn't.
                    if _is_progress(event, newest):
                        last_event_s = time.monotonic()
                        newest = (
                            newest if event.number is None else event.number
                        )
                    await coop_budget.spend()
            reader.end()
        except _GivenUpError:
            detail = "its engine leaves before a copy could end"
            return Broken(Reason.BACKEND_LOST, detail)
        except BrokenAnswerError as exc:
            return Broken(Reason.ANSWER_LOST, str(exc))
        finally:
            reader.close()
        return None

    def finish(self, run: Run, started: Started, sink: EventSink) -> None:
        """Ends a stream as far as its engine has said that it is complete."""
        if not sink.is_started:
            _start_sink(run, started, sink)
        sink.finish()
        log_complete(run)

    async def _forward_event(
        self, run: Run, started: Started, sink: EventSink, event: Event
    ) -> None:
        data, number = event
        last_event = run.last_event_of_caller
        if number is not None and last_event is not None:
            if number <= last_event:
                return
            if number > last_event + 1:
                raise BrokenAnswerError(
                    f"event {number} followed event {last_event}"
                )
        if not sink.is_started:
            _start_sink(run, started, sink)
            record_first_event_time(run)
        if run.awaits_first_event:
            run.awaits_first_event = False
            self._on_first_event(run)
        run.record_event(event)
        await sink.send(data)
        self._on_event(run)


def _start_sink(run: Run, started: Started, sink: EventSink) -> None:
    run.is_framed_for_caller = not started.head.is_close_delimited
    sink.start(started.head)


def _is_progress(event: Event, newest: int) -> bool:
    """Whether an event takes a response further.

    Args:
        event: The event.
        newest: Highest number of an event of this response so far.
    """
    if event.number is None:
        return not event.is_comment
    return event.number > newest


async def _read_chunk(
    run: Run,
    started: Started,
    failover_policy: FailoverPolicy,
    last_event_s: float,
    until_s: float,
) -> bytes | None:
    """Returns the next chunk of a stream; None at its end.

    Args:
        run: The run.
        started: The response.
        failover_policy: Whether another engine could take over.
        last_event_s: Monotonic time of the last event that took the response
            further, or of the head if there was none.
        until_s: Monotonic time until which one is waited for.

    Raises:
        _GivenUpError: None came until `until_s`.
        BrokenAnswerError: The connection failed, or the stream stalled while
            another engine could take over.
    """
    while (left_s := until_s - time.monotonic()) > 0:
        is_stalled = time.monotonic() - last_event_s >= STALL_TIMEOUT_S
        if (
            is_stalled
            and run.is_position_known
            and failover_policy.allows_failover
            and failover_policy.has_alternative()
        ):
            raise BrokenAnswerError("the stream stalled")
        try:
            async with InputTimeout(min(STALL_TIMEOUT_S, left_s)):
                return await started.call.read_body_chunk()
        except TimeoutError:
            continue
    raise _GivenUpError
