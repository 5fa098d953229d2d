"""Faults of the service and of the log at each step, over real HTTP."""

import itertools
import time
from collections.abc import Iterator, Mapping
from contextlib import ExitStack
from typing import NamedTuple

import pytest
from prometheus_client import CollectorRegistry
from returns.result import Success

from savorylift.calls.caller import CallService
from savorylift.calls.claim_desk import ClaimDesk
from savorylift.calls.dispatch import HttpDispatcher
from savorylift.calls.request import CallRequest
from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import ClientConfig
from savorylift.log_service.log_client import HttpLog
from savorylift.outcomes import Reason, Refusal
from savorylift.rules.view import RulesSource
from tests.calls.desks import running_desks, wait_until
from tests.calls.fakes import FakeDispatcher, call_parts, make_key, rules
from tests.harness.fixtures import StartStandIn
from tests.harness.standin import Kind, StandIn

pytestmark = pytest.mark.processes

NONE: dict[str, object] = {}
SERVICE_FAULTS: tuple[dict[str, object], ...] = (
    NONE,
    {"lose_answers": 1},
    {"lose_requests": 1},
    {"wrong_ids": 1},
    {"delay_answers": 1, "delay_s": 1.2},
    {"leaving": True},
    {"die_s": 0.3},
    {"die_s": 0.3, "hang_when_dead": True},
)
HARMLESS: tuple[dict[str, object], ...] = ({}, {"leaving": True})
LOG_FAULTS: tuple[dict[str, object], ...] = (
    NONE,
    {"outage": True},
    {"lose_answers": 1},
    {"lose_appends": 1},
    {"append_delay_s": 0.6},
    {"read_delay_s": 0.6},
    {"older_copy_share": 0.5, "older_copy_records": 2},
)
HEALTHY_LOG: Mapping[str, object] = {
    "outage": False,
    "append_delay_s": 0.0,
    "read_delay_s": 0.0,
    "older_copy_share": 0.0,
}
HEALTHY_SERVICE: Mapping[str, object] = {
    "leaving": False,
    "lose_answers": 0,
    "lose_requests": 0,
    "wrong_ids": 0,
    "delay_answers": 0,
}
START_MS = int(time.time() * 1000)
CALL_S = 1.0
AGAIN = frozenset({"not_run", "in_use"})
RETRIES = 20
RETRY_PAUSE_S = 0.1


class Rig(NamedTuple):
    """Two nodes, a log and two servers of one service."""

    log: StandIn
    servers: tuple[StandIn, ...]
    services: tuple[CallService, ...]


@pytest.fixture
def rig(start_standin: StartStandIn) -> Iterator[Rig]:
    log = start_standin(Kind.LOG_SERVICE)
    servers = tuple(
        start_standin(Kind.PLAIN_SERVICE, f"s{n}", starts_cold=False)
        for n in (1, 2)
    )
    cfg = ClientConfig((log.url,), read_timeout_s=0.4)
    client = HttpLog(cfg, PlatformCounters(CollectorRegistry()))
    with ExitStack() as stack:
        desks = stack.enter_context(running_desks(client, 2))
        services = tuple(_service(desk, servers) for desk in desks)
        wait_until(lambda: send(services[0], "warm", 0, 0) == "answer")
        yield Rig(log, servers, services)


def _service(desk: ClaimDesk, servers: tuple[StandIn, ...]) -> CallService:
    view = rules()
    backends = {
        backend.name: backend._replace(address=server.address)
        for backend, server in zip(
            view.backend_servers.values(), servers, strict=True
        )
    }
    parts = call_parts(FakeDispatcher())._replace(
        rules=RulesSource(view._replace(backend_servers=backends)),
        claims=desk,
        dispatcher=HttpDispatcher(),
    )
    return CallService(parts)


def send(service: CallService, request_id: str, case: int, tail: int) -> str:
    """Sends a booking under the key of `case`; returns how it ended."""
    key = key_of(case, tail)
    deadline_s = time.monotonic() + CALL_S
    result = service.call(
        CallRequest(
            request_id, "t", "crew", "POST", "/s", (), b"{}", key, deadline_s
        )
    )
    if isinstance(result, Success):
        return "answer"
    refusal: Refusal = result.failure()
    if refusal.reason == Reason.KEY_IN_USE:
        return "in_use"
    return str(refusal.ending)


def key_of(case: int, tail: int) -> str:
    return make_key(START_MS, case * 1000 + tail)


def test_fault_matrix(rig: Rig) -> None:
    """Each key runs at most once and each `not_run` was not run."""
    cases = list(itertools.product(SERVICE_FAULTS, LOG_FAULTS))
    endings: dict[str, str] = {}
    for number, (service_fault, log_fault) in enumerate(cases, 1):
        for server in rig.servers:
            server.control(**service_fault)
        rig.log.control(**log_fault)
        request_id = f"{number}-first"
        endings[request_id] = send(rig.services[0], request_id, number, 0)
        for server in rig.servers:
            server.control(**HEALTHY_SERVICE)
        rig.log.control(**HEALTHY_LOG)
        for attempt in range(RETRIES):
            request_id = f"{number}-retry{attempt}"
            service = rig.services[1 - attempt % 2]
            endings[request_id] = send(service, request_id, number, 0)
            if endings[request_id] not in AGAIN:
                break
            time.sleep(RETRY_PAUSE_S)
    time.sleep(CALL_S)
    seen = [server.seen() for server in rig.servers]
    for number in range(1, len(cases) + 1):
        key = key_of(number, 0)
        runs = sum(s["runs_by_key"].get(key, 0) for s in seen)
        assert runs <= 1, (cases[number - 1], runs)
        assert runs == 1 or "answer" not in _of(endings, number)
    for request_id, ending in endings.items():
        runs = sum(s["runs_by_id"].get(request_id, 0) for s in seen)
        assert ending != "not_run" or runs == 0, request_id
    final = [_of(endings, number) for number in range(1, len(cases) + 1)]
    assert all(ended - AGAIN for ended in final), "no retry got through"
    for (service_fault, log_fault), ended in zip(cases, final, strict=True):
        if service_fault in HARMLESS:
            assert "answer" in ended, (service_fault, log_fault)


def _of(endings: dict[str, str], number: int) -> set[str]:
    return {
        ending
        for request_id, ending in endings.items()
        if request_id.startswith(f"{number}-")
    }
