"""Compares simulated results of the placement policy with baselines."""

import json
import pathlib
from collections import Counter

import msgspec
import pytest

from savorylift.emulator.job import Outcome
from savorylift.emulator.load_file import (
    Arrivals,
    Loss,
    Workload,
    read_workload,
)
from savorylift.emulator.policies import (
    LeastOutstanding,
    RoundRobin,
    SavoryliftPolicy,
)
from savorylift.emulator.report import quantile
from savorylift.emulator.simulation import Simulation, SimulationResult
from savorylift.operators.emulate_command import emulate
from savorylift.operators.output import ExitCode

DRAFTS = Arrivals("draft", per_s=2.0, team="desk", output_tokens=(400, 1400))
SUMMARIES = Arrivals(
    "summary",
    per_s=3.0,
    team="desk",
    prompt_tokens=2500,
    output_tokens=(8, 20),
    objective_s=1.5,
    priority=0,
)
# Every three seconds an engine gets a notice and is lost, as on spot capacity.
LOSSES = tuple(Loss(3.0 * n, 1.8, 4.0) for n in range(1, 20))
BUSY_WORKLOAD = Workload(60.0, (DRAFTS, SUMMARIES), losses=LOSSES)


def count_in_time(result: SimulationResult) -> int:
    """Returns how many generations completed and began in time."""
    return sum(job.outcome is Outcome.IN_TIME for job in result.jobs)


def simulate(
    workload: Workload,
    policy: type[SavoryliftPolicy | RoundRobin | LeastOutstanding],
) -> SimulationResult:
    return Simulation(workload, policy(workload.seed)).run()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("baseline", [RoundRobin, LeastOutstanding])
def test_more_generations_are_in_time_than_under_baselines(
    seed: int, baseline: type[RoundRobin | LeastOutstanding]
) -> None:
    workload = msgspec.structs.replace(BUSY_WORKLOAD, seed=seed)
    assert count_in_time(simulate(workload, SavoryliftPolicy)) > count_in_time(
        simulate(workload, baseline)
    )


def test_generations_are_moved_off_engines_that_are_lost() -> None:
    low_rate = msgspec.structs.replace(DRAFTS, per_s=0.8)
    workload = msgspec.structs.replace(BUSY_WORKLOAD, arrivals=(low_rate,))
    result = simulate(workload, SavoryliftPolicy)
    lost = sum(job.outcome is Outcome.LOST for job in result.jobs)
    moved = sum(job.moves > 0 for job in result.jobs)
    assert moved > 5
    assert lost <= 0.1 * len(result.jobs)


def test_every_generation_has_one_outcome() -> None:
    result = simulate(BUSY_WORKLOAD, SavoryliftPolicy)
    assert all(job.outcome is not None for job in result.jobs)
    assert len({job.number for job in result.jobs}) == len(result.jobs)


def count_by_team(
    calm_per_s: float, weights: tuple[int, int]
) -> tuple[Counter[str], Counter[str]]:
    """Returns how many generations of each team completed, and arrived.

    The fleet is full: the team `loud` sends far more than its share.
    """
    arrivals = (
        msgspec.structs.replace(DRAFTS, team="calm", per_s=calm_per_s),
        msgspec.structs.replace(DRAFTS, team="loud", per_s=12.0),
    )
    teams = dict(zip(("calm", "loud"), weights, strict=True))
    result = simulate(Workload(60.0, arrivals, teams=teams), SavoryliftPolicy)
    outcomes = (Outcome.IN_TIME, Outcome.LATE)
    completed = Counter(
        job.kind.team for job in result.jobs if job.outcome in outcomes
    )
    return completed, Counter(job.kind.team for job in result.jobs)


def test_team_within_its_share_is_not_crowded_out() -> None:
    completed, arrived = count_by_team(calm_per_s=2.0, weights=(1, 1))
    assert completed["calm"] >= 0.95 * arrived["calm"]
    assert completed["loud"] <= 0.5 * arrived["loud"]


@pytest.mark.parametrize("weight", [1, 2, 3])
def test_full_fleet_serves_teams_by_weight(weight: int) -> None:
    completed, _ = count_by_team(calm_per_s=12.0, weights=(weight, 1))
    share = weight / (weight + 1)
    assert completed["calm"] / completed.total() == pytest.approx(
        share, abs=0.1
    )


def test_same_seed_gives_the_same_outcomes() -> None:
    first, second = (
        simulate(BUSY_WORKLOAD, SavoryliftPolicy) for _ in range(2)
    )
    assert [job.outcome for job in first.jobs] == [
        job.outcome for job in second.jobs
    ]


def test_emulate_command_writes_table_and_plots(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    load_path = tmp_path / "load.json"
    arrivals = [{"name": "draft", "per_s": 1.0, "team": "desk"}]
    load_path.write_text(json.dumps({"duration_s": 5, "arrivals": arrivals}))
    rules = tmp_path / "rules.txt"
    rules.write_text("team desk weight 3 models * # noor\n")
    out = tmp_path / "report"
    assert emulate(str(load_path), str(out), str(rules)) is ExitCode.DONE
    names = {path.name for path in out.iterdir()}
    assert names == {"table.csv", "fleet.svg", "first-tokens.svg"}
    assert "savorylift" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("{", "input data was truncated"),
        ('{"duration_s": 0, "arrivals": []}', "expected `float` > 0.0"),
        ('{"duration_s": 1, "arrivals": [], "x": 1}', "unknown field `x`"),
    ],
)
def test_error_of_an_invalid_load_file_names_file_and_fault(
    tmp_path: pathlib.Path, text: str, fault: str
) -> None:
    path = tmp_path / "load.json"
    path.write_text(text)
    message = read_workload(str(path)).failure()
    assert message.startswith(str(path))
    assert fault in message


def test_quantile_of_few_values() -> None:
    assert quantile([], 0.5) == 0.0
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert quantile([1.0], 0.95) == 1.0
