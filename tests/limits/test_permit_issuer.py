"""Tests of permits for requests to backend servers that name a limit."""

import random
import time
from collections.abc import Callable, Iterator

import pytest
from freezegun import freeze_time
from freezegun.api import FrozenDateTimeFactory

from savorylift.fleet.codec import encode
from savorylift.fleet.limit_messages import (
    LimitReport,
    PermitReply,
    PermitRequest,
)
from savorylift.fleet.membership import Membership
from savorylift.limits.permit_issuer import (
    HANDOVER_HOLD_S,
    MAX_INTERVAL_S,
    START_HOLD_S,
    PermitBucket,
    PermitIssuer,
)
from tests.fleet.test_membership import state

# The users judge limits over this time, with these tolerances.
WINDOW_S = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
STEP_S = 0.1
# The size that the fleet is to have.
NODES_TO_COME = 350
# What a node may send for control.
CONTROL_BYTES_PER_S = 16_000
UDP_HEADER_BYTES = 28
LIMIT_PER_S = 1.8
SERVER_ID = "i-1"


class IssuerFleet:
    """Issuers of nodes that hear each other unless they are silent.

    Attributes:
        silent: Addresses of nodes that are cut off from all others.
        leaving: Addresses of nodes that are draining.
        granted_s: Times of all permits.
    """

    def __init__(
        self,
        clock: FrozenDateTimeFactory,
        nodes: int,
        limited_from_s: float = 0.0,
    ) -> None:
        self._clock = clock
        self._limited_from_s = time.monotonic() + limited_from_s
        self._sequence = 0
        self.ips = [f"10.0.0.{number}" for number in range(1, nodes + 1)]
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        self._members = {ip: Membership(ip, ()) for ip in self.ips}
        self._issuers = {ip: self._make_issuer(ip) for ip in self.ips}
        self.granted_s: list[float] = []

    @property
    def issuer_ip(self) -> str:
        """Address of the node that the first connected node asks."""
        connected = next(ip for ip in self.ips if ip not in self.silent)
        return self._issuers[connected].find_issuer(SERVER_ID)

    @property
    def _is_limited(self) -> bool:
        return time.monotonic() >= self._limited_from_s - STEP_S / 2

    def restart(self, ip: str) -> None:
        """Replaces a node by one that has heard no other node."""
        self._members[ip] = Membership(ip, ())
        self._issuers[ip] = self._make_issuer(ip)

    def run(self, duration_s: float) -> None:
        """Lets all nodes ask all the time."""
        for _ in range(round(duration_s / STEP_S)):
            self._clock.tick(STEP_S)
            self._exchange_states()
            for ip in self.ips if self._is_limited else ():
                self._ask(ip)

    def permits_since(self, since_s: float) -> int:
        return sum(at_s >= since_s for at_s in self.granted_s)

    def most_in_window(self) -> int:
        return max(
            sum(t <= u < t + WINDOW_S for u in self.granted_s)
            for t in self.granted_s
        )

    def _make_issuer(self, ip: str) -> PermitIssuer:
        return PermitIssuer(
            ip, self._members[ip], lambda: ip in self.leaving, random.Random(ip)
        )

    def _exchange_states(self) -> None:
        self._sequence += 1
        now_s = time.monotonic()
        connected = [ip for ip in self.ips if ip not in self.silent]
        for sender in connected:
            message = state(int(sender.rpartition(".")[2]))._replace(
                sequence=self._sequence, is_leaving=sender in self.leaving
            )
            for ip in connected:
                self._members[ip].update_peer(message, now_s)
        for ip in self.ips:
            self._members[ip].forget_silent(now_s)
            limited = [SERVER_ID] if self._is_limited else []
            self._issuers[ip].update(limited)

    def _ask(self, ip: str) -> None:
        asked = self._issuers[ip].find_issuer(SERVER_ID)
        if asked != ip and {ip, asked} & self.silent:
            return
        decision = self._issuers[asked].decide(
            SERVER_ID, LIMIT_PER_S, 0.0, is_probe=False
        )
        if decision.is_granted:
            self.granted_s.append(time.monotonic())


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freeze_time() as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


@pytest.mark.parametrize("nodes", [1, 3, 24])
def test_all_nodes_together_get_the_limit_and_no_more(
    clock: FrozenDateTimeFactory, nodes: int
) -> None:
    fleet = IssuerFleet(clock, nodes)
    fleet.run(START_HOLD_S + 1.0)
    since_s = time.monotonic()
    fleet.run(10.0)
    assert fleet.most_in_window() <= LIMIT_PER_S * (WINDOW_S + 1.0)
    assert fleet.permits_since(since_s) >= 0.9 * LIMIT_PER_S * 10.0


def cut_off_issuer(fleet: IssuerFleet) -> None:
    fleet.silent = {fleet.issuer_ip}


def cut_off_others(fleet: IssuerFleet) -> None:
    fleet.silent = set(fleet.ips) - {fleet.issuer_ip}


def drain_issuer(fleet: IssuerFleet) -> None:
    fleet.leaving = {fleet.issuer_ip}


def restart_issuer(fleet: IssuerFleet) -> None:
    fleet.restart(fleet.issuer_ip)


def restart_all(fleet: IssuerFleet) -> None:
    for ip in fleet.ips:
        fleet.restart(ip)


