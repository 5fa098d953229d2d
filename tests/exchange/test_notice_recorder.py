"""Tests of recording what servers say of their plans."""

import random

import pytest

from savorylift.backends.registry import Registry
from savorylift.exchange.notice_recorder import NoticeRecorder, NoticeSource
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_notice import NO_NOTICE, ServerNotice
from tests.exchange.factories import make_server_entry

LEAVES = ServerNotice(is_leaving=True, hold_s=5.0)
ENTRY = make_server_entry()
OTHER_ADDRESS = ("127.0.0.1", ENTRY.address[1] + 1)


class Parts:
    """A recorder, and what it tells."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.registry.put(ENTRY, 0.0)
        self.holds = ServerHolds(random.Random(1))
        self.announced = 0
        self.recorder = NoticeRecorder(
            self.registry, self.holds, self._count_announcement
        )

    def _count_announcement(self) -> None:
        self.announced += 1

    @property
    def is_leaving(self) -> bool:
        """Whether the server counts as one that leaves."""
        return self.registry.servers["i-1"].entry.is_leaving


@pytest.mark.parametrize(
    ("address", "started_ms", "notice", "is_heard"),
    [
        (ENTRY.address, ENTRY.started_ms, LEAVES, True),
        # The process doesn't say when it started.
        (ENTRY.address, None, LEAVES, True),
        # The next process, whose entry isn't known yet.
        (ENTRY.address, ENTRY.started_ms + 1, LEAVES, True),
        # An earlier one.
        (ENTRY.address, ENTRY.started_ms - 1, LEAVES, False),
        (OTHER_ADDRESS, ENTRY.started_ms, LEAVES, False),
        (ENTRY.address, ENTRY.started_ms, NO_NOTICE, False),
    ],
)
def test_notice_of_a_report_holds_for_the_process_that_gave_it(
    address: tuple[str, int],
    started_ms: int | None,
    notice: ServerNotice,
    *,
    is_heard: bool,
) -> None:
    parts = Parts()
    parts.recorder.record_at(address, started_ms, notice)
    assert parts.is_leaving is is_heard
    assert parts.holds.is_held("i-1") is is_heard


@pytest.mark.parametrize(
    ("started_ms", "is_open"),
    [(5, True), (6, True), (None, True), (4, False), (1, False)],
)
def test_successor_opens_when_it_says_nothing_of_leaving(
    started_ms: int | None, *, is_open: bool
) -> None:
    parts = Parts()
    parts.recorder.record(parts.registry.servers["i-1"], LEAVES)
    parts.registry.put(ENTRY._replace(started_ms=5), 1.0)
    assert parts.is_leaving
    parts.recorder.record_at(OTHER_ADDRESS, started_ms, NO_NOTICE)
    assert parts.is_leaving
    parts.recorder.record_at(ENTRY.address, started_ms, NO_NOTICE)
    assert parts.is_leaving is not is_open


def test_server_that_leaves_stays_so_when_an_answer_does_not_say_it() -> None:
    parts = Parts()
    parts.recorder.record(parts.registry.servers["i-1"], LEAVES)
    parts.recorder.record_at(ENTRY.address, ENTRY.started_ms, NO_NOTICE)
    assert parts.is_leaving


def test_all_nodes_are_told_once_by_those_that_heard_it_themselves() -> None:
    parts = Parts()
    server = parts.registry.servers["i-1"]
    assert parts.recorder.record(server, LEAVES)
    assert not parts.recorder.record(server, LEAVES)
    assert parts.announced == 1
    parts = Parts()
    started_ms = ENTRY.started_ms
    assert parts.recorder.mark_leaving("i-1", started_ms, NoticeSource.NODE)
    assert parts.announced == 0
