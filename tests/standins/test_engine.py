"""Tests of the simulated model engine, run as a process."""

import json
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from tests.harness.fixtures import StandInFactory
from tests.harness.http_client import Response, request
from tests.harness.standin import StandIn, StandInKind
from tests.standins.tokens import GeneratedText, prefix_hash

pytestmark = pytest.mark.processes

PROMPT = "summarise the vines len=5"


@pytest.fixture(name="engine")
def _engine(start_standin: StandInFactory) -> StandIn:
    return start_standin(
        StandInKind.ENGINE, interval_s=0.005, first_token_s=0.005, load_lag_s=0
    )


def completion_body(name: str, **changes: object) -> dict[str, object]:
    body: dict[str, object] = {
        "model": "m",
        "version": "v1",
        "prompt": PROMPT,
        "max_tokens": 100,
        "seed": 7,
        "stream": True,
        "generation_id": name,
        "priority": 0,
        "team": "t",
    }
    return {**body, **changes}


def complete(engine: StandIn, name: str, **changes: object) -> Response:
    url = f"{engine.url}/v1/completions"
    return request("POST", url, completion_body(name, **changes))


def events_of(text: str) -> list[dict[str, Any]]:
    data_lines = [
        part.removeprefix("data: ") for part in text.split("\n\n")[:-1]
    ]
    assert data_lines.pop() == "[DONE]"
    return [json.loads(data) for data in data_lines]


class OpenStream:
    """An event stream that is read one event at a time."""

    def __init__(self, engine: StandIn, name: str, **changes: object) -> None:
        """Requests a generation."""
        self._response = urllib3.PoolManager(retries=False).request(
            "POST",
            f"{engine.url}/v1/completions",
            json=completion_body(name, **changes),
            preload_content=False,
            timeout=1.0,
        )
        self._parts: Iterator[bytes] = self._response.stream()

    def next_event(self) -> dict[str, Any]:
        """Returns the data of the next event."""
        data = next(self._parts).split(b"\n")[0].removeprefix(b"data: ")
        event: dict[str, Any] = json.loads(data)
        return event

    def read_until_failure(self) -> None:
        """Reads events until the connection fails."""
        while True:
            self.next_event()


def test_tokens_depend_on_prompt_seed_and_version(
    engine: StandIn,
) -> None:
    events = events_of(complete(engine, "g").body.decode())
    expected = GeneratedText(PROMPT, 7, "v1", (1, 9)).tokens(100)
    assert [event["token"] for event in events] == [*expected, ""]
    assert [event["index"] for event in events] == list(range(6))
    assert {event["id"] for event in events} == {"g"}
    assert events[-1]["finish_reason"] == "stop"
    cut = events_of(complete(engine, "h", max_tokens=2).body.decode())
    assert cut[-1]["finish_reason"] == "length"
    engine.control(nondeterministic=True)
    other = events_of(complete(engine, "i").body.decode())
    assert other[0]["token"] != events[0]["token"]


def test_resume_and_cancel(engine: StandIn) -> None:
    stream = OpenStream(engine, "g", prompt="len=100000", max_tokens=100000)
    assert stream.next_event()["index"] == 0
    url = f"{engine.url}/v1/generations/g"
    assert request("DELETE", url).json() == {"cancelled": True}
    events = events_of(request("GET", f"{url}/events?from=1").body.decode())
    assert events[-1]["finish_reason"] == "cancelled"
    assert engine.fetch_record()["running"] == 0
    assert [name for _, name in engine.fetch_record()["cancels"]] == ["g"]
    missing_url = f"{engine.url}/v1/generations/none"
    assert request("DELETE", missing_url).status == 404
    assert request("GET", f"{missing_url}/events?from=0").status == 404


@pytest.mark.parametrize(
    ("fault", "changes", "status", "code"),
    [
        ({"leaving": True}, {}, 503, "leaving"),
        ({}, {"version": "v0"}, 409, "wrong_model"),
        ({}, {"generation_id": "first"}, 409, "generation_exists"),
        ({}, {"prompt": "w " * 9000}, 400, "prompt_too_long"),
        ({"max_waiting": 0}, {}, 503, "overloaded"),
        ({}, {"seed": "x"}, 400, "bad_request"),
    ],
)
def test_refuses_completion_with_error_code(
    engine: StandIn,
    fault: dict[str, object],
    changes: dict[str, object],
    status: int,
    code: str,
) -> None:
    complete(engine, "first")
    engine.control(**fault)
    response = complete(engine, "second", **changes)
    assert (response.status, response.json()["error"]["code"]) == (status, code)


