"""Tests of which nodes count as having read the store lately."""

import pytest

from savorylift.fleet.recent_readers import RECENT_S, RecentReaders
from tests.exchange.factories import make_peer_state

IP = "10.0.0.2"
OLD_S = RECENT_S + 1.0


@pytest.mark.parametrize(
    ("reading_age_s", "servers_reading_age_s", "is_recent"),
    [
        (None, None, False),
        (OLD_S, None, False),
        (OLD_S, OLD_S, False),
        (0.5, None, True),
        (OLD_S, 0.5, True),
    ],
)
@pytest.mark.parametrize("was_recent", [False, True])
def test_latest_message_of_a_node_decides(
    reading_age_s: float | None,
    servers_reading_age_s: float | None,
    *,
    is_recent: bool,
    was_recent: bool,
) -> None:
    readers = RecentReaders()
    state = make_peer_state(2, 0)
    if was_recent:
        readers.hear(IP, state._replace(reading_age_s=0.0))
    heard = state._replace(
        reading_age_s=reading_age_s, servers_reading_age_s=servers_reading_age_s
    )
    readers.hear(IP, heard)
    assert (IP in readers.ips) is is_recent


def test_node_that_is_gone_is_forgotten() -> None:
    readers = RecentReaders()
    readers.hear(IP, make_peer_state(2, 0)._replace(reading_age_s=0.0))
    readers.forget(IP)
    readers.forget("10.0.0.3")
    assert not list(readers.ips)
