"""Tests of what open connections show of the processes of servers."""

import pytest

from savorylift.exchange.known_processes import KnownProcesses

SERVER = "i-1@127.0.0.1:1"


class Connection:
    """A connection that brought something last at a moment; None if closed."""

    def __init__(self, opened_s: float, last_s: float | None) -> None:
        self.opened_s: float | None = opened_s
        self.last_s = last_s

    def heard_s(self) -> float | None:
        return self.last_s


def make_known(*connections: Connection) -> KnownProcesses:
    """Returns what is known of process 5, which was asked at 10 s."""
    found = KnownProcesses()
    for connection in connections:
        found.add(SERVER, connection)
    found.record(SERVER, 5, 10.0)
    return found


@pytest.mark.parametrize(
    ("spans", "since_s", "started_ms"),
    [
        ([], 10.0, 5),
        ([], 10.1, None),
        ([(9.0, 12.0)], 12.0, 5),
        ([(9.0, 12.0)], 12.1, None),
        ([(10.1, 12.0)], 12.0, None),
        ([(9.0, None)], 11.0, None),
        ([(11.0, 14.0), (9.0, 12.0)], 14.0, 5),
        ([(9.0, 12.0), (12.1, 14.0)], 14.0, None),
    ],
)
def test_process_lives_as_long_as_connections_overlap(
    spans: list[tuple[float, float | None]],
    since_s: float,
    started_ms: int | None,
) -> None:
    connections = [Connection(*span) for span in spans]
    assert make_known(*connections).find(SERVER, since_s) == started_ms


def test_process_lives_on_after_the_connection_that_showed_it_is_closed() -> (
    None
):
    first, second = Connection(9.0, 12.0), Connection(11.0, 14.0)
    known = make_known(first, second)
    first.last_s = None
    second.last_s = 15.0
    assert known.find(SERVER, 15.0) == 5


def test_connections_of_a_process_show_nothing_of_the_next_one() -> None:
    """A process that leaves its address may serve its streams to the end."""
    known = make_known(Connection(9.0, 20.0))
    known.record(SERVER, 6, 15.0)
    assert known.find(SERVER, 15.0) == 6
    assert known.find(SERVER, 16.0) is None


def test_answer_of_an_earlier_process_that_comes_late_is_ignored() -> None:
    known = make_known()
    known.record(SERVER, 4, 11.0)
    assert known.find(SERVER, 10.0) == 5
    assert known.find(SERVER, 11.0) is None


def test_forgotten_process_is_not_known() -> None:
    known = make_known(Connection(9.0, 12.0))
    known.forget(SERVER)
    assert known.find(SERVER, 10.0) is None


def test_connection_that_has_ended_will_show_nothing() -> None:
    connection = Connection(9.0, 12.0)
    known = make_known(connection)
    assert known.has_open(SERVER)
    connection.last_s = None
    assert not known.has_open(SERVER)
