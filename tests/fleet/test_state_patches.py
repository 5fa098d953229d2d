"""Tests of patches of states."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.fleet.codec import decode, encode
from savorylift.fleet.membership import Membership
from savorylift.fleet.pulse_messages import StatePatch
from savorylift.fleet.server_sightings import BrittleNews
from savorylift.fleet.state import NodeState, ServerLoad
from savorylift.fleet.state_patches import PatchMaker
from tests.fleet.test_membership import state

PERIOD_S = 0.2
LOADS_POSITION = NodeState._fields.index("loads")
step = st.tuples(
    st.integers(0, 2),
    st.sampled_from([None, 0.0, 1.0]),
    st.sampled_from(["", "s"]),
    # Whether it goes to all whole, and whether it is lost.
    st.sampled_from([True, False, False]),
    st.booleans(),
)


def make(
    sequence: int, requests: int, read_s: float | None, brittle: str
) -> NodeState:
    now_s = sequence * PERIOD_S
    load = ServerLoad("s", requests, 0, 0, 0, 0)
    return state(2)._replace(
        sequence=sequence,
        loads=(load,) if requests else (),
        reading_age_s=None if read_s is None else now_s - read_s,
        brittle_services=(BrittleNews(brittle, 0.1),) if brittle else (),
    )


@given(st.lists(step, max_size=12))
def test_receiver_knows_the_state_or_asks(
    steps: list[tuple[int, float | None, str, bool, bool]],
) -> None:
    maker, members = PatchMaker(), Membership("10.0.0.1", ())
    first = make(1, 0, None, "")
    maker.begin(first, PERIOD_S)
    members.update_peer(first, PERIOD_S)
    for sequence, (requests, read_s, brittle, is_whole, is_lost) in enumerate(
        steps, 6
    ):
        now_s = sequence * PERIOD_S
        sent = make(sequence, requests, read_s, brittle)
        must_ask = False
        if is_whole:
            maker.begin(sent, now_s)
            if not is_lost:
                members.update_peer(sent, now_s)
        else:
            patch = maker.make(sent, now_s)
            assert patch is not None
            if not is_lost:
                received = decode(encode(patch)).unwrap()
                assert isinstance(received, StatePatch)
                found = members.hear_patch("10.0.0.2", received, now_s)
                must_ask = found.must_ask
        peer = members.find("10.0.0.2")
        assert peer is not None
        if is_lost or must_ask:
            continue
        assert peer.heard_s == now_s
        assert peer.state.loads == sent.loads
        assert peer.state.brittle_services == sent.brittle_services
        known_s = peer.state.reading_age_s
        if sent.reading_age_s is None or known_s is None:
            assert known_s is sent.reading_age_s
        else:
            age_s = known_s + now_s - peer.received_s
            assert age_s == pytest.approx(sent.reading_age_s, abs=0.01)


@pytest.mark.parametrize(
    ("fields", "requests"),
    [
        ({LOADS_POSITION: [["s", 3, 0, 0, 0, 0]]}, 3),
        # Of newer builds.
        ({LOADS_POSITION: [["s", 3, 0, 0, 0, 0, "more"]], 999: 1}, 3),
        # Unsound: the node lives, and is asked.
        ({LOADS_POSITION: "s"}, 0),
        ({-1: 1, LOADS_POSITION: None}, 0),
    ],
)
def test_fields_are_checked(fields: dict[int, object], requests: int) -> None:
    members = Membership("10.0.0.1", ())
    members.update_peer(state(2), 0.0)
    patch = StatePatch(2, 2, 1, 2, fields)
    found = members.hear_patch("10.0.0.2", patch, 0.5)
    assert found.must_ask is (requests == 0)
    loads = members.loads(0.5)
    assert (loads["s"].requests if loads else 0) == requests
    peer = members.find("10.0.0.2")
    assert peer is not None
    assert peer.heard_s == 0.5
    assert peer.state.ip == "10.0.0.2"


def test_patch_of_an_earlier_process_is_dropped() -> None:
    members = Membership("10.0.0.1", ())
    members.update_peer(state(2), 0.0)
    members.update_peer(state(2)._replace(incarnation=9), 0.1)
    found = members.hear_patch("10.0.0.2", StatePatch(2, 7, 1, 1, {}), 0.2)
    assert not found.must_ask
    found = members.hear_patch("10.0.0.2", StatePatch(8, 7, 1, 1, {}), 0.2)
    assert found.must_ask
    peer = members.find("10.0.0.2")
    assert peer is not None
    assert peer.heard_s == 0.1
