"""The report of simulated policies: a table and plots."""

import csv
import pathlib
from collections import Counter
from collections.abc import Iterable, Sequence

import matplotlib as mpl

mpl.use("svg")  # Needs no display.

from matplotlib import pyplot as plt

from savorylift.emulator.job import Job, Outcome
from savorylift.emulator.simulation import SimulationResult

PLOT_SIZE_INCHES = (8.0, 4.5)
COLUMNS = (
    "policy",
    "kind",
    "team",
    "asked",
    *(outcome.value for outcome in Outcome),
    "first token p50 s",
    "first token p95 s",
    "moves",
)


def write_report(
    results: Sequence[SimulationResult], folder: pathlib.Path
) -> list[str]:
    """Writes the table and plots to a folder; returns the table's lines."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = [row for result in results for row in _rows(result)]
    with (folder / "table.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(COLUMNS)
        writer.writerows(rows)
    _plot_fleet(results, folder / "fleet.svg")
    _plot_first_tokens(results, folder / "first-tokens.svg")
    return _format_table(rows)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the quantile of `values` at `share`; 0 if there are none."""
    if not values:
        return 0.0
    return sorted(values)[min(int(share * len(values)), len(values) - 1)]


def _rows(result: SimulationResult) -> Iterable[tuple[object, ...]]:
    kinds = sorted({(job.kind.name, job.kind.team) for job in result.jobs})
    for name, team in kinds:
        jobs = [
            j for j in result.jobs if (j.kind.name, j.kind.team) == (name, team)
        ]
        counts = Counter(job.outcome for job in jobs)
        times_s = _times_to_first_token(jobs)
        yield (
            result.policy,
            name,
            team,
            len(jobs),
            *(counts[outcome] for outcome in Outcome),
            f"{quantile(times_s, 0.5):.2f}",
            f"{quantile(times_s, 0.95):.2f}",
            sum(job.moves for job in jobs),
        )


def _times_to_first_token(jobs: Iterable[Job]) -> list[float]:
    return [
        job.time_to_first_token_s
        for job in jobs
        if job.time_to_first_token_s is not None
    ]


def _format_table(rows: Sequence[tuple[object, ...]]) -> list[str]:
    cells = [COLUMNS, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def _plot_fleet(
    results: Sequence[SimulationResult], path: pathlib.Path
) -> None:
    figure, (fill, waiting) = plt.subplots(2, 1, figsize=PLOT_SIZE_INCHES)
    for result in results:
        times = [sample.at_s for sample in result.samples]
        fill.plot(times, [s.fill for s in result.samples], label=result.policy)
        waiting.plot(
            times, [s.waiting for s in result.samples], label=result.policy
        )
    fill.set_ylabel("share of memory")
    fill.legend()
    waiting.set_ylabel("waiting")
    waiting.set_xlabel("seconds")
    figure.savefig(path)
    plt.close(figure)


def _plot_first_tokens(
    results: Sequence[SimulationResult], path: pathlib.Path
) -> None:
    figure, axes = plt.subplots(figsize=PLOT_SIZE_INCHES)
    for result in results:
        times_s = sorted(_times_to_first_token(result.jobs))
        shares = [(n + 1) / len(times_s) for n in range(len(times_s))]
        axes.plot(times_s, shares, label=result.policy)
    axes.set_xlabel("seconds to the first token")
    axes.set_ylabel("share of generations")
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
