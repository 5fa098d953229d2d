"""Tests of which connections are behind, and which are closed for others."""

import freezegun
import pytest

from savorylift.wire.connection_limit import ConnectionLimit
from savorylift.wire.progress import (
    GRACE_S,
    MAX_AHEAD,
    MIN_BYTES_PER_S,
    Phase,
    Progress,
    behind_first,
)

# A link of 5 Mbit/s that eight callers share.
SOUND_BYTES_PER_S = 78_000
BODY_BYTES = 4_194_304


class Conn:
    """A connection of which a test says how far it has come."""

    def __init__(self, phase: Phase, held: int = 0, address: str = "a") -> None:
        self.progress = Progress()
        self.progress.enter(phase)
        self.held_bytes = held
        self.address = address
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


@pytest.mark.parametrize("phase", [Phase.HEAD, Phase.BODY, Phase.ANSWER])
def test_caller_on_a_slow_link_is_never_behind(phase: Phase) -> None:
    with freezegun.freeze_time(tick=False) as clock:
        conn = Conn(phase)
        moved = 0
        while moved < BODY_BYTES:
            clock.tick(0.1)
            moved += SOUND_BYTES_PER_S // 10
            conn.progress.moved_bytes = moved
            assert not behind_first([conn])


@pytest.mark.parametrize("phase", [Phase.HEAD, Phase.BODY, Phase.ANSWER])
@pytest.mark.parametrize("bytes_per_s", [0, 1, MIN_BYTES_PER_S // 10])
def test_caller_that_stops_is_behind(phase: Phase, bytes_per_s: int) -> None:
    with freezegun.freeze_time(tick=False) as clock:
        conn = Conn(phase)
        clock.tick(GRACE_S)
        assert not behind_first([conn])
        clock.tick(GRACE_S)
        conn.progress.moved_bytes = round(2 * GRACE_S * bytes_per_s)
        assert behind_first([conn]) == [conn]


def test_request_that_is_served_is_never_behind() -> None:
    with freezegun.freeze_time(tick=False) as clock:
        conns = [Conn(Phase.SERVED, 1 << 30), Conn(Phase.IDLE)]
        clock.tick(1000.0)
        assert not behind_first(conns)


def test_caller_that_waits_for_no_answer_is_behind() -> None:
    """Its connection was never closed, as a request of it was being served."""
    conn = Conn(Phase.SERVED)
    for _ in range(MAX_AHEAD):
        conn.progress.count_ahead(is_ahead=True)
    assert not behind_first([conn])
    conn.progress.count_ahead(is_ahead=True)
    assert behind_first([conn]) == [conn]
    conn.progress.count_ahead(is_ahead=False)
    assert not behind_first([conn])


def test_most_for_least_progress_comes_first() -> None:
    with freezegun.freeze_time(tick=False) as clock:
        little, much, moved = (
            Conn(Phase.BODY, size) for size in (10, 1000, 1000)
        )
        clock.tick(10 * GRACE_S)
        moved.progress.moved_bytes = 999
        assert behind_first([little, moved, much]) == [much, little, moved]


def open_all(limit: ConnectionLimit, conns: list[Conn]) -> None:
    for conn in conns:
        assert limit.begin()
        limit.add(conn)


def test_full_listener_refuses_while_all_behave() -> None:
    reasons: list[str] = []
    with freezegun.freeze_time(tick=False) as clock:
        conns = [Conn(Phase.SERVED), Conn(Phase.HEAD), Conn(Phase.IDLE)]
        limit = ConnectionLimit(3, reasons.append)
        open_all(limit, conns)
        clock.tick(GRACE_S / 2)
        assert not limit.begin()
        assert not any(conn.is_aborted for conn in conns)
        assert reasons == ["refused"]
        limit.remove(conns[0])
        assert limit.begin()


def test_full_listener_closes_who_is_behind_before_who_is_idle() -> None:
    reasons: list[str] = []
    with freezegun.freeze_time(tick=False) as clock:
        idle, slow, served = map(Conn, (Phase.IDLE, Phase.BODY, Phase.SERVED))
        limit = ConnectionLimit(3, reasons.append)
        open_all(limit, [idle, slow, served])
        clock.tick(2 * GRACE_S)
        assert limit.begin()
        limit.add(Conn(Phase.SERVED))
        assert (slow.is_aborted, idle.is_aborted) == (True, False)
        clock.tick(1.0)
        assert limit.begin()
        assert idle.is_aborted
        assert not served.is_aborted
        assert reasons == ["body", "idle"]


def test_address_with_most_idle_connections_loses_one() -> None:
    with freezegun.freeze_time(tick=False) as clock:
        lone = Conn(Phase.IDLE, address="lone")
        clock.tick(1.0)
        crowd = [Conn(Phase.IDLE, address="crowd") for _ in range(5)]
        limit = ConnectionLimit(6)
        open_all(limit, [lone, *crowd])
        clock.tick(2 * GRACE_S)
        assert limit.begin()
        assert not lone.is_aborted
        assert sum(conn.is_aborted for conn in crowd) == 1


def test_connection_that_was_not_opened_leaves_its_room() -> None:
    limit = ConnectionLimit(1)
    opening = Conn(Phase.HANDSHAKE)
    assert limit.begin()
    assert not limit.begin()
    limit.add(opening)
    assert not limit.begin()
    limit.remove(opening)
    assert limit.begin()


def test_connection_that_was_opened_counts_once() -> None:
    limit = ConnectionLimit(2)
    opening, conn = Conn(Phase.HANDSHAKE), Conn(Phase.IDLE)
    open_all(limit, [opening])
    limit.replace(opening, conn)
    assert limit.size == 1
    limit.remove(conn)
    assert limit.size == 0


def test_handshake_that_does_not_end_is_closed_for_others() -> None:
    """It could not be closed, and held its place until a time-out."""
    reasons: list[str] = []
    with freezegun.freeze_time(tick=False) as clock:
        stopped, served = Conn(Phase.HANDSHAKE), Conn(Phase.SERVED)
        limit = ConnectionLimit(2, reasons.append)
        open_all(limit, [stopped, served])
        clock.tick(GRACE_S)
        assert not limit.begin()
        clock.tick(GRACE_S)
        assert limit.begin()
        assert (stopped.is_aborted, served.is_aborted) == (True, False)
        assert reasons == ["refused", "handshake"]
