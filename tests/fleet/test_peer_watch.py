"""Tests of sending pulses, reporting who sends none, and asking in doubt."""

import time
from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift import rendezvous
from savorylift.fleet.codec import Message
from savorylift.fleet.membership import Membership
from savorylift.fleet.peer_watch import (
    CHOICE_INTERVAL_S,
    DOUBT_INTERVALS,
    PeerWatch,
)
from savorylift.fleet.pulse_messages import Pulse, SilenceNews, SilenceReport
from savorylift.fleet.silence_watch import PULSE_TIMEOUT_S
from savorylift.fleet.state import NodeState
from savorylift.fleet.watchers import FAREWELL_PULSES, WATCHER_COUNT
from tests.fleet.test_membership import ME, state

MAX_DIRECT = 4
BEAT_S = 0.2
LONG_INTERVAL_S = 2.0
PULSE = Pulse(99, 1, goes_on=True)
DOMAIN = "z9"


class Watch:
    """A node that watches others, and what it sends."""

    def __init__(self, others: int) -> None:
        self.members = Membership(ME, ())
        self.sent: list[tuple[tuple[str, ...], Message]] = []
        self.asked: list[tuple[str, int]] = []
        self.deaf: set[str] = set()
        self.states = [self.make_state(n) for n in range(2, 2 + others)]
        self.sequence = 1
        self.hear(self.states)
        self.watch = PeerWatch(
            ME,
            self.members,
            lambda ips, message: self.sent.append((ips, message)),
            lambda peer: peer.ip not in self.deaf,
            lambda ip, incarnation: self.asked.append((ip, incarnation)),
            MAX_DIRECT,
        )

    @staticmethod
    def make_state(number: int) -> NodeState:
        return state(number)._replace(interval_s=LONG_INTERVAL_S)

    def hear(self, states: list[NodeState]) -> None:
        self.sequence = getattr(self, "sequence", 0) + 1
        for item in states:
            newer = item._replace(sequence=self.sequence)
            self.members.update_peer(newer, time.monotonic())

    def beat(self) -> None:
        self.members.note_running(time.monotonic())
        self.watch.update(DOMAIN, PULSE)

    def receivers(self, message: Message) -> set[str]:
        return {ip for ips, sent in self.sent if sent == message for ip in ips}


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time(tick=False) as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


def run(
    watch: Watch,
    clock: FrozenDateTimeFactory,
    duration_s: float,
    heard: list[NodeState],
) -> None:
    """Lets time pass, in which some nodes are heard."""
    for _ in range(round(duration_s / BEAT_S)):
        clock.tick(BEAT_S)
        watch.hear(heard)
        watch.beat()


@pytest.mark.parametrize(
    ("others", "watchers"),
    [
        (MAX_DIRECT - 1, 0),
        (MAX_DIRECT, WATCHER_COUNT),
        (40, WATCHER_COUNT),
    ],
)
@pytest.mark.usefixtures("clock")
def test_only_large_fleets_pulse_and_to_few(others: int, watchers: int) -> None:
    watch = Watch(others)
    watch.beat()
    assert len(watch.receivers(PULSE)) == watchers


def test_nodes_that_leave_or_know_no_pulses_get_none(
    clock: FrozenDateTimeFactory,
) -> None:
    watch = Watch(MAX_DIRECT)
    watch.deaf = {watch.states[0].ip}
    watch.hear([watch.states[1]._replace(is_leaving=True)])
    watch.beat()
    left = {item.ip for item in watch.states[2:]}
    assert watch.receivers(PULSE) == left
    # A watcher that leaves is told that no more follow.
    watch.hear([watch.states[2]._replace(is_leaving=True)])
    clock.tick(CHOICE_INTERVAL_S)
    watch.sent.clear()
    for _ in range(FAREWELL_PULSES + 2):
        watch.beat()
    farewell = PULSE._replace(goes_on=False)
    assert watch.receivers(farewell) == {watch.states[2].ip}
    farewells = [ips for ips, sent in watch.sent if sent == farewell and ips]
    assert len(farewells) == FAREWELL_PULSES
    assert watch.receivers(PULSE) == {watch.states[3].ip}


