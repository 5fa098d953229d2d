"""Runs the demonstration; exits with 0 if every check passed."""

import collections
import pathlib
import sys
import tempfile
import time

from tests.demo.callers import RequestResult
from tests.demo.scenario import FaultScenario
from tests.harness.plans import AJLOUN, HARMATTAN, Plan


def main() -> int:
    """Runs the demonstration for both deployments; returns the exit code."""
    started_s = time.monotonic()
    results = [run_plan(plan) for plan in (AJLOUN, HARMATTAN)]
    has_passed = all(results)
    took_s = time.monotonic() - started_s
    verdict = (
        "no request was lost, run twice or mixed up" if has_passed else "FAILED"
    )
    print(f"{verdict}; {took_s:.1f} s in all")
    return 0 if has_passed else 1


def run_plan(plan: Plan) -> bool:
    """Runs one deployment and prints the results; returns whether it passed."""
    print(
        f"{plan.name}: {plan.runners} runners, {plan.instances} of "
        f"{plan.service}, {plan.nodes} nodes"
    )
    with tempfile.TemporaryDirectory() as directory:
        scenario = FaultScenario(plan, pathlib.Path(directory))
        results = scenario.run(lambda text: print(text, flush=True))
    print_table(results)
    for failure, count in collections.Counter(scenario.failures).most_common():
        print(f"  FAILURE ({count}): {failure}")
    return not scenario.failures


def print_table(results: list[RequestResult]) -> None:
    """Prints a row for each team and kind of request."""
    rows: dict[tuple[str, str], list[RequestResult]] = collections.defaultdict(
        list
    )
    for item in results:
        rows[item.team, item.kind].append(item)
    print("  team               request  count whole resumed  slowest")
    for (team, kind), items in sorted(rows.items()):
        whole = sum(item.outcome == "whole" for item in items)
        resumed = sum(item.resumes > 0 for item in items)
        slowest_s = max(item.seconds for item in items)
        print(
            f"  {team:18} {kind:8} {len(items):5} {whole:5} {resumed:7} "
            f"{slowest_s:7.2f}s"
        )


if __name__ == "__main__":
    sys.exit(main())
