"""Tests of splitting a stream into whole events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.exchange.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\n\n: note\n\nid: 3"


@pytest.mark.parametrize("step", [1, 2, 7, 100])
def test_gives_whole_events_in_order(step: int) -> None:
    splitter = EventSplitter()
    events = []
    for start in range(0, len(STREAM), step):
        events += splitter.feed(STREAM[start : start + step])
    assert [event.number for event in events] == [1, 2, None]
    assert splitter.end() == b"id: 3"


@given(st.lists(st.binary(max_size=8), max_size=20))
def test_loses_and_adds_no_byte(parts: list[bytes]) -> None:
    splitter = EventSplitter()
    passed = b"".join(
        event.data for part in parts for event in splitter.feed(part)
    )
    assert passed + splitter.end() == b"".join(parts)
    assert passed == b"" or passed.endswith(b"\n\n")
