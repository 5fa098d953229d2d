"""Runs the demonstration; ends with 0 if nothing was lost or doubled."""

import collections
import pathlib
import sys
import tempfile
import time

from tests.demo.callers import Got
from tests.demo.scene import Scene
from tests.harness.plans import AJLOUN, HARMATTAN, Plan


def main() -> int:
    """Shows both deployments and returns the exit code."""
    began_s = time.monotonic()
    results = [show(plan) for plan in (AJLOUN, HARMATTAN)]
    is_good = all(results)
    took_s = time.monotonic() - began_s
    verdict = "nothing was lost, doubled or mixed" if is_good else "FAILED"
    print(f"{verdict}; {took_s:.1f} s in all")
    return 0 if is_good else 1


def show(plan: Plan) -> bool:
    """Runs one deployment and prints what its callers got."""
    print(
        f"{plan.name}: {plan.runners} runners, {plan.instances} of "
        f"{plan.service}, {plan.nodes} nodes"
    )
    with tempfile.TemporaryDirectory() as directory:
        scene = Scene(plan, pathlib.Path(directory))
        got = scene.run(lambda text: print(text, flush=True))
    print_table(got)
    for fault, count in collections.Counter(scene.faults).most_common():
        print(f"  FAULT ({count}): {fault}")
    return not scene.faults


def print_table(got: list[Got]) -> None:
    """Prints a line for each team and kind of request."""
    rows: dict[tuple[str, str], list[Got]] = collections.defaultdict(list)
    for item in got:
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
