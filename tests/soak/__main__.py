"""Command line of the soak test: `python -m tests.soak --seeds 50`."""

import argparse
import concurrent.futures
import pathlib
import random
import sys
import tempfile
from collections import Counter

from tests.harness.plans import HARMATTAN
from tests.soak.scenario import PLAN, SeedResult, run_seed
from tests.soak.version_scenario import run_version_seed

DEFAULT_JOBS = 3
SEED_BITS = 32
# Seeds that are a multiple of LARGE_PLAN_SEED_MULTIPLE run LARGE_PLAN.
LARGE_PLAN = HARMATTAN._replace(nodes=9)
LARGE_PLAN_SEED_MULTIPLE = 10


def main() -> int:
    """Runs the seeds; returns 0 if no guarantee was violated, else 1."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--keep", type=pathlib.Path, default=None)
    parser.add_argument("--versions", action="store_true")
    cfg = parser.parse_args()
    first = cfg.first
    if first is None:
        first = random.SystemRandom().getrandbits(SEED_BITS)
    seeds = range(first, first + cfg.seeds)
    log_directory = cfg.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    with concurrent.futures.ProcessPoolExecutor(cfg.jobs) as pool:
        results = pool.map(
            _run_version_seed if cfg.versions else _run_seed,
            seeds,
            [log_directory] * cfg.seeds,
            [cfg.seconds] * cfg.seeds,
        )
        failed = sum(map(_report, seeds, results))
    print(
        f"{cfg.seeds} seeds, {failed} with violated guarantees;"
        f" logs in {log_directory}"
    )
    return 1 if failed else 0


def _run_seed(
    seed: int, log_directory: pathlib.Path, duration_s: float
) -> SeedResult:
    directory = log_directory / str(seed)
    directory.mkdir(parents=True)
    plan = LARGE_PLAN if seed % LARGE_PLAN_SEED_MULTIPLE == 0 else PLAN
    return run_seed(seed, directory, duration_s, plan)


def _run_version_seed(
    seed: int, log_directory: pathlib.Path, duration_s: float
) -> SeedResult:
    """Runs streams of engines that change their software versions."""
    directory = log_directory / str(seed)
    directory.mkdir(parents=True)
    result = run_version_seed(seed, directory, duration_s)
    counts = Counter(
        {
            "streams": len(result.streams),
            "whole": sum(stream.is_whole for stream in result.streams),
            "take-ups": sum(stream.take_ups for stream in result.streams),
            "gone on": sum(stream.gone_on for stream in result.streams),
        }
    )
    return SeedResult(result.faults, counts, result.violations)


def _report(seed: int, result: SeedResult) -> bool:
    counts = ", ".join(
        f"{n} {kind}" for kind, n in result.result_counts.most_common()
    )
    print(
        f"seed {seed}: {len(result.injected_faults)} faults; {counts}",
        flush=True,
    )
    for violation in result.violations:
        print(f"  VIOLATION: {violation}", flush=True)
    if result.violations:
        for fault in result.injected_faults:
            print(f"    {fault}", flush=True)
    return bool(result.violations)


if __name__ == "__main__":
    sys.exit(main())
