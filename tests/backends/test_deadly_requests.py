"""Tests of the quarantine of a request that crashes server after server."""

import itertools
import time
from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.backends.quarantine import FIRST_REQUEST_TRIAL_S
from savorylift.backends.quarantine_reports import MAX_QUARANTINES_SENT
from savorylift.backends.request_quarantine import (
    MAX_QUARANTINES,
    RequestQuarantine,
)
from savorylift.backends.traits import REQUEST_PREFIX, Traits
from savorylift.fleet.quarantine_news import QuarantineNews

ME = "10.0.0.1"
PEERS = ("10.0.0.2", "10.0.0.3")
# Time after which the reports of a crash have arrived.
SETTLED_S = 0.3
# Requests that may reach servers later than 3 s after the third crash.
MAX_LATE_REQUESTS = 3

_server_numbers = itertools.count()


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time() as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


def request(name: str, *parts: str, query: str = "") -> Traits:
    """Returns the traits of a request with these parts in its prompt."""
    exact = f"{REQUEST_PREFIX}{name}{query}+"
    return (*parts, f"{REQUEST_PREFIX}{name}", exact)


DEADLY = request("deadly")


def crash(
    quarantine: RequestQuarantine,
    clock: FrozenDateTimeFactory,
    *requests: Traits,
    pause_s: float = 1.0,
) -> None:
    """Lets a server crash that has requests."""
    server_id = f"server-{next(_server_numbers)}"
    for traits in requests:
        quarantine.record_crash(server_id, traits)
    clock.tick(pause_s)
    quarantine.update()


def is_refused(quarantine: RequestQuarantine, traits: Traits = DEADLY) -> bool:
    quarantine.update()
    return quarantine.find(traits, PEERS) is not None


