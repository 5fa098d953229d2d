"""Command line of the soak test: `python -m tests.soak --seeds 50`."""

import argparse
import concurrent.futures
import fnmatch
import itertools
import pathlib
import random
import sys
import tempfile
from collections import Counter

from tests.harness.plans import HARMATTAN
from tests.soak.scenario import PLAN, SeedResult, run_seed
from tests.soak.version_scenario import VersionResult, run_version_seed
from tests.soak.version_shapes import SHAPES

DEFAULT_JOBS = 3
SEED_BITS = 32
# Seeds that are a multiple of LARGE_PLAN_SEED_MULTIPLE run LARGE_PLAN.
LARGE_PLAN = HARMATTAN._replace(nodes=9)
LARGE_PLAN_SEED_MULTIPLE = 10
ALL_SHAPES = "all"


def main() -> int:
    """Runs the seeds; returns 0 if no guarantee was violated, else 1."""
    cfg = _parse_arguments()
    first = cfg.first
    if first is None:
        first = random.SystemRandom().getrandbits(SEED_BITS)
    seeds = range(first, first + cfg.seeds)
    log_directory = cfg.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    with concurrent.futures.ProcessPoolExecutor(cfg.jobs) as pool:
        if cfg.versions:
            failed = _run_shapes(pool, cfg, seeds, log_directory)
        else:
            results = pool.map(
                _run_seed,
                seeds,
                itertools.repeat(log_directory),
                itertools.repeat(cfg.seconds),
            )
            failed = sum(map(_report, map(_seed_name, seeds), results))
    print(f"{failed} runs with violated guarantees; logs in {log_directory}")
    return 1 if failed else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--keep", type=pathlib.Path, default=None)
    parser.add_argument("--versions", action="store_true")
    parser.add_argument(
        "--shape",
        default="plain",
        help="with --versions: a name, a pattern such as 'killed*', or all",
    )
    parser.add_argument(
        "--other-source",
        type=pathlib.Path,
        default=None,
        help="source tree of the nodes that run another build",
    )
    parser.add_argument(
        "--other-nodes",
        type=int,
        default=None,
        help="number of these nodes, if not that of the shape",
    )
    cfg = parser.parse_args()
    if not _chosen_shapes(cfg.shape):
        parser.error(f"no such shape; there are {', '.join(SHAPES)}")
    return cfg


def _chosen_shapes(pattern: str) -> list[str]:
    """Returns the names that are meant by the argument."""
    if pattern == ALL_SHAPES:
        return list(SHAPES)
    return fnmatch.filter(SHAPES, pattern)


def _run_shapes(
    pool: concurrent.futures.Executor,
    cfg: argparse.Namespace,
    seeds: range,
    log_directory: pathlib.Path,
) -> int:
    """Runs the seeds of the chosen shapes; returns how many failed."""
    shapes = _chosen_shapes(cfg.shape)
    runs = list(itertools.product(shapes, seeds))
    results = pool.map(
        _run_version_seed,
        *zip(*runs, strict=True),
        itertools.repeat(log_directory),
        itertools.repeat(cfg.seconds),
        itertools.repeat(cfg.other_source),
        itertools.repeat(cfg.other_nodes),
    )
    failed = 0
    totals = {shape: Counter[str]() for shape in shapes}
    for (shape, seed), result in zip(runs, results, strict=True):
        failed += _report(f"{shape} {_seed_name(seed)}", result)
        totals[shape] += result.result_counts
    for shape, counts in totals.items():
        print(f"{shape}: {_text(counts)}")
    return failed


def _run_seed(
    seed: int, log_directory: pathlib.Path, duration_s: float
) -> SeedResult:
    directory = log_directory / str(seed)
    directory.mkdir(parents=True)
    plan = LARGE_PLAN if seed % LARGE_PLAN_SEED_MULTIPLE == 0 else PLAN
    return run_seed(seed, directory, duration_s, plan)


def _run_version_seed(
    shape: str,
    seed: int,
    log_directory: pathlib.Path,
    duration_s: float,
    other_source: pathlib.Path | None,
    other_nodes: int | None,
) -> SeedResult:
    """Runs streams of engines that change their software versions."""
    directory = log_directory / shape / str(seed)
    directory.mkdir(parents=True)
    result = run_version_seed(
        seed, directory, duration_s, SHAPES[shape], other_source, other_nodes
    )
    return SeedResult(
        result.faults,
        _counts(result, SHAPES[shape].events),
        [*map(str, result.violations)],
    )


def _counts(result: VersionResult, events: int) -> Counter[str]:
    kinds = Counter(
        violation.kind.value + (" at another build" if violation.builds else "")
        for violation in result.violations
    )
    outcomes = {f"({name})": n for name, n in result.outcomes.items()}
    return kinds + Counter(
        {
            **outcomes,
            "streams": len(result.streams),
            "begun": sum(bool(stream.versions) for stream in result.streams),
            "whole": sum(stream.is_whole for stream in result.streams),
            "tries to begin": sum(s.begin_tries for s in result.streams),
            "cut off after the last event": sum(
                len(stream.numbers) == events and not stream.is_whole
                for stream in result.streams
            ),
            "take-ups": sum(stream.take_ups for stream in result.streams),
            "gone on": sum(stream.gone_on for stream in result.streams),
            "on kept connections": result.kept,
            "pipelined": result.pipelined,
            "cut by the end of a node": result.events["response_cut"],
            "questions": result.reports,
            "engines over their limit": result.over_limit,
        }
    )


def _seed_name(seed: int) -> str:
    return f"seed {seed}"


def _text(counts: Counter[str]) -> str:
    return ", ".join(f"{n} {kind}" for kind, n in counts.most_common())


def _report(name: str, result: SeedResult) -> bool:
    print(
        f"{name}: {len(result.injected_faults)} faults;"
        f" {_text(result.result_counts)}",
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
