"""Cost of claims, then of refusals; run as `python -m bench.calls`.

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

from tests.calls.desks import running_desks

from bench import refusals
from bench.counting_log import (
    MICROSECONDS,
    CountingLog,
    print_cost,
    silence_logs,
)
from savorylift.calls.claim_fold import ClaimFold
from savorylift.calls.claims import ClaimRequest
from savorylift.calls.key import KeyWindow, parse_key
from savorylift.calls.messages import (
    ClaimBody,
    claim_entry,
    outcome_entry,
)
from savorylift.calls.request import CallAnswer
from savorylift.log_service.log import LogRecord

CLAIMS = 4_000
CLAIM_LOADS = ((1, 1), (8, 1), (64, 1), (64, 9))  # threads and nodes
FOLD_SIZES = (10_000, 20_000, 40_000, 80_000)


class FoldCost(NamedTuple):
    """Cost of remembering claims with their outcomes."""

    keys: int
    microseconds_per_claim: float
    bytes_per_key: float
    record_bytes_per_claim: float


class GroupCost(NamedTuple):
    """Cost of claims that wait for their verdict, with outcomes."""

    threads: int
    nodes: int
    claims_per_s: float
    claims_per_append: float
    bytes_per_claim: float


def main() -> None:
    """Measures and prints everything."""
    silence_logs()
    for size in FOLD_SIZES:
        print_cost(measure_fold(size))
    for threads, nodes in CLAIM_LOADS:
        print_cost(measure_claims(threads, nodes))
    refusals.main()


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


def measure_claims(threads: int, nodes: int) -> GroupCost:
    """Claims keys from several threads, spread over nodes."""
    log = CountingLog()
    with running_desks(log, nodes) as desks:
        answer = CallAnswer(200, (), b"x" * 100, "s1")

        def claim(number: int) -> None:
            desk = desks[number % nodes]
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
        assert all(desk.flush(10) for desk in desks)
    return GroupCost(
        threads,
        nodes,
        count / took_s,
        count / log.appends,
        log.sent_bytes / count,
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


def _is_ready(claim: Callable[[], None]) -> bool:
    try:
        claim()
    except Exception:
        return False
    return True


if __name__ == "__main__":
    main()
