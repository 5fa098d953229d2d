"""Cost of claims and refusals; run as `python -m bench.calls`.

Prints one line of JSON a measurement. The log is kept in memory and answers
after a fixed delay, so that appends and bytes are counted, not guessed.
"""

import gc
import time
import tracemalloc
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
import structlog
from returns.result import Result
from tests.calls.desks import FakeNet, roster_of, running_desks
from tests.platform.fakes import FakeLog

from savorylift.calls.claim_fold import ClaimFold
from savorylift.calls.claims import ClaimRequest
from savorylift.calls.key import KeyWindow, parse_key
from savorylift.calls.messages import (
    ClaimBody,
    claim_entry,
    outcome_entry,
)
from savorylift.calls.request import CallAnswer
from savorylift.identity import NodeRef
from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.peers.view import RosterSource
from savorylift.platform.log import LogEntry, LogFault, LogPage, LogRecord
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.desk import RefusalDesk

APPEND_DELAY_S = 0.005
CLAIMS = 4_000
CLAIM_THREADS = (1, 8, 64)
FOLD_SIZES = (10_000, 20_000, 40_000, 80_000)
REFUSALS = 2_000
REFUSAL_THREADS = (1, 16)
MICROSECONDS = 1_000_000


class CountingLog:
    """A log in memory that answers late and counts what it is sent."""

    def __init__(self) -> None:
        """Starts empty."""
        self._log = FakeLog()
        self.appends = 0
        self.sent_bytes = 0

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        """Appends after the delay."""
        time.sleep(APPEND_DELAY_S)
        self.appends += 1
        self.sent_bytes += sum(map(_size, entries))
        return self._log.append(stream, entries)

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        """Reads at once."""
        return self._log.read(stream, offset, wait_s)


class FoldCost(NamedTuple):
    """Cost of remembering claims with their outcomes."""

    keys: int
    microseconds_per_claim: float
    bytes_per_key: float
    record_bytes_per_claim: float


class GroupCost(NamedTuple):
    """Cost of claims that wait for their verdict, with outcomes."""

    threads: int
    claims_per_s: float
    claims_per_append: float
    bytes_per_claim: float


class RefusalCost(NamedTuple):
    """Cost of refusals that wait for their copies."""

    threads: int
    refusals_per_s: float
    refusals_per_append: float
    bytes_per_refusal: float
    processor_us_per_refusal: float


def main() -> None:
    """Measures and prints everything."""
    structlog.configure(processors=[_drop])
    for size in FOLD_SIZES:
        _print(measure_fold(size))
    for threads in CLAIM_THREADS:
        _print(measure_claims(threads))
    for threads in REFUSAL_THREADS:
        _print(measure_refusals(threads))


def measure_fold(size: int) -> FoldCost:
    """Folds claims and outcomes of `size` keys spread over the window."""
    records = _records(size)
    fold = ClaimFold(KeyWindow())
    fold.cover_from(0)
    started_s = time.perf_counter()
    for record in records:
        fold.apply(record)
    took_s = time.perf_counter() - started_s
    record_bytes = sum(len(record.body) for record in records)
    assert fold.keys == size
    used = _memory_of(records)
    return FoldCost(
        size, took_s * MICROSECONDS / size, used / size, record_bytes / size
    )


def measure_claims(threads: int) -> GroupCost:
    """Claims keys from several threads of one node."""
    log = CountingLog()
    with running_desks(log, 1) as (desk,):
        answer = CallAnswer(200, (), b"x" * 100, "s1")

        def claim(number: int) -> None:
            won = desk.claim(_request(number)).unwrap()
            assert not isinstance(won, CallAnswer)
            desk.record(won, answer)

        while not _is_ready(lambda: claim(CLAIMS)):
            time.sleep(0.01)
        log.appends = log.sent_bytes = 0
        count = min(CLAIMS, threads * 100)
        started_s = time.perf_counter()
        with ThreadPoolExecutor(threads) as pool:
            list(pool.map(claim, range(count)))
        took_s = time.perf_counter() - started_s
        assert desk.flush(10)
    return GroupCost(
        threads,
        count / took_s,
        count / log.appends,
        log.sent_bytes / count,
    )


def measure_refusals(threads: int) -> RefusalCost:
    """Writes refusals on one node with two peers in the same process."""
    log, net = CountingLog(), FakeNet()
    refs = tuple(NodeRef(f"entry-{number}", "i1") for number in range(3))
    roster = RosterSource(roster_of(refs))
    desks = [RefusalDesk(ref, log, net.link(ref), roster) for ref in refs]
    for desk in desks:
        desk.start()
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    with ThreadPoolExecutor(threads) as pool:
        list(pool.map(desks[0].write, map(_refused, range(REFUSALS))))
    took_s = time.perf_counter() - started_s
    cpu_s = time.process_time() - started_cpu_s
    assert desks[0].flush(10)
    for desk in desks:
        desk.stop()
    return RefusalCost(
        threads,
        REFUSALS / took_s,
        REFUSALS / log.appends,
        log.sent_bytes / REFUSALS,
        cpu_s * MICROSECONDS / REFUSALS,
    )


def _records(size: int) -> list[LogRecord]:
    window_ms = KeyWindow().age_ms
    now_ms = int(time.time() * 1000)
    records: list[LogRecord] = []
    for number in range(size):
        time_ms = now_ms - window_ms + 1000 + number * window_ms // size
        claim_id = f"claim-{number:016x}"
        key = _key(time_ms, number)
        body = ClaimBody(key, f"{number:016x}", "entry-1", "i" * 21, "r" * 20)
        answer = CallAnswer(200, (), b"x" * 100, "s1")
        for entry in (
            claim_entry(claim_id, body),
            outcome_entry(claim_id, key, answer),
        ):
            records.append(LogRecord(len(records), *entry, time_ms))
    return records


def _memory_of(records: list[LogRecord]) -> int:
    gc.collect()
    tracemalloc.start()
    fold = ClaimFold(KeyWindow())
    for record in records:
        fold.apply(record)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def _key(time_ms: int, number: int) -> bytes:
    value = uuid.UUID(int=time_ms << 80 | 7 << 76 | 2 << 62 | number)
    key = parse_key(str(value))
    assert key is not None
    return key.value


def _request(number: int) -> ClaimRequest:
    now_ms = int(time.time() * 1000)
    key = parse_key(str(uuid.UUID(bytes=_key(now_ms, number))))
    assert key is not None
    return ClaimRequest(key, "f" * 16, "r" * 20, time.monotonic() + 10)


def _refused(number: int) -> RefusedRequest:
    refusal = Refusal(
        Ending.NOT_RUN,
        Reason.TEAM_LIMIT,
        "The team has too many requests in flight.",
        1.0,
        "team clerks weight 3 max_in_flight 20",
        "asked by: billing desk",
    )
    return RefusedRequest(
        f"req-{number:016x}", "clerks", int(time.time() * 1000), refusal, 9, ""
    )


def _is_ready(claim: Callable[[], None]) -> bool:
    try:
        claim()
    except Exception:
        return False
    return True


def _size(entry: LogEntry) -> int:
    return len(entry.record_id) + len(entry.kind) + len(entry.body)


def _drop(*_: object) -> str:
    raise structlog.DropEvent


def _print(cost: FoldCost | GroupCost | RefusalCost) -> None:
    rounded = {
        name: round(value, 1) if isinstance(value, float) else value
        for name, value in cost._asdict().items()
    }
    body = {"measured": type(cost).__name__, **rounded}
    print(msgspec.json.encode(body).decode())


if __name__ == "__main__":
    main()
