"""Tests of the simulated plain service, run as a process."""

import threading
import time

import pytest
import urllib3

from tests.harness.fixtures import StandInFactory
from tests.harness.http_client import Response, request
from tests.harness.standin import StandIn, StandInKind

pytestmark = pytest.mark.processes


def call(service: StandIn, key: str, request_id: str = "r") -> Response:
    headers = {"Idempotency-Key": key, "X-Request-Id": request_id}
    return request("POST", f"{service.url}/shifts", {"n": 1}, headers)


def call_concurrently(service: StandIn, count: int) -> list[int | None]:
    """Makes concurrent calls and returns their status codes.

    A call without a response has None.
    """
    statuses: list[int | None] = []

    def call_once() -> None:
        try:
            statuses.append(call(service, "k").status)
        except urllib3.exceptions.HTTPError:
            statuses.append(None)

    threads = [threading.Thread(target=call_once) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def test_echo_and_runs_by_key(start_standin: StandInFactory) -> None:
    service = start_standin(StandInKind.PLAIN_SERVICE)
    responses = [call(service, "k", "r-1"), call(service, "k", "r-2")]
    assert [response.headers["X-Request-Id"] for response in responses] == [
        "r-1",
        "r-2",
    ]
    assert responses[0].json()["path"] == "/shifts"
    seen = service.fetch_record()
    assert seen["runs_by_key"] == {"k": 2}
    assert seen["runs_by_id"] == {"r-1": 1, "r-2": 1}


@pytest.mark.parametrize(
    ("fault", "runs"),
    [
        ({"lose_answers": 1}, 1),
        ({"lose_requests": 1}, 0),
        ({"die_s": -1}, 0),
    ],
)
def test_unanswered_call_is_counted_only_if_it_ran(
    start_standin: StandInFactory, fault: dict[str, object], runs: int
) -> None:
    service = start_standin(StandInKind.PLAIN_SERVICE)
    before = service.fetch_record()["incarnation"]
    service.control(**fault)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(service, "k")
    service.control(revive=True)
    assert service.fetch_record()["runs_by_key"].get("k", 0) == runs
    assert call(service, "k").status == 200
    assert (service.fetch_record()["incarnation"] != before) == (
        "die_s" in fault
    )


def test_delayed_and_wrong_responses_and_draining(
    start_standin: StandInFactory,
) -> None:
    service = start_standin(StandInKind.PLAIN_SERVICE)
    service.control(delay_s=0.1, delay_answers=1)
    started_s = time.monotonic()
    call(service, "k", "r-1")
    assert time.monotonic() - started_s >= 0.1
    service.control(wrong_ids=1)
    assert call(service, "k", "r-2").headers["X-Request-Id"] == "r-1"
    service.control(leaving=True)
    response = call(service, "k")
    assert response.json()["error"]["code"] == "leaving"
    assert request("GET", f"{service.url}/v1/load").json()["leaving"]


def test_cold_service_crashes_above_its_limit(
    start_standin: StandInFactory,
) -> None:
    service = start_standin(
        StandInKind.PLAIN_SERVICE, run_s=0.1, cold_limit=2, cold_calls=2
    )
    assert call_concurrently(service, 2) == [200, 200]
    assert call_concurrently(service, 4) == [200] * 4
    assert not service.fetch_record()["overruns"]
    service.control(turn_cold=True, restart_s=0.1)
    assert 503 in call_concurrently(service, 3)
    seen = service.fetch_record()
    assert (len(seen["overruns"]), seen["max_cold_offered"]) == (1, 3)
