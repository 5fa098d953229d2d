"""The report of a played load: tables and plots."""

import csv
import pathlib
from collections import Counter
from collections.abc import Iterable, Sequence

import matplotlib as mpl

mpl.use("svg")  # no display is needed

from matplotlib import pyplot as plt

from savorylift.emulator.job import Ending, Job
from savorylift.emulator.world import Played

SIZE_INCHES = (8.0, 4.5)
COLUMNS = (
    "policy",
    "kind",
    "team",
    "asked",
    *(ending.value for ending in Ending),
    "first token p50 s",
    "first token p95 s",
    "moves",
)


def write_report(played: Sequence[Played], folder: pathlib.Path) -> list[str]:
    """Writes table and plots into a folder; returns the table's lines."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = [row for one in played for row in _rows(one)]
    with (folder / "table.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(COLUMNS)
        writer.writerows(rows)
    _plot_fleet(played, folder / "fleet.svg")
    _plot_first_tokens(played, folder / "first-tokens.svg")
    return _table(rows)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the value that a share of all stay below; 0 for none."""
    if not values:
        return 0.0
    return sorted(values)[min(int(share * len(values)), len(values) - 1)]


def _rows(played: Played) -> Iterable[tuple[object, ...]]:
    kinds = sorted({(job.kind.name, job.kind.team) for job in played.jobs})
    for name, team in kinds:
        jobs = [
            j for j in played.jobs if (j.kind.name, j.kind.team) == (name, team)
        ]
        counts = Counter(job.ending for job in jobs)
        firsts = _first_tokens(jobs)
        yield (
            played.policy,
            name,
            team,
            len(jobs),
            *(counts[ending] for ending in Ending),
            f"{quantile(firsts, 0.5):.2f}",
            f"{quantile(firsts, 0.95):.2f}",
            sum(job.moves for job in jobs),
        )


def _first_tokens(jobs: Iterable[Job]) -> list[float]:
    return [job.first_token_s for job in jobs if job.first_token_s is not None]


def _table(rows: Sequence[tuple[object, ...]]) -> list[str]:
    cells = [COLUMNS, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def _plot_fleet(played: Sequence[Played], path: pathlib.Path) -> None:
    figure, (fill, waiting) = plt.subplots(2, 1, figsize=SIZE_INCHES)
    for one in played:
        times = [sample.at_s for sample in one.samples]
        fill.plot(times, [s.fill for s in one.samples], label=one.policy)
        waiting.plot(times, [s.waiting for s in one.samples], label=one.policy)
    fill.set_ylabel("share of memory")
    fill.legend()
    waiting.set_ylabel("waiting")
    waiting.set_xlabel("seconds")
    figure.savefig(path)
    plt.close(figure)


def _plot_first_tokens(played: Sequence[Played], path: pathlib.Path) -> None:
    figure, axes = plt.subplots(figsize=SIZE_INCHES)
    for one in played:
        firsts = sorted(_first_tokens(one.jobs))
        shares = [(n + 1) / len(firsts) for n in range(len(firsts))]
        axes.plot(firsts, shares, label=one.policy)
    axes.set_xlabel("seconds to the first token")
    axes.set_ylabel("share of generations")
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
