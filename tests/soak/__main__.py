"""Runs seeds of the soak by hand: `python -m tests.soak --seeds 50`."""

import argparse
import concurrent.futures
import pathlib
import random
import sys
import tempfile

from tests.harness.plans import HARMATTAN
from tests.soak.scene import PLAN, Outcome, play

JOBS = 3
SEED_BITS = 32
# Some seeds play a larger deployment.
LARGE = HARMATTAN._replace(nodes=9)
LARGE_EVERY = 10


def main() -> int:
    """Plays seeds; returns 0 if every promise was kept."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--keep", type=pathlib.Path, default=None)
    cfg = parser.parse_args()
    first = cfg.first
    if first is None:
        first = random.SystemRandom().getrandbits(SEED_BITS)
    seeds = range(first, first + cfg.seeds)
    kept = cfg.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    with concurrent.futures.ProcessPoolExecutor(cfg.jobs) as pool:
        outcomes = pool.map(
            _play, seeds, [kept] * cfg.seeds, [cfg.seconds] * cfg.seeds
        )
        failed = sum(map(_report, seeds, outcomes))
    print(f"{cfg.seeds} seeds, {failed} with a broken promise; logs in {kept}")
    return 1 if failed else 0


def _play(seed: int, kept: pathlib.Path, for_s: float) -> Outcome:
    directory = kept / str(seed)
    directory.mkdir(parents=True)
    plan = LARGE if seed % LARGE_EVERY == 0 else PLAN
    return play(seed, directory, for_s, plan)


def _report(seed: int, outcome: Outcome) -> bool:
    counts = ", ".join(f"{n} {kind}" for kind, n in outcome.got.most_common())
    print(f"seed {seed}: {len(outcome.troubles)} faults; {counts}", flush=True)
    for fault in outcome.faults:
        print(f"  BROKEN: {fault}", flush=True)
    if outcome.faults:
        for trouble in outcome.troubles:
            print(f"    {trouble}", flush=True)
    return bool(outcome.faults)


if __name__ == "__main__":
    sys.exit(main())