@pytest.mark.parametrize(
    "disrupt",
    [
        cut_off_issuer,
        cut_off_others,
        drain_issuer,
        restart_issuer,
        restart_all,
    ],
)
def test_disrupted_nodes_together_get_no_more_than_the_limit(
    clock: FrozenDateTimeFactory, disrupt: Callable[[IssuerFleet], None]
) -> None:
    fleet = IssuerFleet(clock, 9)
    fleet.run(10.0)
    disrupt(fleet)
    fleet.run(90.0)
    fleet.silent = set()
    fleet.leaving = set()
    healed_s = time.monotonic()
    fleet.run(20.0)
    allowed = TOLERANCE_FACTOR * LIMIT_PER_S * WINDOW_S + TOLERANCE_REQUESTS
    assert fleet.most_in_window() <= allowed
    assert fleet.permits_since(healed_s + 10.0) >= 0.9 * LIMIT_PER_S * 10.0


def test_limit_is_used_soon_after_its_issuer_was_lost(
    clock: FrozenDateTimeFactory,
) -> None:
    fleet = IssuerFleet(clock, 9)
    fleet.run(10.0)
    cut_off_issuer(fleet)
    fleet.run(1.0 + HANDOVER_HOLD_S + 1.0)
    since_s = time.monotonic()
    fleet.run(10.0)
    assert fleet.permits_since(since_s) >= 0.8 * LIMIT_PER_S * 10.0


def test_request_may_wait_for_its_permit(clock: FrozenDateTimeFactory) -> None:
    bucket = PermitBucket(time.monotonic(), 0.0)
    waits_s = [
        bucket.take(2.0, max_wait_s, is_probe=False)
        for max_wait_s in (0.0, 0.6, 0.6, 0.0)
    ]
    assert [decision.is_granted for decision in waits_s] == [
        True,
        True,
        False,
        False,
    ]
    assert [decision.wait_s for decision in waits_s] == pytest.approx(
        [0.0, 0.5, 1.0, 1.0]
    )


def test_probe_leaves_the_permits_to_requests(
    clock: FrozenDateTimeFactory,
) -> None:
    bucket = PermitBucket(time.monotonic(), 0.0)
    assert not bucket.take(2.0, 0.0, is_probe=True).is_granted
    assert bucket.take(2.0, 0.0, is_probe=False).is_granted
    clock.tick(0.9)
    assert not bucket.take(2.0, 0.0, is_probe=True).is_granted
    clock.tick(0.2)
    assert bucket.take(2.0, 0.0, is_probe=True).is_granted


def test_raised_limit_is_used_at_once(clock: FrozenDateTimeFactory) -> None:
    bucket = PermitBucket(time.monotonic(), 0.0)
    assert bucket.take(1 / MAX_INTERVAL_S, 0.0, is_probe=False).is_granted
    assert bucket.take(10.0, 0.0, is_probe=False).wait_s < MAX_INTERVAL_S / 2


@pytest.mark.parametrize("per_s", [0.0, 0.1])
def test_server_whose_limit_is_tiny_still_gets_a_request_now_and_then(
    clock: FrozenDateTimeFactory, per_s: float
) -> None:
    members = Membership("10.0.0.1", ())
    issuer = PermitIssuer("10.0.0.1", members, lambda: False, random.Random(1))
    issuer.update([SERVER_ID])
    granted = 0
    for _ in range(40):
        clock.tick(1.0)
        decision = issuer.decide(SERVER_ID, per_s, 0.0, is_probe=False)
        granted += decision.is_granted
    assert 40 / MAX_INTERVAL_S - 3 <= granted <= 40 / MAX_INTERVAL_S


def test_issuer_is_not_asked_for_more_than_it_may_send(
    clock: FrozenDateTimeFactory,
) -> None:
    bucket = PermitBucket(time.monotonic(), 0.0)
    ask_at_s = [time.monotonic()] * NODES_TO_COME
    asked_s: list[float] = []
    for _ in range(200):
        clock.tick(0.1)
        now_s = time.monotonic()
        for node, at_s in enumerate(ask_at_s):
            if at_s <= now_s:
                decision = bucket.take(LIMIT_PER_S, 0.0, is_probe=False)
                ask_at_s[node] = now_s + decision.wait_s
                asked_s.append(now_s)
    asked_per_s = sum(at_s > now_s - 10.0 for at_s in asked_s) / 10.0
    assert asked_per_s * bytes_of_exchange() <= CONTROL_BYTES_PER_S


def bytes_of_exchange() -> int:
    report = LimitReport("i-c368fed930", 1_796_387_731_465, 1.8, 0.5123)
    request = PermitRequest(2**47, report, 0.2, is_probe=False)
    reply = PermitReply(2**47, is_granted=True, wait_s=0.1234)
    return len(encode(request)) + len(encode(reply)) + 2 * UDP_HEADER_BYTES


def test_few_nodes_ask_again_as_soon_as_there_is_a_permit(
    clock: FrozenDateTimeFactory,
) -> None:
    bucket = PermitBucket(time.monotonic(), 0.0)
    for _ in range(3):
        decision = bucket.take(LIMIT_PER_S, 0.0, is_probe=False)
        assert decision.wait_s <= 1 / LIMIT_PER_S + 0.001


def test_limit_that_begins_in_a_calm_fleet_is_used_at_once(
    clock: FrozenDateTimeFactory,
) -> None:
    fleet = IssuerFleet(clock, 9, limited_from_s=20.0)
    fleet.run(20.0)
    since_s = time.monotonic()
    fleet.run(1.0)
    assert fleet.permits_since(since_s) >= 1
