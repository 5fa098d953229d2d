"""Measures the placement policy against others; see docs/POLICY.md."""

import argparse
import multiprocessing
import sys
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bench.policy_load import BACK_S, DEPLOYMENTS, OUT_S, RUN_S, WARM_UP_S
from bench.policy_world import Measured, Scenario, World

SEEDS = tuple(range(1, 11))
LOADS = (0.5, 0.75, 1.0, 1.25, 1.5)
DOMAIN_LOAD = 0.8
OWN, RIVAL, IDEAL = "memory", "least-outstanding", "all-knowing"
POLICIES = ("round-robin", RIVAL, IDEAL, OWN)
PROCESSES = 4


class Summary(NamedTuple):
    """All seeds of one scenario; times in seconds, rates a second."""

    offered: float
    goodput: float
    good_tokens: float
    preemptions: int
    stall_s: float
    gap_p99_s: float
    first_token_p95_s: float
    cold_overruns: int


class Check(NamedTuple):
    """One target and what was measured."""

    text: str
    measured: float
    bound: float
    is_met: bool


def main() -> None:
    """Runs every scenario, then prints the table and the targets."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--loads", type=float, nargs="+", default=LOADS)
    args = parser.parse_args()
    started_s = time.monotonic()
    results = _run_all(_scenarios(args.loads), args.seeds)
    print(f"seeds {' '.join(map(str, args.seeds))}")
    for name in DEPLOYMENTS:
        _print_table(name, results)
        for check in _checks(name, args.loads, results):
            verdict = "pass" if check.is_met else "FALLS SHORT"
            print(
                f"{verdict:11} {check.text}: {check.measured:.4g}"
                f" (bound {check.bound:.4g})"
            )
    took_s = time.monotonic() - started_s
    print(f"took {took_s:.0f} s", file=sys.stderr)


def _scenarios(loads: Iterable[float]) -> list[Scenario]:
    found = []
    for name in DEPLOYMENTS:
        for load in loads:
            found += [Scenario(name, policy, load) for policy in POLICIES]
        found += [
            Scenario(name, RIVAL, DOMAIN_LOAD, "change"),
            Scenario(name, OWN, DOMAIN_LOAD, "change"),
            Scenario(name, OWN, DOMAIN_LOAD, "always"),
        ]
    return found


def _run_all(
    scenarios: list[Scenario], seeds: Iterable[int]
) -> Mapping[Scenario, list[Measured]]:
    jobs = [(scenario, seed) for scenario in scenarios for seed in seeds]
    with multiprocessing.Pool(PROCESSES) as pool:
        runs = pool.starmap(_run, jobs, chunksize=1)
    results: dict[Scenario, list[Measured]] = {}
    for (scenario, _), measured in zip(jobs, runs, strict=True):
        results.setdefault(scenario, []).append(measured)
    return results


def _run(scenario: Scenario, seed: int) -> Measured:
    return World(scenario, seed).run()


def _summary(
    runs: list[Measured],
    from_s: float = WARM_UP_S,
    to_s: float = RUN_S,
    phases: tuple[str, ...] = ("before", "out", "back"),
) -> Summary:
    """Returns the figures of requests that arrived in a window."""
    outcomes = [
        outcome
        for run in runs
        for outcome in run.outcomes
        if from_s <= outcome.at_s < to_s
    ]
    span_s = (to_s - from_s) * len(runs)
    good = [outcome for outcome in outcomes if outcome.is_good]
    gaps: Counter[float] = Counter()
    for run in runs:
        for phase in phases:
            gaps.update(run.gaps.get(phase, {}))
    starts = Counter(
        round(outcome.first_token_s, 3)
        for outcome in outcomes
        if outcome.first_token_s < RUN_S
    )
    return Summary(
        len(outcomes) / span_s,
        len(good) / span_s,
        sum(outcome.length for outcome in good) / span_s,
        sum(run.preemptions for run in runs),
        sum(outcome.stalled_s for outcome in outcomes),
        _quantile(gaps, 0.99),
        _quantile(starts, 0.95),
        sum(run.cold_overruns for run in runs),
    )


def _quantile(weights: Counter[float], level: float) -> float:
    wanted, reached = level * sum(weights.values()), 0.0
    for value in sorted(weights):
        reached += weights[value]
        if reached >= wanted:
            return value
    return 0.0


def _print_table(name: str, results: Mapping[Scenario, list[Measured]]) -> None:
    print(
        f"\n{name:10} {'policy':18}load  offered/s  good/s  tokens/s"
        "  preempted  stall s  gap p99 ms  first p95 s  overruns"
    )
    for scenario, runs in results.items():
        if scenario.deployment == name:
            s = _summary(runs)
            print(
                f"{scenario.domain_out:10} {scenario.policy:18}"
                f"{scenario.load:4.2f} {s.offered:10.2f} {s.goodput:7.2f}"
                f" {s.good_tokens:9.0f} {s.preemptions:10}"
                f" {s.stall_s:8.1f} {1000 * s.gap_p99_s:11.1f}"
                f" {s.first_token_p95_s:12.2f} {s.cold_overruns:9}"
            )


def _checks(
    name: str,
    loads: Iterable[float],
    results: Mapping[Scenario, list[Measured]],
) -> list[Check]:
    found = []
    own: dict[float, Summary] = {}
    for load in loads:
        own[load], rival, ideal = (
            _summary(results[Scenario(name, policy, load)])
            for policy in (OWN, RIVAL, IDEAL)
        )
        found += _load_checks(load, own[load], rival, ideal)
    if 1.0 in own and 1.5 in own:
        found.append(
            _at_least(
                "goodput at load 1.5 to that at 1.0",
                own[1.5].goodput / own[1.0].goodput,
                0.95,
            )
        )
    return found + _domain_checks(name, results)


def _load_checks(
    load: float, own: Summary, rival: Summary, ideal: Summary
) -> list[Check]:
    at = f"load {load}:"
    return [
        _at_most(
            f"{at} preemptions to a tenth of {RIVAL}",
            own.preemptions,
            0.1 * rival.preemptions,
        ),
        _at_least(f"{at} goodput to {RIVAL}", own.goodput, rival.goodput),
        _at_most(
            f"{at} p99 between tokens to 1.15 of {IDEAL}",
            own.gap_p99_s,
            1.15 * ideal.gap_p99_s,
        ),
        _at_most(
            f"{at} stall time to half of {RIVAL}",
            own.stall_s,
            0.5 * rival.stall_s,
        ),
    ]


def _domain_checks(
    name: str, results: Mapping[Scenario, list[Measured]]
) -> list[Check]:
    runs = results[Scenario(name, OWN, DOMAIN_LOAD, "change")]
    rest = results[Scenario(name, OWN, DOMAIN_LOAD, "always")]
    while_out = _summary(runs, OUT_S, BACK_S)
    remaining = _summary(rest, OUT_S, BACK_S)
    before = _summary(runs, WARM_UP_S, OUT_S, ("before",))
    back = _summary(runs, BACK_S, RUN_S, ("back",))
    return [
        _at_least(
            "goodput while a domain is out to that of what remains",
            while_out.goodput / remaining.goodput,
            0.95,
        ),
        _at_most("cold overruns", while_out.cold_overruns, 0),
        _at_most(
            "p99 between tokens after the return to 1.15 of that before",
            back.gap_p99_s,
            1.15 * before.gap_p99_s,
        ),
    ]


def _at_most(text: str, measured: float, bound: float) -> Check:
    return Check(text, measured, bound, measured <= bound)


def _at_least(text: str, measured: float, bound: float) -> Check:
    return Check(text, measured, bound, measured >= bound)


if __name__ == "__main__":
    main()
