"""Tests of streams whose run is given up while they are relayed."""

import asyncio
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any

import pytest

from savorylift.exchange.events import Event
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.relay import LAST_PART_S, Relay
from savorylift.exchange.results import Broken
from savorylift.exchange.run import Run
from savorylift.outcomes import Reason
from savorylift.wire.client_call import BrokenAnswerError
from tests.exchange.factories import ENGINE, make_admitted_request
from tests.harness.virtual_time import run_in_virtual_time

EVENT_S = 0.05
END = b"end"


class Call:
    """The call by which an engine sends events, one in each chunk."""

    def __init__(self, events: int, end_after_s: float) -> None:
        """Creates a call whose stream closes a while after its last event."""
        self._left = [b"x"] * (events - 1) + [b"x" + END]
        self._end_after_s = end_after_s

    async def read_body_chunk(self) -> bytes | None:
        """Returns the next chunk."""
        if not self._left:
            await asyncio.sleep(self._end_after_s)
            return None
        await asyncio.sleep(EVENT_S)
        return self._left.pop(0)


class Reader:
    """Decodes the stream.

    Attributes:
        is_closed: Whether it holds nothing any more.
    """

    def __init__(self) -> None:
        """Starts before the first event."""
        self._number = -1
        self._is_complete = False
        self.is_closed = False

    def feed(self, data: bytes) -> Iterable[Event]:
        """Returns one event a chunk."""
        self._number += 1
        self._is_complete = data.endswith(END)
        return [Event(data, self._number)]

    def end(self) -> None:
        """Checks that the end has come."""
        if not self._is_complete:
            raise BrokenAnswerError("no end")

    def close(self) -> None:
        """Notes that the relay has closed it."""
        self.is_closed = True


class Sink:
    """Counts the caller's events, and gives the run up during one of them."""

    def __init__(self, run: Run, given_up_at: int) -> None:
        """Creates a stream that was begun.

        Args:
            run: The run.
            given_up_at: Number of the event during which the run is given up.
        """
        self.is_started = True
        self.sent = 0
        self._run = run
        self._given_up_at = given_up_at

    async def send(self, data: bytes) -> None:
        """Sends an event."""
        if self.sent == self._given_up_at:
            self._run.is_given_up = True
        self.sent += 1


@pytest.mark.parametrize(
    ("given_up_at", "end_after_s", "sent", "reason"),
    [
        # The end comes with or right after the last event.
        (4, 0.0, 5, None),
        (4, LAST_PART_S / 2, 5, None),
        # It doesn't come soon, or the engine would go on.
        (4, 2 * LAST_PART_S, 5, Reason.BACKEND_LOST),
        (2, 0.0, 3, Reason.BACKEND_LOST),
    ],
)
def test_stream_that_has_just_ended_is_not_made_again(
    monkeypatch: pytest.MonkeyPatch,
    given_up_at: int,
    end_after_s: float,
    sent: int,
    reason: Reason | None,
) -> None:
    async def scenario() -> None:
        run = Run(make_admitted_request(engine=ENGINE), 100)
        run.awaits_first_event = False
        sink: Any = Sink(run, given_up_at)
        reader = Reader()
        codec: Any = SimpleNamespace(make_event_reader=lambda *_: reader)
        started: Any = SimpleNamespace(call=Call(5, end_after_s), run_id="1")
        policy = FailoverPolicy(0.0, 0.0, lambda: False)
        relay = Relay(codec, lambda _: None, lambda _: None)
        result = await relay.forward(run, started, sink, policy)
        assert sink.sent == sent
        found = result.reason if isinstance(result, Broken) else None
        assert found is reason
        assert reader.is_closed

    run_in_virtual_time(monkeypatch, scenario)
