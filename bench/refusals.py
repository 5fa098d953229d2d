"""Cost of refusals; run as `python -m bench.refusals`."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.calls.desks import FakeNet, roster_of
from tests.log_service.fakes import FakeLog

from bench.counting_log import (
    MICROSECONDS,
    CountingLog,
    print_cost,
    silence_logs,
)
from savorylift.identity import NodeRef
from savorylift.log_service.log import REFUSALS_STREAM
from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.peers.view import RosterSource
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.desk import RefusalDesk
from savorylift.refusals.messages import Batch, Row, batch_entry
from savorylift.refusals.query import Period, report

REFUSALS = 2_000
REFUSAL_THREADS = (1, 16)
REPORT_SIZES = (5_000, 10_000, 20_000, 40_000)
BATCH_ROWS = 500


class RefusalCost(NamedTuple):
    """Cost of refusals that wait for their copies."""

    threads: int
    refusals_per_s: float
    refusals_per_append: float
    bytes_per_refusal: float
    processor_us_per_refusal: float


class ReportCost(NamedTuple):
    """Cost of a report on refusals that are not rolled up."""

    refusals: int
    microseconds_per_refusal: float


def main() -> None:
    """Measures and prints everything."""
    silence_logs()
    for threads in REFUSAL_THREADS:
        print_cost(measure_refusals(threads))
    for size in REPORT_SIZES:
        print_cost(measure_report(size))


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


def measure_report(size: int) -> ReportCost:
    """Reports on a log with `size` refusals."""
    log = FakeLog()
    now_ms = int(time.time() * 1000)
    for start in range(0, size, BATCH_ROWS):
        rows = tuple(
            _row(number, now_ms) for number in range(start, start + BATCH_ROWS)
        )
        batch = Batch("entry-1", "i1", rows)
        log.append(REFUSALS_STREAM, (batch_entry(f"b{start}", batch),))
    started_s = time.perf_counter()
    found = report(log, Period(0, now_ms + 1)).unwrap()
    took_s = time.perf_counter() - started_s
    assert found.total == size
    return ReportCost(size, took_s * MICROSECONDS / size)


def _row(number: int, time_ms: int) -> Row:
    refused = _refused(number)
    refusal = refused.refusal
    return Row(
        number,
        refused.request_id,
        f"team-{number % 100}",
        time_ms,
        refusal.ending,
        refusal.reason,
        refusal.message,
        refusal.rule,
        refusal.asked_by,
        refused.rules_offset,
        refused.backend_server,
    )


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


if __name__ == "__main__":
    main()
