"""Tests of what the parts of a node have in common."""

import time

import pytest

from savorylift.front.shared_parts import make_shared_parts
from tests.exchange.factories import make_peer_state
from tests.front.node_settings import make_node_settings
from tests.harness.virtual_time import VirtualClock

LISTEN = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


@pytest.mark.parametrize(
    ("own_age_s", "peer_age_s", "age_s"),
    [
        (None, None, None),
        (0.5, None, 0.5),
        (None, 0.25, 0.25),
        (0.5, 0.25, 0.25),
        (0.5, 2.0, 0.5),
    ],
)
def test_the_newest_reading_of_entries_counts_whoever_made_it(
    own_age_s: float | None,
    peer_age_s: float | None,
    age_s: float | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = VirtualClock()
    monkeypatch.setattr("time.monotonic", clock.monotonic)
    shared = make_shared_parts(
        make_node_settings("vm", "127.0.0.1:4", LISTEN, 5, 6)
    )
    if own_age_s is not None:
        shared.store_view.servers_read_s = time.monotonic() - own_age_s
    peer = make_peer_state(2, 0)._replace(
        reading_age_s=None, servers_reading_age_s=peer_age_s
    )
    shared.membership.update_peer(peer, time.monotonic())
    read_s = shared.entries_read_s()
    assert (None if read_s is None else time.monotonic() - read_s) == age_s