def test_watched_node_without_pulses_is_reported_to_all(
    clock: FrozenDateTimeFactory,
) -> None:
    watch = Watch(MAX_DIRECT)
    silent, *others = watch.states
    pulse = Pulse(silent.incarnation, 50, goes_on=True)
    watch.watch.hear_pulse(pulse, silent.ip)
    run(watch, clock, PULSE_TIMEOUT_S + BEAT_S, others)
    news = SilenceNews((SilenceReport(silent.ip, silent.incarnation, 50),))
    assert watch.receivers(news) == {item.ip for item in watch.states}


@pytest.mark.parametrize("goes_on", [False, None])
def test_node_that_is_not_watched_is_not_reported(
    clock: FrozenDateTimeFactory,
    goes_on: bool | None,  # noqa: FBT001
) -> None:
    """It has said goodbye, or another incarnation of it was heard."""
    watch = Watch(MAX_DIRECT)
    silent, *others = watch.states
    first = Pulse(silent.incarnation, 50, goes_on=True)
    if goes_on is None:
        first = first._replace(incarnation=silent.incarnation + 1)
    watch.watch.hear_pulse(first, silent.ip)
    if goes_on is False:
        watch.watch.hear_pulse(first._replace(goes_on=False), silent.ip)
    run(watch, clock, PULSE_TIMEOUT_S + 2 * BEAT_S, others)
    assert not any(isinstance(sent, SilenceNews) for _, sent in watch.sent)


@pytest.mark.parametrize(
    ("others", "is_asked"), [(MAX_DIRECT, True), (MAX_DIRECT - 1, False)]
)
def test_node_in_doubt_is_asked_in_a_large_fleet(
    clock: FrozenDateTimeFactory,
    others: int,
    is_asked: bool,  # noqa: FBT001
) -> None:
    watch = Watch(others)
    silent, *rest = watch.states
    run(watch, clock, DOUBT_INTERVALS * LONG_INTERVAL_S, rest)
    assert watch.asked == []
    run(watch, clock, 2 * BEAT_S, rest)
    assert ((silent.ip, silent.incarnation) in watch.asked) is is_asked


def test_watchers_are_ranked_only_when_the_nodes_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ranking all nodes each second was the longest loop of an idle node."""
    ranked: list[str] = []

    def count(key: str, ip: str) -> bytes:
        ranked.append(ip)
        return rendezvous.score(key, ip)

    monkeypatch.setattr("savorylift.fleet.watchers.score", count)
    with freezegun.freeze_time("2026-01-01") as clock:
        watch = Watch(87)

        def run(seconds: float) -> tuple[int, set[str]]:
            """Returns how often a node was ranked, and who got pulses."""
            ranked.clear()
            watch.sent.clear()
            for _ in range(round(seconds / BEAT_S)):
                clock.tick(BEAT_S)
                watch.members.note_running(time.monotonic())
                watch.hear(watch.states)
                watch.watch.update(DOMAIN, PULSE)
            return len(ranked), {
                ip
                for ips, message in watch.sent
                if isinstance(message, Pulse) and message.goes_on
                for ip in ips
            }

        first_ranked, first = run(20.0)
        assert (first_ranked, len(first)) == (87, WATCHER_COUNT)
        assert run(20.0) == (0, first)
        # One of them begins to leave: another is chosen within a second.
        lost = min(first)
        watch.states = [
            item._replace(is_leaving=item.ip == lost) for item in watch.states
        ]
        run(CHOICE_INTERVAL_S)
        after_ranked, after = run(20.0)
        assert after_ranked == 0
        assert lost not in after
        assert len(after) == WATCHER_COUNT
