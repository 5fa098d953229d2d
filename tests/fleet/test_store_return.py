"""Tests of from when on entries that lapsed have a grace period."""

import pytest

from savorylift.backends.registry import GRACE_PERIOD_S, Registry
from savorylift.fleet.answering_span import JOIN_GAP_S, AnsweringSpan
from savorylift.fleet.store_return import BACKLOG_S, StoreReturn
from tests.exchange.factories import make_server_entry

START_S = 1000.0
BEAT_S = 0.2


class Returned:
    """A node that sees the store's return, and what others tell."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = START_S
        self.told: list[AnsweringSpan] = []
        self.told_s = START_S
        self.era = 0
        monkeypatch.setattr("time.monotonic", lambda: self.now_s)
        self.registry = Registry()
        self.registry.put(make_server_entry(), self.now_s)
        self.store_return = StoreReturn(
            self.registry, self._others_spans, lambda: self.era
        )

    def _others_spans(self, heard_since_s: float) -> list[AnsweringSpan]:
        return self.told if self.told_s >= heard_since_s else []

    def wait(self, seconds: float) -> None:
        """Lets time pass in which this node runs."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(self.now_s + BEAT_S, until_s)
            self.store_return.correct()

    def tell(self, since_s: float, until_s: float, era: int = 0) -> None:
        """Has another node tell since when the store has answered."""
        self.told, self.told_s = (
            [AnsweringSpan(era, since_s, until_s)],
            self.now_s,
        )
        self.store_return.correct()

    def remove(self) -> bool:
        """Removes the server's entry; returns whether the server goes."""
        return self.registry.remove("i-1", self.now_s)


@pytest.fixture
def returned(monkeypatch: pytest.MonkeyPatch) -> Returned:
    node = Returned(monkeypatch)
    node.store_return.note_reading(0)
    return node


@pytest.mark.parametrize("removed_s", [1.0, 2.0, 4.0, 8.0])
def test_removed_server_has_no_grace_at_a_node_that_is_back_late(
    returned: Returned, removed_s: float
) -> None:
    returned.store_return.note_return(START_S)
    returned.tell(START_S - 4.0, START_S)
    returned.wait(removed_s)
    assert returned.remove()


def test_server_kept_before_others_are_heard_goes_as_they_are(
    returned: Returned,
) -> None:
    returned.store_return.note_return(START_S)
    assert not returned.remove()
    returned.wait(BEAT_S)
    assert returned.registry.drop_expired(returned.now_s) == []
    returned.tell(START_S - 4.0, returned.now_s)
    assert returned.registry.drop_expired(returned.now_s) == ["i-1"]


def test_lapsed_server_is_kept_until_the_grace_of_the_true_return_ends(
    returned: Returned,
) -> None:
    back_s = START_S - 1.0
    returned.store_return.note_return(START_S)
    returned.tell(back_s, START_S)
    assert not returned.remove()
    returned.now_s = back_s + GRACE_PERIOD_S - 0.01
    assert returned.registry.drop_expired(returned.now_s) == []
    returned.now_s = back_s + GRACE_PERIOD_S
    assert returned.registry.drop_expired(returned.now_s) == ["i-1"]


@pytest.mark.parametrize(
    ("since_s", "until_s", "era"),
    [
        pytest.param(-90.0, -JOIN_GAP_S - 0.3, 1, id="before the outage"),
        pytest.param(-90.0, 0.1, 0, id="before the store came from a copy"),
        pytest.param(0.0, 0.1, 1, id="since the return"),
    ],
)
def test_lapsed_server_is_not_dropped_by_what_others_knew_before(
    returned: Returned, since_s: float, until_s: float, era: int
) -> None:
    returned.store_return.note_reading(1)
    returned.store_return.note_return(START_S)
    returned.tell(START_S + since_s, START_S + until_s, era)
    assert not returned.remove()
    returned.now_s = START_S + GRACE_PERIOD_S - 0.01
    assert returned.registry.drop_expired(returned.now_s) == []


def test_copy_of_the_store_that_others_noticed_before_gives_no_new_grace(
    returned: Returned,
) -> None:
    returned.store_return.note_reading(1)
    returned.store_return.note_return(START_S)
    returned.tell(START_S - 4.0, START_S, era=1)
    assert returned.remove()


def test_unknown_return_of_the_store_keeps_lapsed_servers(
    returned: Returned,
) -> None:
    returned.store_return.note_return(START_S)
    returned.wait(GRACE_PERIOD_S - 0.1)
    assert not returned.remove()


def test_node_that_stood_still_believes_no_message_from_before(
    returned: Returned,
) -> None:
    returned.wait(BEAT_S)
    # The store is away and back meanwhile.
    returned.now_s += 5.0
    back_s = returned.now_s
    returned.told, returned.told_s = (
        [AnsweringSpan(0, START_S - 90.0, back_s)],
        back_s,
    )
    returned.store_return.note_reading(0)
    returned.store_return.note_return(back_s)
    assert not returned.remove()
    returned.wait(BACKLOG_S + BEAT_S)
    assert returned.registry.drop_expired(returned.now_s) == []
    returned.tell(back_s - 4.0, returned.now_s)
    assert returned.registry.drop_expired(returned.now_s) == ["i-1"]


def test_entry_that_is_written_again_is_kept_when_the_return_is_dated_back(
    returned: Returned,
) -> None:
    returned.store_return.note_return(START_S)
    assert not returned.remove()
    entry = make_server_entry()._replace(sequence=9)
    returned.registry.put(entry, returned.now_s)
    returned.tell(START_S - 9.0, START_S)
    assert returned.registry.drop_expired(returned.now_s) == []


def test_reader_tells_what_an_earlier_reader_knew(returned: Returned) -> None:
    returned.wait(5.0)
    returned.tell(START_S - 30.0, returned.now_s)
    returned.store_return.note_reading(0)
    assert returned.store_return.up_age_s(returned.now_s) == pytest.approx(35.0)


def test_gap_between_readings_begins_what_is_told_anew(
    returned: Returned,
) -> None:
    returned.wait(1.2)
    returned.store_return.note_reading(0)
    assert returned.store_return.up_age_s(returned.now_s) == 0.0
