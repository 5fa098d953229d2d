"""Tests of how soon a node in doubt is asked, at several intervals."""

import time

import pytest
from freezegun import freeze_time

from savorylift.fleet.membership import Membership
from savorylift.fleet.peer_watch import DOUBT_INTERVALS, PeerWatch
from savorylift.fleet.pulse_messages import Pulse
from tests.fleet.test_membership import state

STEP_S = 0.2
NODES = 40


@pytest.mark.parametrize("interval_s", [0.5, 1.1, 2.4])
def test_node_in_doubt_is_asked_as_soon_as_one_step_after(
    interval_s: float,
) -> None:
    """Looks are left out only while no node can be in doubt."""
    asked: list[str] = []
    members = Membership("10.0.0.1", ())
    watch = PeerWatch(
        "10.0.0.1",
        members,
        lambda *_: None,
        lambda _: True,
        lambda ip, _: asked.append(ip),
        max_direct_nodes=16,
    )
    pulse = Pulse(1, 1, goes_on=True)
    lost = state(7).ip
    with freeze_time("2026-01-01") as clock:
        began_s = time.monotonic()
        sequence = 0
        while lost not in asked:
            clock.tick(STEP_S)
            now_s = time.monotonic()
            members.note_running(now_s)
            sequence += 1
            for number in range(2, NODES):
                if number != 7 or sequence == 1:
                    members.update_peer(
                        state(number)._replace(
                            sequence=sequence, interval_s=interval_s
                        ),
                        now_s,
                    )
            watch.update("z0", pulse)
            assert now_s - began_s < 10 * interval_s
        waited_s = time.monotonic() - began_s - STEP_S
    assert DOUBT_INTERVALS * interval_s <= waited_s + 1e-6
    assert waited_s <= DOUBT_INTERVALS * interval_s + 2 * STEP_S
    assert set(asked) == {lost}
