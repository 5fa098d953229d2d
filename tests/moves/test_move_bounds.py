"""Tests that plans of moves keep to the room and the links that there are."""

import math
from collections.abc import Mapping, Sequence

from hypothesis import given
from hypothesis import strategies as st

from savorylift.moves.begun_copies import MoveKey
from savorylift.moves.copy_schedule import PlannedCopy, copy_duration_s
from savorylift.moves.move_inputs import Destination, LeavingEngine, MovingRun
from savorylift.moves.move_plan import plan_moves
from tests.moves.factories import LINK_TOKENS_PER_S, MEMORY_TOKENS, SLOTS, Load

domain_names = st.sampled_from(["z0", "z1", "z2"])
source_maps = st.dictionaries(
    st.sampled_from(["e0", "e1", "e2", "e3", "e4"]),
    st.builds(
        LeavingEngine,
        domain_names,
        st.floats(-0.5, 3.0),
        st.floats(5000, 30_000),
        st.floats(0, 0.5),
    ),
    min_size=1,
)
destination_maps = st.dictionaries(
    st.sampled_from([f"d{n}" for n in range(6)]),
    st.builds(
        Destination,
        domain_names,
        st.just("r"),
        st.sampled_from(["1", "2"]),
        st.floats(-1000, MEMORY_TOKENS),
        st.integers(0, SLOTS),
        st.just(LINK_TOKENS_PER_S),
        st.floats(0, 0.5),
    ),
)


@st.composite
def loads(draw: st.DrawFn) -> Load:
    """Draws runs on engines that leave, and destinations."""
    sources = draw(source_maps)
    tokens = st.integers(100, 8000)
    parts = st.tuples(
        st.sampled_from(sorted(sources)),
        tokens,
        st.integers(0, 9),
        st.floats(0, 1),
        st.booleans(),
        st.sampled_from([math.inf, 0.5, 2.0]),
        st.sampled_from([None, "1", "2"]),
    )
    runs = [
        MovingRun(
            MoveKey("10.0.0.1", number),
            source_id,
            size,
            size + 500,
            priority,
            share,
            may_repeat,
            ends_in_s,
            software_version=version,
        )
        for number, (
            source_id,
            size,
            priority,
            share,
            may_repeat,
            ends_in_s,
            version,
        ) in enumerate(draw(st.lists(parts, max_size=25)))
    ]
    return Load(runs, sources, draw(destination_maps))


def is_one_after_another(copies: Sequence[PlannedCopy], busy_s: float) -> bool:
    """Whether a link that is in use first never carries two copies at once."""
    for copy in sorted(copies, key=lambda copy: copy.begins_s):
        if copy.begins_s < busy_s:
            return False
        busy_s = copy.ends_s
    return True


def find_copies_at(
    copies: Sequence[PlannedCopy], server_id: str
) -> list[PlannedCopy]:
    """Returns the copies from or to an engine."""
    return [
        copy
        for copy in copies
        if server_id in (copy.run.source_id, copy.destination_id)
    ]


def carried_in_time(
    copies: Sequence[PlannedCopy],
    sources: Mapping[str, LeavingEngine],
    destinations: Mapping[str, Destination],
) -> bool:
    """Whether the time of each copy is enough for the rates of its links."""
    return all(
        copy.ends_s - copy.begins_s
        >= 0.999
        * copy_duration_s(
            copy.run.tokens,
            sources[copy.run.source_id],
            destinations[copy.destination_id],
        )
        for copy in copies
    )


@given(loads())
def test_no_room_is_promised_twice_and_no_link_carries_two_copies(
    load: Load,
) -> None:
    plan = plan_moves(*load)
    copies = [*plan.copies, *plan.late]
    for server_id, destination in load.destinations.items():
        taken = find_copies_at(copies, server_id)
        assert len(taken) <= destination.free_places
        if taken:
            tokens = sum(copy.run.expected_tokens for copy in taken)
            assert tokens <= destination.free_tokens + 1e-6
    copies += plan.trials
    for server_id, source in load.sources.items():
        assert is_one_after_another(
            find_copies_at(copies, server_id), source.busy_s
        )
    for server_id, destination in load.destinations.items():
        assert is_one_after_another(
            find_copies_at(copies, server_id), destination.busy_s
        )
    assert carried_in_time(copies, load.sources, load.destinations)
    assert all(
        copy.ends_s <= load.sources[copy.run.source_id].leaves_in_s
        for copy in plan.copies
    )


@given(loads())
def test_each_run_is_copied_once_or_known_as_unsaved(load: Load) -> None:
    plan = plan_moves(*load)
    copies = [*plan.copies, *plan.late, *plan.trials]
    copied = [copy.run.key for copy in copies]
    assert len(copied) == len(set(copied))
    saved = {copy.run.key for copy in plan.copies}
    unsaved = {run.run.key for run in plan.unsaved}
    assert not saved & unsaved
    for run in load.runs:
        ends_first = run.ends_in_s < load.sources[run.source_id].leaves_in_s
        assert run.key in saved | unsaved or ends_first
