"""Tests of the decision which prompts may not be sent to engines."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.backends.quarantine import (
    FIRST_PART_TRIAL_S,
    MAX_PART_QUARANTINE_S,
    PART_QUARANTINE_S,
)
from savorylift.backends.quarantine_reports import MAX_QUARANTINES_SENT
from savorylift.backends.request_quarantine import (
    RequestQuarantine,
)
from savorylift.fleet.quarantine_news import QuarantineNews

ME = "10.0.0.1"
DEADLY = ("system", "dead")
SOUND = ("system", "desk")
MESSAGE_LOSS = 0.05
MAX_MESSAGE_DELAY_S = 0.1
# A simulated engine is back this long after a crash.
ENGINE_RESTART_S = 3.0


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time() as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


def crash(
    quarantine: RequestQuarantine,
    clock: FrozenDateTimeFactory,
    prefix: tuple[str, ...] = DEADLY,
    count: int = 3,
) -> None:
    """Records crashes of different engines, a second apart."""
    for _ in range(count):
        clock.tick(0.5)
        server_id = f"engine-{next(_server_numbers)}"
        quarantine.record_crash(server_id, prefix)
        clock.tick(0.5)
        quarantine.update()


_server_numbers = itertools.count()


def is_refused(
    quarantine: RequestQuarantine, prefix: tuple[str, ...] = DEADLY
) -> bool:
    return quarantine.find(prefix, ["10.0.0.2"]) is not None


def test_third_crash_quarantines_the_part(clock: FrozenDateTimeFactory) -> None:
    quarantine = RequestQuarantine(ME)
    quarantine.record_sound(SOUND)
    crash(quarantine, clock, count=2)
    assert not is_refused(quarantine)
    crash(quarantine, clock, count=1)
    assert is_refused(quarantine)
    assert is_refused(quarantine, ("other", "dead", "more"))
    assert not is_refused(quarantine, SOUND)


def test_parts_that_only_occur_together_are_refused_together(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    crash(quarantine, clock)
    assert is_refused(quarantine)
    assert not is_refused(quarantine, SOUND)
    assert not is_refused(quarantine, ("dead",))
    crash(quarantine, clock, ("other", "dead"), count=2)
    assert is_refused(quarantine, ("dead",))
    assert not is_refused(quarantine, SOUND)


def test_parts_of_bystanders_on_crashed_engines_are_not_quarantined(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(5):
        quarantine.record_crash(f"e{number}", ("system", f"desk-{number}"))
        clock.tick(0.02)
        quarantine.update()
        quarantine.record_crash(f"e{number}", DEADLY)
        clock.tick(1.0)
        quarantine.update()
    assert is_refused(quarantine)
    for number in range(5):
        assert not is_refused(quarantine, ("system", f"desk-{number}"))


def test_engines_that_crash_at_once_are_no_evidence(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(20):
        quarantine.record_crash(f"e{number}", SOUND)
        clock.tick(0.004)
    clock.tick(1.0)
    quarantine.update()
    assert not is_refused(quarantine, SOUND)


def test_crashes_before_a_sound_answer_do_not_count(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for _ in range(10):
        crash(quarantine, clock, SOUND, count=1)
        clock.tick(0.1)
        assert quarantine.record_sound(SOUND)
    assert not is_refused(quarantine, SOUND)


def test_part_that_was_sound_before_is_quarantined_by_the_fifth_crash(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    quarantine.record_sound(DEADLY)
    crash(quarantine, clock, count=4)
    assert not is_refused(quarantine)
    crash(quarantine, clock, count=1)
    assert is_refused(quarantine)


def test_two_deadly_parts_are_told_apart(clock: FrozenDateTimeFactory) -> None:
    quarantine = RequestQuarantine(ME)
    quarantine.record_sound(SOUND)
    for _ in range(3):
        crash(quarantine, clock, ("system", "dead-1"), count=1)
        crash(quarantine, clock, ("system", "dead-2"), count=1)
    assert is_refused(quarantine, ("system", "dead-1"))
    assert is_refused(quarantine, ("system", "dead-2"))
    assert not is_refused(quarantine, SOUND)


def test_quarantine_ends_once_a_trial_is_answered(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    crash(quarantine, clock)
    clock.tick(FIRST_PART_TRIAL_S + 1)
    refused = [quarantine.find(DEADLY, ()) is not None for _ in range(5)]
    assert refused == [False, True, True, True, True]
    quarantine.record_sound(DEADLY)
    assert not is_refused(quarantine)


def test_only_one_node_of_the_fleet_runs_trials(
    clock: FrozenDateTimeFactory,
) -> None:
    ips = [f"10.0.0.{number}" for number in range(1, 82)]
    nodes = {ip: RequestQuarantine(ip) for ip in ips}
    crash(nodes[ips[0]], clock)
    for node in nodes.values():
        node.merge(nodes[ips[0]].news())
    clock.tick(FIRST_PART_TRIAL_S + 1)
    refused = [
        node.find(DEADLY, [other for other in ips if other != ip]) is not None
        for ip, node in nodes.items()
    ]
    assert refused.count(False) == 1


def test_quarantine_is_forgotten_after_the_last_request(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    crash(quarantine, clock)
    clock.tick(PART_QUARANTINE_S + 1)
    assert not is_refused(quarantine)
    assert quarantine.news() == QuarantineNews()


def test_quarantine_ends_at_last_however_many_requests_come(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    crash(quarantine, clock)
    for _ in range(int(MAX_PART_QUARANTINE_S)):
        quarantine.find(DEADLY, ["10.0.0.2"])
        clock.tick(1.0)
    assert not is_refused(quarantine)


def test_what_is_remembered_and_sent_is_bounded(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(2000):
        quarantine.record_sound((f"sound-{number}",))
        crash(quarantine, clock, (f"dead-{number}",) * 20, count=3)
    news = quarantine.news()
    assert len(news.quarantined) <= MAX_QUARANTINES_SENT
    assert len(news.crash_reports) <= 8


class Fleet:
    """Nodes and engines in virtual time, with requests that crash engines."""

    def __init__(
        self, seed: int, nodes: int, engines: int, clock: FrozenDateTimeFactory
    ) -> None:
        self._rng = random.Random(seed)
        self._clock = clock
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        ips = [f"10.0.{n // 250}.{n % 250}" for n in range(nodes)]
        self.nodes = {ip: RequestQuarantine(ip) for ip in ips}
        self._up_s = [0.0] * engines
        # Requests at each engine that it has not answered yet, by node.
        self._waiting: list[set[tuple[str, tuple[str, ...], int]]] = [
            set() for _ in range(engines)
        ]
        self._incarnation = [0] * engines
        self.crashes_s: list[float] = []
        self.deadly_sent_s: list[float] = []
        self.sound_asked = 0
        self.sound_refused = 0

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._count), call)
        heapq.heappush(self._events, event)

    def run(self, end_s: float) -> None:
        while self._events and self._events[0][0] < end_s:
            time_s, _, call = heapq.heappop(self._events)
            self._clock.tick(max(time_s - self._now_s, 0.0))
            self._now_s = time_s
            call()

    def ask(self, prefix: tuple[str, ...], *, is_deadly: bool) -> None:
        """Lets a request arrive at some node, which may send it on."""
        ip = self._rng.choice(list(self.nodes))
        self.nodes[ip].update()
        others = [other for other in self.nodes if other != ip]
        refused = self.nodes[ip].find(prefix, others) is not None
        if not is_deadly:
            self.sound_asked += 1
            self.sound_refused += refused
        up = [n for n, s in enumerate(self._up_s) if s <= self._now_s]
        if refused or not up:
            return
        if is_deadly:
            self.deadly_sent_s.append(self._now_s)
        engine = self._rng.choice(up)
        request = (ip, prefix, next(self._count))
        self._waiting[engine].add(request)

        def begin() -> None:
            if request not in self._waiting[engine]:
                return
            if is_deadly:
                self._crash(engine)
                return
            self._waiting[engine].discard(request)
            if self.nodes[ip].record_sound(prefix):
                self._send_news(ip)

        self.after(self._rng.uniform(0.05, 0.8), begin)

    def ask_at(
        self, time_s: float, prefix: tuple[str, ...], *, is_deadly: bool
    ) -> None:
        """Lets a request arrive at a given time."""
        self.after(time_s, lambda: self.ask(prefix, is_deadly=is_deadly))

    def gossip(self, ip: str, interval_s: float) -> None:
        """Sends a node's news now and at each interval."""
        self.nodes[ip].update()
        self._send_news(ip)
        self.after(interval_s, lambda: self.gossip(ip, interval_s))

    def _crash(self, engine: int) -> None:
        self.crashes_s.append(self._now_s)
        self._incarnation[engine] += 1
        server_id = f"e{engine}.{self._incarnation[engine]}"
        waiting, self._waiting[engine] = self._waiting[engine], set()
        self._up_s[engine] = self._now_s + ENGINE_RESTART_S
        for ip, prefix, _ in waiting:

            def report(ip: str = ip, prefix: tuple[str, ...] = prefix) -> None:
                self.nodes[ip].record_crash(server_id, prefix)
                self._send_news(ip)

            self.after(self._rng.uniform(0.001, 0.03), report)

    def _send_news(self, ip: str) -> None:
        news = self.nodes[ip].news()
        if news == QuarantineNews():
            return
        for other in self.nodes:
            if other != ip and self._rng.random() > MESSAGE_LOSS:
                self._deliver(other, news)

    def _deliver(self, ip: str, news: QuarantineNews) -> None:
        delay_s = self._rng.uniform(0.002, MAX_MESSAGE_DELAY_S)
        self.after(delay_s, lambda: self._merge(ip, news))

    def _merge(self, ip: str, news: QuarantineNews) -> None:
        self.nodes[ip].merge(news)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    ("nodes", "engines", "sound_per_s", "deadly_per_s"),
    [(9, 5, 3.0, 0.5), (9, 5, 1.5, 1.5), (6, 7, 5.0, 0.2), (24, 28, 20.0, 5.0)],
)
def test_few_deadly_requests_are_sent_after_the_fifth_crash(
    seed: int,
    nodes: int,
    engines: int,
    sound_per_s: float,
    deadly_per_s: float,
    clock: FrozenDateTimeFactory,
) -> None:
    rng = random.Random(seed)
    fleet = Fleet(seed, nodes, engines, clock)
    interval_s = 0.2 * max(1.0, nodes / 16)
    for ip in fleet.nodes:
        fleet.gossip(ip, interval_s)
    systems = [f"system-{n}" for n in range(7)]
    end_s = 34.0
    for start_s, rate, is_deadly in (
        (0.0, sound_per_s, False),
        (4.0, deadly_per_s, True),
    ):
        time_s = start_s
        while (time_s := time_s + rng.expovariate(rate)) < end_s:
            middle = f"desk-{rng.randrange(18)}"
            prefix: tuple[str, ...] = (rng.choice(systems), middle)
            if is_deadly:
                prefix = (*prefix, "dead")
            fleet.ask_at(time_s, prefix, is_deadly=is_deadly)
    fleet.run(end_s)
    if len(fleet.crashes_s) >= 5:
        late_s = fleet.crashes_s[4] + 3.0
        assert sum(sent_s > late_s for sent_s in fleet.deadly_sent_s) <= 3
    assert fleet.sound_refused <= 0.02 * fleet.sound_asked
