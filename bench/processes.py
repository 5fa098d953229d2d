"""Processor time and memory of processes that a measurement started."""

import os
import pathlib
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """Resources of one process.

    Attributes:
        cpu_s: Processor time used so far.
        resident_bytes: Memory resident now.
    """

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Returns what a process uses."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which `share` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    product = sum((x - mean_x) * (y - mean_y) for x, y in points)
    rate = product / spread
    return rate, mean_y - rate * mean_x
