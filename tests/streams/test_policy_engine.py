"""The bench's engine keeps count of tokens and memory."""

import pytest
from bench.policy_engine import Engine, Stream
from hypothesis import given
from hypothesis import strategies as st

KV_TOKENS = 400
STREAMS = st.lists(
    st.tuples(st.integers(1, 100), st.integers(1, 250), st.booleans()),
    min_size=1,
    max_size=12,
)


class Notes:
    """Follower that keeps what it is told."""

    def __init__(self) -> None:
        self.first: list[Stream] = []
        self.done: list[Stream] = []

    def first_token(self, stream: Stream) -> None:
        self.first.append(stream)

    def completed(self, stream: Stream) -> None:
        self.done.append(stream)


@given(STREAMS)
def test_every_token_is_made_once_and_memory_comes_back(
    drawn: list[tuple[int, int, bool]],
) -> None:
    clock = [0.0]
    engine = Engine("r", KV_TOKENS, 8, 4, lambda: clock[0])
    engine.follower = notes = Notes()
    streams = [Stream(prompt, length, "") for prompt, length, _ in drawn]
    for stream, (_, _, waits) in zip(streams, drawn, strict=True):
        engine.submit(stream)
        clock[0] += 0.5 * waits
    while (event_s := engine.next_event_s()) < float("inf"):
        clock[0] = event_s
        engine.run()
        assert engine._used <= KV_TOKENS * 1.01
    assert sorted(map(id, notes.done)) == sorted(map(id, streams))
    assert len(notes.first) == len(streams)
    assert [s.produced for s in streams] == [s.length for s in streams]
    assert engine.active == 0
    assert engine._used == pytest.approx(0, abs=0.01)
    assert (engine.preemptions == 0) is all(s.stalled_s == 0 for s in streams)
