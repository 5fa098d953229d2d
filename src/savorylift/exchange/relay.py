"""Passes the events of an engine's answer on to a caller.

The one rule of delivery: each event once, in order, from one run.
"""

import asyncio
from collections.abc import Callable

from savorylift.exchange.codec import Codec, EventSink
from savorylift.exchange.ending import Broken
from savorylift.exchange.events import Event
from savorylift.exchange.run import Run
from savorylift.exchange.run_log import log_complete, log_first_event
from savorylift.exchange.send import Patience, Started
from savorylift.outcomes import Reason
from savorylift.wire.client_call import BrokenAnswerError

# A connection may fall silent for good; engines pause for less.
STALL_S = 1.0


class Relay:
    """Passes on whole events that the caller doesn't have yet."""

    def __init__(
        self,
        codec: Codec,
        begun: Callable[[Run], None],
        passed: Callable[[Run], None],
    ) -> None:
        """Takes what it tells of.

        Args:
            codec: How streams look.
            begun: Called at the first event from an engine.
            passed: Called after each event.
        """
        self._codec = codec
        self._begun = begun
        self._passed = passed

    async def run(
        self, run: Run, started: Started, sink: EventSink, patience: Patience
    ) -> Broken | None:
        """Passes on an answer; None once the stream is complete."""
        reader = self._codec.events(started.run_id, run.resume_after)
        try:
            while True:
                part = await _read_part(started, patience)
                if part is None:
                    break
                for event in reader.feed(part):
                    await self._pass_on(run, started, sink, event)
            rest = reader.end()
        except BrokenAnswerError as exc:
            return Broken(Reason.ANSWER_LOST, str(exc))
        if not sink.is_started:
            sink.start(started.head)
        if rest:
            await sink.send(rest)
        sink.finish()
        log_complete(run)
        return None

    async def _pass_on(
        self, run: Run, started: Started, sink: EventSink, event: Event
    ) -> None:
        data, number = event
        if number is not None and run.last_event is not None:
            if number <= run.last_event:
                return
            if number > run.last_event + 1:
                raise BrokenAnswerError(
                    f"event {number} came after {run.last_event}"
                )
        if not sink.is_started:
            sink.start(started.head)
            log_first_event(run)
        if run.awaits_first_event:
            run.awaits_first_event = False
            self._begun(run)
        run.note_event(number)
        await sink.send(data)
        self._passed(run)


async def _read_part(started: Started, patience: Patience) -> bytes | None:
    """Returns the next part of a stream, None after the last one.

    Raises:
        BrokenAnswerError: The rest won't come, or not while another engine
            could make it again.
    """
    while True:
        try:
            async with asyncio.timeout(STALL_S):
                return await started.call.read_part()
        except TimeoutError:
            if patience.may_give_up and patience.has_alternative():
                raise BrokenAnswerError("the stream stalled") from None
