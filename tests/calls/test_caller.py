"""Tests of calls: candidates, retries and truthful endings."""

import time
from typing import Any

import pytest
from returns.result import Failure, Success

from savorylift.calls.caller import CallService
from savorylift.calls.dispatch import (
    Answered,
    AnswerLost,
    BackendRefused,
    DispatchOutcome,
    NotSent,
)
from savorylift.calls.parts import CallParts
from savorylift.calls.request import CallAnswer, CallRequest
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.rules.view import OutOfService
from tests.calls.fakes import (
    FakeClaims,
    FakeDispatcher,
    FakeGate,
    call_parts,
    make_key,
    rules,
)

LOST = AnswerLost("cut")
UNSENT = NotSent("no route")
FULL = BackendRefused("overloaded", "1")
STALE = not_run(Reason.NODE_STALE, "stale", 1.0)


def request(method: str, key: str | None = None) -> CallRequest:
    if key is None and method == "POST":
        key = make_key(int(time.time() * 1000))
    deadline_s = time.monotonic() + 5
    return CallRequest(
        "r1", "t1", "crew", method, "/shift", (), b"{}", key, deadline_s
    )


def ending(parts: CallParts, req: CallRequest) -> str:
    result = CallService(parts).call(req)
    if isinstance(result, Success):
        return "answer"
    refusal: Refusal = result.failure()
    return f"{refusal.ending}/{refusal.reason}"


@pytest.mark.parametrize(
    ("method", "script", "expected", "sends", "claim_log"),
    [
        ("GET", (), "answer", 1, []),
        ("GET", (LOST,), "answer", 2, []),
        ("GET", (FULL, UNSENT), "answer", 3, []),
        ("GET", (UNSENT,) * 9, "not_run/backend_lost", 3, []),
        ("GET", (FULL,) * 9, "not_run/backend_error", 3, []),
        ("GET", (LOST, *(UNSENT,) * 9), "unknown/answer_lost", 3, []),
        ("POST", (), "answer", 1, ["answer"]),
        ("POST", (LOST,), "unknown/answer_lost", 1, ["unknown"]),
        ("POST", (FULL,), "answer", 2, ["answer"]),
        ("POST", (UNSENT, LOST), "unknown/answer_lost", 2, ["unknown"]),
        ("POST", (FULL,) * 9, "not_run/backend_error", 3, ["void"]),
    ],
)
def test_call_ends_truthfully(
    method: str,
    script: tuple[DispatchOutcome, ...],
    expected: str,
    sends: int,
    claim_log: list[str],
) -> None:
    dispatcher, claims = FakeDispatcher(*script), FakeClaims()
    parts = call_parts(dispatcher, claims)
    assert ending(parts, request(method)) == expected
    assert len(dispatcher.sent) == sends
    assert claims.log == claim_log


def test_retry_goes_elsewhere_and_returns_every_permit() -> None:
    dispatcher = FakeDispatcher(FULL)
    parts = call_parts(dispatcher)
    assert ending(parts, request("GET")) == "answer"
    assert len(set(dispatcher.sent)) == 2
    gate = parts.gate
    assert isinstance(gate, FakeGate)
    assert [use.overloaded for use in gate.uses] == [True, False]
    assert all(use.finished for use in gate.uses)


def test_lost_answer_leaves_the_permit_unfinished() -> None:
    parts = call_parts(FakeDispatcher(LOST))
    ending(parts, request("POST"))
    gate = parts.gate
    assert isinstance(gate, FakeGate)
    assert [use.finished for use in gate.uses] == [False]


def test_order_after_the_permit_stops_the_dispatch() -> None:
    dispatcher, claims = FakeDispatcher(), FakeClaims()
    parts = call_parts(dispatcher, claims)
    gate = parts.gate
    assert isinstance(gate, FakeGate)
    orders = (OutOfService("anjara", True, "ops: flood", 9),)
    gate.on_grant = lambda: parts.rules.replace(rules(out=orders))
    assert ending(parts, request("POST")) == "not_run/out_of_service"
    assert dispatcher.sent == []
    assert claims.log == ["void"]


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_stale_node_sends_nothing(method: str) -> None:
    dispatcher = FakeDispatcher()
    parts = call_parts(dispatcher)._replace(may_dispatch=lambda: Failure(STALE))
    assert ending(parts, request(method)) == "not_run/node_stale"
    assert dispatcher.sent == []


@pytest.mark.parametrize(
    ("key", "reason"),
    [("", "key_missing"), ("x", "key_invalid"), (make_key(1), "key_too_old")],
)
def test_bad_key_claims_nothing(key: str, reason: str) -> None:
    dispatcher, claims = FakeDispatcher(), FakeClaims()
    parts = call_parts(dispatcher, claims)
    assert ending(parts, request("POST", key)) == f"not_run/{reason}"
    assert (dispatcher.sent, claims.log) == ([], [])


def test_recorded_answer_is_replayed_without_a_dispatch() -> None:
    recorded = CallAnswer(201, (), b"booked", "s1", is_replay=True)
    dispatcher = FakeDispatcher()
    parts = call_parts(dispatcher, FakeClaims(Success(recorded)))
    assert CallService(parts).call(request("POST")) == Success(recorded)
    assert dispatcher.sent == []


def test_refused_permit_voids_the_claim() -> None:
    claims = FakeClaims()
    parts = call_parts(FakeDispatcher(), claims)
    gate = parts.gate
    assert isinstance(gate, FakeGate)
    gate.refusal = not_run(Reason.QUEUE_FULL, "full", 1.0)
    assert ending(parts, request("POST")) == "not_run/queue_full"
    assert claims.log == ["void"]


def test_retries_are_a_share_of_traffic() -> None:
    dispatcher = FakeDispatcher(*(UNSENT,) * 1_000)
    service = CallService(call_parts(dispatcher))
    for _ in range(100):
        service.call(request("GET"))
    assert len(dispatcher.sent) <= 100 + 10


@pytest.mark.parametrize(
    "change",
    [
        {"path": "/a b"},
        {"path": "no-slash"},
        {"path": "/a\r\nX: y"},
        {"method": "GE T"},
        {"headers": (("X", "a\r\nY: b"),)},
        {"headers": (("X y", "a"),)},
        {"headers": (("X", "\u20ac"),)},
    ],
)
def test_call_that_is_no_http_is_refused(change: dict[str, Any]) -> None:
    dispatcher = FakeDispatcher()
    req = request("GET")._replace(**change)
    assert ending(call_parts(dispatcher), req) == "not_run/bad_request"
    assert dispatcher.sent == []


def test_leaving_server_is_marked() -> None:
    marks: list[tuple[str, str | None]] = []
    parts = call_parts(FakeDispatcher(BackendRefused("leaving", "7")))
    marking = parts._replace(mark_leaving=lambda *mark: marks.append(mark))
    assert ending(marking, request("GET")) == "answer"
    assert [incarnation for _, incarnation in marks] == ["7"]


def test_closed_backend_servers_are_no_candidates() -> None:
    parts = call_parts(FakeDispatcher())._replace(is_open=lambda _: False)
    assert ending(parts, request("GET")) == "not_run/no_backend_server"


def test_unknown_service_is_refused() -> None:
    parts = call_parts(FakeDispatcher())
    req = request("GET")._replace(service="none")
    assert ending(parts, req) == "not_run/unknown_service"


def test_answer_names_its_backend_server() -> None:
    parts = call_parts(FakeDispatcher(Answered(404, (), b"", 0.1, None)))
    answer = CallService(parts).call(request("GET")).unwrap()
    assert (answer.status, answer.backend_server in {"s1", "s2"}) == (404, True)
