"""Tests of splitting a stream into complete events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.completions.engine_call import TokenReader
from savorylift.exchange.codec import EventReader
from savorylift.exchange.events import (
    FREE_EVENT_BYTES,
    MAX_EVENT_BYTES,
    EventSplitter,
    NumberedEventReader,
)
from savorylift.wire.buffer_budget import RESPONSE_BUFFERS, BufferBudget
from savorylift.wire.client_call import BrokenAnswerError

STREAM = b"id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\n\n: note\n\nid: 3"


@pytest.mark.parametrize("step", [1, 2, 7, 100])
def test_returns_complete_events_in_order(step: int) -> None:
    splitter = EventSplitter()
    events = []
    for start in range(0, len(STREAM), step):
        events += splitter.feed(STREAM[start : start + step])
    assert [event.number for event in events] == [1, 2, None]
    assert splitter.unfinished == b"id: 3"
    with pytest.raises(BrokenAnswerError):
        splitter.end()


@given(st.lists(st.binary(max_size=8), max_size=20))
def test_no_byte_is_lost_or_added(parts: list[bytes]) -> None:
    splitter = EventSplitter()
    event_bytes = b"".join(
        event.data for part in parts for event in splitter.feed(part)
    )
    assert event_bytes + splitter.unfinished == b"".join(parts)
    assert event_bytes == b"" or event_bytes.endswith(b"\n\n")


def test_event_without_end_is_not_buffered_without_bound() -> None:
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_BYTES):
        splitter.feed(b"x")
    with pytest.raises(BrokenAnswerError):
        splitter.feed(b"x")


def test_stream_that_ends_after_an_event_is_complete() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    splitter.end()


def test_comments_that_follow_each_other_are_one_event() -> None:
    splitter = EventSplitter()
    comments = b"\n\n\n: a\n: b\n\n:\n\n"
    events = splitter.feed(comments + b"id: 1\ndata: a\n\n: c\n\nid: 2\n\n")
    assert [event.data for event in events] == [
        comments,
        b"id: 1\ndata: a\n\n",
        b": c\n\n",
        b"id: 2\n\n",
    ]


def test_comments_do_not_take_the_place_of_events_without_bound() -> None:
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_BYTES // 4):
        splitter.feed(b": \n\n")
    splitter.feed(b"id: 1\n\n")
    splitter.feed(b"\n" * MAX_EVENT_BYTES)
    with pytest.raises(BrokenAnswerError):
        splitter.feed(b"\n\n")


def test_number_that_no_stream_has_is_none() -> None:
    """The conversion of a long one failed, and with it the request."""
    (event,) = EventSplitter().feed(b"id: %b\ndata: x\n\n" % (b"1" * 5000))
    assert event.number is None


def test_unfinished_events_of_many_streams_do_not_exceed_their_memory() -> None:
    """Each one was bounded, but not all of them together."""
    budget = BufferBudget(1_000_000)
    splitters = [EventSplitter(budget) for _ in range(100)]
    broken = 0
    for splitter in splitters:
        try:
            for _ in range(10):
                splitter.feed(b"x" * 10_000)
        except BrokenAnswerError:
            broken += 1
            splitter.close()
    held = sum(len(splitter.unfinished) for splitter in splitters)
    assert held <= 1_000_000 + len(splitters) * FREE_EVENT_BYTES
    # Ten streams fit: what they hold above the free part.
    assert broken == 90
    assert 900_000 < budget.in_use <= 1_000_000
    for splitter in splitters:
        splitter.close()
    assert budget.in_use == 0


def test_finished_event_leaves_its_memory_to_others() -> None:
    budget = BufferBudget(20_000)
    first, second = EventSplitter(budget), EventSplitter(budget)
    first.feed(b"x" * 20_000)
    with pytest.raises(BrokenAnswerError):
        second.feed(b"x" * 20_000)
    second.close()
    first.feed(b"\n\n")
    assert budget.in_use == 0


def test_sound_events_need_none_of_the_memory_of_all_streams() -> None:
    """Servers in trouble would otherwise break the streams of sound ones."""
    splitter = EventSplitter(BufferBudget(0))
    event = b"id: 1\ndata: ".ljust(FREE_EVENT_BYTES - 2, b"x") + b"\n\n"
    events = []
    for start in range(0, 3 * len(event), 1000):
        events += splitter.feed((3 * event)[start : start + 1000])
    assert [each.data for each in events] == [event] * 3


@pytest.mark.parametrize(
    "reader", [NumberedEventReader(None), TokenReader("run")]
)
def test_reader_that_is_closed_leaves_no_memory_taken(
    reader: EventReader,
) -> None:
    before = RESPONSE_BUFFERS.in_use
    list(reader.feed(b"x" * (FREE_EVENT_BYTES + 100)))
    assert RESPONSE_BUFFERS.in_use == before + 100
    reader.close()
    assert RESPONSE_BUFFERS.in_use == before
