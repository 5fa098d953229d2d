"""The log service as a program."""

import threading
import time
from typing import Any

import pytest
import urllib3

from tests.harness.answers import Answer, request
from tests.harness.fixtures import StartStandIn
from tests.harness.standin import Kind, StandIn

pytestmark = pytest.mark.processes


@pytest.fixture(name="log")
def _log(start_standin: StartStandIn) -> StandIn:
    return start_standin(Kind.LOG_SERVICE)


def append(log: StandIn, *ids: str, stream: str = "s") -> Answer:
    records = [{"id": name, "kind": "k", "body": "b"} for name in ids]
    url = f"{log.url}/v1/streams/{stream}/records"
    return request("POST", url, json={"records": records})


def read(log: StandIn, query: str, stream: str = "s") -> dict[str, Any]:
    url = f"{log.url}/v1/streams/{stream}/records?{query}"
    return request("GET", url).json()


def ids_of(page: dict[str, Any]) -> list[str]:
    return [record["id"] for record in page["records"]]


def test_records_get_offsets_by_stream_and_keep_their_ids(
    log: StandIn,
) -> None:
    assert append(log, "a", "a").json() == {"first_offset": 0}
    assert append(log, "b").json() == {"first_offset": 2}
    assert append(log, "c", stream="other").json() == {"first_offset": 0}
    page = read(log, "from=1")
    assert ids_of(page) == ["a", "b"]
    assert [r["offset"] for r in page["records"]] == [1, 2]
    assert ids_of(read(log, "from=0&limit=2")) == ["a", "a"]


@pytest.mark.parametrize(
    ("fault", "status", "kept"),
    [
        ({"append_rate": 1}, 429, ["a"]),
        ({"outage": True}, 503, ["a"]),
        ({"no_answer": True}, None, ["a"]),
        ({"lose_answers": 1}, None, ["a", "b"]),
        ({"lose_share": 1.0}, None, ["a", "b"]),
        ({"lose_appends": 1}, None, ["a"]),
    ],
)
def test_faulty_append(
    log: StandIn, fault: dict[str, object], status: int | None, kept: list[str]
) -> None:
    append(log, "a")
    log.control(**fault)
    if status is None:
        with pytest.raises(urllib3.exceptions.HTTPError):
            append(log, "b")
    else:
        assert append(log, "b").status == status
    records = log.seen(stream="s")["records"]
    assert [record["id"] for record in records] == kept


@pytest.mark.parametrize(
    ("fault", "first", "shown", "following"),
    [
        ({"trim": {"s": 2}}, 2, ["c"], 3),
        ({"trim": {"s": 9}}, 3, [], 3),
        ({"keep_records": 1}, 2, ["c"], 3),
        ({"keep_s": 0.001}, 3, [], 3),
        ({"older_copy_share": 1.0, "older_copy_records": 2}, 0, ["a"], 1),
    ],
)
def test_reads_of_forgotten_or_older_records(
    log: StandIn,
    fault: dict[str, object],
    first: int,
    shown: list[str],
    following: int,
) -> None:
    append(log, "a", "b", "c")
    log.control(**fault)
    page = read(log, "from=0")
    assert ids_of(page) == shown
    assert (page["first_offset"], page["next_offset"]) == (first, following)


def test_read_waits_for_a_record(log: StandIn) -> None:
    began_s = time.monotonic()
    assert ids_of(read(log, "from=0&wait_ms=100")) == []
    assert time.monotonic() - began_s >= 0.1
    writer = threading.Thread(target=append, args=(log, "late"))
    writer.start()
    assert ids_of(read(log, "from=0&wait_ms=10000")) == ["late"]
    writer.join()


def test_delays_apply_to_appends_and_reads(log: StandIn) -> None:
    log.control(append_delay_s=0.1, read_delay_s=0.1)
    began_s = time.monotonic()
    append(log, "a")
    read(log, "from=0")
    assert time.monotonic() - began_s >= 0.2


def test_unknown_control_field_is_refused(log: StandIn) -> None:
    answer = request("POST", f"{log.url}/control", json={"outtage": True})
    assert answer.status == 400