def test_third_crash_quarantines_the_request(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for _ in range(2):
        crash(quarantine, clock, DEADLY)
        assert not is_refused(quarantine)
    crash(quarantine, clock, DEADLY)
    assert is_refused(quarantine)
    assert is_refused(quarantine, request("deadly", query="?other"))
    assert not is_refused(quarantine, request("sound"))


@pytest.mark.parametrize("pause_s", [0.4, 25.0, 55.0, 300.0])
def test_crashes_count_however_far_the_repeats_are_apart(
    pause_s: float, clock: FrozenDateTimeFactory
) -> None:
    quarantine = RequestQuarantine(ME)
    for _ in range(3):
        crash(quarantine, clock, DEADLY, pause_s=pause_s)
    assert is_refused(quarantine)


def test_retry_that_crashes_the_next_server_at_once_counts(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    sent_s = 0.0
    for number in range(3):
        clock.tick(0.04)
        quarantine.record_crash(f"s{number}", DEADLY, sent_s)
        sent_s = time.monotonic()
    clock.tick(SETTLED_S)
    assert is_refused(quarantine)


def test_popular_request_at_servers_that_lose_power_is_no_evidence(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    sent_s = time.monotonic()
    for number in range(20):
        clock.tick(0.004)
        quarantine.record_crash(f"s{number}", request("popular"), sent_s)
    clock.tick(SETTLED_S)
    assert not is_refused(quarantine, request("popular"))


def test_popular_request_at_servers_that_crash_for_other_reasons_is_served(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    popular = request("popular", "system")
    quarantine.record_sound(popular)
    for number in range(4):
        crash(quarantine, clock, popular, request(f"other-{number}"))
        assert not is_refused(quarantine, popular)
    quarantine.record_sound(popular)
    for number in range(4):
        crash(quarantine, clock, popular, request(f"other-{number + 4}"))
        assert not is_refused(quarantine, popular)


def test_bystanders_of_a_deadly_request_are_served(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(3):
        bystanders = [request(f"s{number}-{n}", "system") for n in range(30)]
        crash(quarantine, clock, request("deadly", "system"), *bystanders)
    assert is_refused(quarantine, request("deadly", "system"))
    assert not is_refused(quarantine, request("new", "system"))
    for number in range(3):
        assert not is_refused(quarantine, request(f"s{number}-0", "system"))


def test_first_part_shared_with_a_deadly_request_is_not_blamed(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(12):
        quarantine.record_sound(("system",))
        if not is_refused(quarantine, request("deadly", "system")):
            crash(quarantine, clock, request("deadly", "system"))
        assert not is_refused(quarantine, request(f"s{number}", "system"))
    assert is_refused(quarantine, request("deadly", "system"))


def test_request_that_shares_path_and_body_with_sound_ones_is_told_apart(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(5):
        quarantine.record_sound(request("same", query=f"?{number}"))
        crash(quarantine, clock, request("same", query="?deadly"))
    assert is_refused(quarantine, request("same", query="?deadly"))
    assert not is_refused(quarantine, request("same", query="?7"))


def test_deadly_part_and_deadly_requests_are_told_apart(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(3):
        quarantine.record_sound(("system",))
        crash(quarantine, clock, request("deadly-1", "system"))
        crash(quarantine, clock, request("deadly-2", "system"))
        crash(quarantine, clock, request(f"r{number}", "system", "dead"))
    assert is_refused(quarantine, request("deadly-1", "system"))
    assert is_refused(quarantine, request("deadly-2", "system"))
    assert is_refused(quarantine, request("another", "dead"))
    assert not is_refused(quarantine, request("another", "system"))


def test_part_behind_a_deadly_request_is_quarantined_by_the_fifth_crash(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    quarantine.record_sound(("system",))
    for _ in range(3):
        crash(quarantine, clock, request("first", "system", "dead"))
    for number in range(2):
        traits = request(f"r{number}", "system", "dead")
        assert not is_refused(quarantine, traits)
        crash(quarantine, clock, traits)
    assert is_refused(quarantine, request("another", "system", "dead"))
    assert not is_refused(quarantine, request("another", "system"))


def test_request_is_not_repeated_while_it_is_suspected(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    quarantine.record_crash("s1", DEADLY)
    assert quarantine.may_repeat(DEADLY)
    clock.tick(0.05)
    quarantine.record_crash("s2", DEADLY)
    assert not quarantine.may_repeat(DEADLY)
    assert quarantine.may_repeat(request("sound"))
    clock.tick(0.05)
    quarantine.record_sound(DEADLY)
    assert quarantine.may_repeat(DEADLY)


def test_few_requests_are_tried_however_long_they_come(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for _ in range(3):
        crash(quarantine, clock, DEADLY)
    sent = 0
    for _ in range(3600):
        clock.tick(1.0)
        quarantine.update()
        if quarantine.find(DEADLY, ()) is None:
            sent += 1
            crash(quarantine, clock, DEADLY, pause_s=0.0)
    assert 1 <= sent <= MAX_LATE_REQUESTS


def test_quarantine_ends_once_a_trial_is_answered(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for _ in range(3):
        crash(quarantine, clock, DEADLY)
    clock.tick(FIRST_REQUEST_TRIAL_S)
    assert quarantine.find(DEADLY, ()) is None
    assert is_refused(quarantine)
    quarantine.record_sound(DEADLY)
    assert not is_refused(quarantine)


def test_many_sound_requests_do_not_hide_a_deadly_one(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    numbers = itertools.count()
    for _ in range(3):
        for _ in range(5000):
            quarantine.record_sound(request(f"sound-{next(numbers)}"))
        crash(quarantine, clock, DEADLY, pause_s=2.0)
    assert is_refused(quarantine)


def test_joining_node_hears_of_many_deadly_requests(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    names = [f"deadly-{number}" for number in range(MAX_QUARANTINES)]
    for name in names:
        for _ in range(3):
            crash(quarantine, clock, request(name), pause_s=SETTLED_S)
    clock.tick(20.0)
    joining = RequestQuarantine(PEERS[0])
    for _ in range(MAX_QUARANTINES // MAX_QUARANTINES_SENT + 1):
        news = quarantine.news()
        assert len(news.quarantined) <= MAX_QUARANTINES_SENT
        joining.merge(news)
        clock.tick(0.2)
    assert all(is_refused(joining, request(name)) for name in names)


def test_reports_of_a_build_that_does_not_say_when_it_sent_are_heard(
    clock: FrozenDateTimeFactory,
) -> None:
    quarantine = RequestQuarantine(ME)
    for number in range(3):
        peer = RequestQuarantine(PEERS[0])
        peer.record_crash(f"s{number}", DEADLY)
        (report,) = peer.news().crash_reports
        quarantine.merge(QuarantineNews((report._replace(sent_ages_s=()),)))
        clock.tick(1.0)
    assert is_refused(quarantine)
