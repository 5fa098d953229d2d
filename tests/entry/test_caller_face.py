"""Tests of bad input, slow senders and full thread pools."""

import json
import threading
import time
from collections.abc import Iterator

import pytest

from savorylift.entry.node_state import Phase
from tests.entry.faces import READ_S, Face, Reply, read_reply, request

COMPLETIONS = "POST /v1/completions"
GOOD = b'{"model": "m", "prompt": "hello"}'


@pytest.fixture
def face() -> Iterator[Face]:
    with Face() as running:
        yield running


def code(reply: Reply) -> str:
    return str(json.loads(reply.body)["error"]["code"])


@pytest.mark.parametrize(
    ("raw", "status", "expected"),
    [
        (request("GET /nothing"), 404, "not_found"),
        (request("PUT /v1/completions"), 405, "method_not_allowed"),
        (request(COMPLETIONS, GOOD, team=None), 403, "unknown_team"),
        (request(COMPLETIONS, GOOD, team="nobody"), 403, "unknown_team"),
        (request(COMPLETIONS, b"{"), 400, "bad_request"),
        (request(COMPLETIONS, b'{"model": "m"}'), 400, "bad_request"),
        (
            request(COMPLETIONS, b'{"model": 3, "prompt": ""}'),
            400,
            "bad_request",
        ),
        (
            request(COMPLETIONS, b'{"model": "x", "prompt": ""}'),
            404,
            "unknown_model",
        ),
        (request(COMPLETIONS, GOOD, team="small"), 403, "model_not_allowed"),
        (request(COMPLETIONS, GOOD, X_Deadline_Ms="0"), 400, "bad_deadline"),
        (request(COMPLETIONS, GOOD, X_Deadline_Ms="soon"), 400, "bad_deadline"),
        (request(COMPLETIONS, GOOD, X_Priority="99"), 400, "bad_request"),
        (request(COMPLETIONS, GOOD), 503, "no_backend_server"),
        (request(COMPLETIONS, b"x" * 20_000), 413, "body_too_large"),
        (
            request(COMPLETIONS, Content_Length="99999"),
            413,
            "body_too_large",
        ),
        (
            request(COMPLETIONS, b"zz\r\n", Transfer_Encoding="chunked"),
            400,
            "bad_request",
        ),
        (
            request(
                COMPLETIONS,
                b"4e20\r\n" + b"x" * 20_000 + b"\r\n0\r\n\r\n",
                Transfer_Encoding="chunked",
            ),
            413,
            "body_too_large",
        ),
        (request("GET /v1/streams/forged?from=0"), 403, "bad_ticket"),
        (request("GET /v1/services/none/x"), 404, "unknown_service"),
        (b"nonsense\r\n\r\n", 400, "bad_request"),
        (request("GET /x", A="b" * 8000), 413, "body_too_large"),
    ],
)
def test_bad_input_gets_its_code(
    face: Face, raw: bytes, status: int, expected: str
) -> None:
    began_s = time.monotonic()
    reply = face.send(raw)
    assert (reply.status, code(reply)) == (status, expected)
    assert time.monotonic() - began_s < 2.0


def test_each_refusal_is_accounted_once(face: Face) -> None:
    face.send(request("GET /nothing", X_Request_Id="r1"))
    assert [item.request_id for item in face.book.written] == ["r1"]


@pytest.mark.parametrize(
    "start", [b"", b"POST /v1/comp", request(COMPLETIONS, Content_Length="9")]
)
def test_slow_sender_is_cut_off(face: Face, start: bytes) -> None:
    with face.connect() as sock:
        began_s = time.monotonic()
        for byte in start:
            sock.send(bytes([byte]))
        reply = read_reply(sock)
    assert time.monotonic() - began_s < READ_S + 1.0
    assert reply.status in ((408,) if start else (0, 408))


def test_dripping_sender_can_not_hold_a_thread(face: Face) -> None:
    began_s = time.monotonic()
    with face.connect() as sock:
        sock.sendall(request(COMPLETIONS, Content_Length="5000"))
        try:
            for _ in range(100):
                sock.send(b"x")
                time.sleep(0.02)
        except OSError:
            pass
    assert time.monotonic() - began_s < READ_S + 1.0


def test_full_pool_is_answered_by_a_refusal(face: Face) -> None:
    face.calls.gate.clear()
    replies: list[Reply] = []
    call = request("GET /v1/services/crew/x")
    threads = [
        threading.Thread(target=lambda: replies.append(face.send(call)))
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    while face.state.in_flight() < 3:
        time.sleep(0.005)
    began_s = time.monotonic()
    assert code(face.send(call)) == "node_busy"
    slow = [face.connect() for _ in range(2)]  # take the last free thread
    time.sleep(0.05)
    assert code(face.send(call)) == "node_busy"
    assert time.monotonic() - began_s < READ_S
    face.calls.gate.set()
    for thread in threads:
        thread.join()
    for sock in slow:
        sock.close()
    assert [reply.status for reply in replies] == [200, 200, 200]


def test_service_gets_the_path_as_it_was_written(face: Face) -> None:
    reply = face.send(request("GET /v1/services/crew/a%20b/%2F?c=%26&c=d"))
    assert reply.status == 200
    assert face.calls.paths == ["/a%20b/%2F?c=%26&c=d"]


def test_team_limit_names_its_rule(face: Face) -> None:
    face.calls.gate.clear()
    call = request("GET /v1/services/crew/x", team="small")
    first = threading.Thread(target=face.send, args=(call,))
    first.start()
    while face.state.in_flight() < 1:
        time.sleep(0.005)
    reply = face.send(call)
    face.calls.gate.set()
    first.join()
    error = json.loads(reply.body)["error"]
    assert (reply.status, error["code"]) == (429, "team_limit")
    assert (error["rule"], error["asked_by"]) == ("rule", "desk")
    assert error["ending"] == "not_run"


@pytest.mark.parametrize(
    ("phase", "expected"),
    [(Phase.STARTING, "node_starting"), (Phase.DRAINING, "node_draining")],
)
def test_phase_refuses_new_work(
    face: Face, phase: Phase, expected: str
) -> None:
    face.state.enter(phase)
    reply = face.send(request(COMPLETIONS, GOOD))
    assert (reply.status, code(reply)) == (503, expected)