def test_cold_engine_crashes_above_its_limit(engine: StandIn) -> None:
    engine.control(cold_limit=1, restart_s=0.2, stall=True)
    first = OpenStream(engine, "g")
    before = engine.fetch_record()
    assert complete(engine, "h").json()["error"]["code"] == "overloaded"
    with pytest.raises(urllib3.exceptions.HTTPError):
        first.next_event()
    with pytest.raises(urllib3.exceptions.HTTPError):
        complete(engine, "i")
    seen = engine.fetch_record()
    assert seen["incarnation"] != before["incarnation"]
    assert (len(seen["overruns"]), seen["max_cold_offered"]) == (1, 2)
    assert seen["cold"]


@pytest.mark.parametrize(
    ("fault", "raised"),
    [
        ({"stall": True}, urllib3.exceptions.ReadTimeoutError),
        ({"silence_open": True}, urllib3.exceptions.ReadTimeoutError),
        ({"drop_connections": True}, urllib3.exceptions.ProtocolError),
        ({"die_s": -1}, urllib3.exceptions.ProtocolError),
        (
            {"die_s": -1, "hang_when_dead": True},
            urllib3.exceptions.ReadTimeoutError,
        ),
    ],
)
def test_stream_breaks_on_fault_and_resumes_in_same_incarnation(
    engine: StandIn, fault: dict[str, object], raised: type[Exception]
) -> None:
    stream = OpenStream(engine, "g", prompt="len=100")
    stream.next_event()
    engine.control(**fault)
    with pytest.raises(raised):
        stream.read_until_failure()
    engine.control(stall=False, revive=True)
    response = request("GET", f"{engine.url}/v1/generations/g/events?from=1")
    if "die_s" in fault:
        assert response.status == 404
    else:
        assert len(events_of(response.body.decode())) == 100


def test_wrong_ids_crossed_and_lost_responses(engine: StandIn) -> None:
    engine.control(wrong_ids=1)
    wrong = events_of(complete(engine, "wrong").body.decode())
    assert {event["id"] for event in wrong} == {"gen-of-another"}
    engine.control(lose_answers=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        complete(engine, "lost")
    assert engine.fetch_record()["generations"][-1]["generation_id"] == "lost"
    engine.control(cross_answers=1, interval_s=0.05)
    first = OpenStream(engine, "one", prompt="len=20")
    assert first.next_event()["id"] == "one"
    second = OpenStream(engine, "two", prompt="len=20")
    assert second.next_event()["id"] == "one"
    assert first.next_event()["id"] == "two"


def test_load_cache_events_and_orders(engine: StandIn) -> None:
    engine.control(cache_lag_s=0, cache_gap_share=0, load_lag_s=60)
    complete(engine, "g")
    url = f"{engine.url}/v1"
    assert request("GET", f"{url}/load").json()["running"] == 0
    shown = request("GET", f"{url}/cache-events?from=0").json()
    assert shown["events"][0]["prefix_hash"] == prefix_hash("m", PROMPT)
    orders = [(2, 200), (1, 409), (2, 200)]
    for fencing, status in orders:
        order = {
            "order": "set_version",
            "name": "m",
            "version": f"v{fencing}",
            "fencing": fencing,
        }
        response = request("POST", f"{url}/orders", order)
        assert response.status == status
    engine.control(checks_fencing=False)
    assert request("POST", f"{url}/orders", {"fencing": 1}).status == 200
    assert engine.fetch_record()["models"] == [["m", "v2"]]


def test_hidden_cold_phase_is_not_reported(engine: StandIn) -> None:
    engine.control(hides_cold=True, cold_requests=1)
    complete(engine, "g")
    assert not engine.fetch_record()["cold"]
    engine.control(turn_cold=True)
    assert engine.fetch_record()["cold"]
    assert not request("GET", f"{engine.url}/v1/load").json()["cold"]
    assert "X-Cold" not in complete(engine, "h").headers
