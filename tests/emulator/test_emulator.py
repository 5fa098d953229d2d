"""What callers get of a load, by the policy and by naive ones beside it."""

import json
import pathlib
from collections import Counter

import msgspec
import pytest

from savorylift.emulator.job import Ending
from savorylift.emulator.load_file import Arrivals, Load, Loss, read_load
from savorylift.emulator.policies import LeastOutstanding, Product, RoundRobin
from savorylift.emulator.report import quantile
from savorylift.emulator.world import Played, World
from savorylift.operators.emulate_command import emulate
from savorylift.operators.output import Exit

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
# An engine leaves with notice about every three seconds, as on spot capacity.
LEAVINGS = tuple(Loss(3.0 * n, 1.8, 4.0) for n in range(1, 20))
BUSY = Load(60.0, (DRAFTS, SUMMARIES), losses=LEAVINGS)


def whole(played: Played) -> int:
    """Returns how many generations ended whole and in time."""
    return sum(job.ending is Ending.IN_TIME for job in played.jobs)


def play(
    load: Load, policy: type[Product | RoundRobin | LeastOutstanding]
) -> Played:
    return World(load, policy(load.seed)).play()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("naive", [RoundRobin, LeastOutstanding])
def test_more_generations_are_whole_in_time_than_by_naive_policies(
    seed: int, naive: type[RoundRobin | LeastOutstanding]
) -> None:
    load = msgspec.structs.replace(BUSY, seed=seed)
    assert whole(play(load, Product)) > whole(play(load, naive))


def test_runs_are_moved_off_engines_that_leave() -> None:
    calm = msgspec.structs.replace(DRAFTS, per_s=0.8)
    load = msgspec.structs.replace(BUSY, arrivals=(calm,))
    played = play(load, Product)
    lost = sum(job.ending is Ending.LOST for job in played.jobs)
    moved = sum(job.moves > 0 for job in played.jobs)
    assert moved > 5
    assert lost <= 0.1 * len(played.jobs)


def test_every_generation_has_one_ending() -> None:
    played = play(BUSY, Product)
    assert all(job.ending is not None for job in played.jobs)
    assert len({job.number for job in played.jobs}) == len(played.jobs)


def served(
    calm_per_s: float, weights: tuple[int, int]
) -> tuple[Counter[str], Counter[str]]:
    """Returns how many of each team's generations a full fleet serves.

    The second count is of those asked for.
    """
    arrivals = (
        msgspec.structs.replace(DRAFTS, team="calm", per_s=calm_per_s),
        msgspec.structs.replace(DRAFTS, team="loud", per_s=12.0),
    )
    teams = dict(zip(("calm", "loud"), weights, strict=True))
    played = play(Load(60.0, arrivals, teams=teams), Product)
    whole = (Ending.IN_TIME, Ending.LATE)
    counts = Counter(j.kind.team for j in played.jobs if j.ending in whole)
    return counts, Counter(job.kind.team for job in played.jobs)


def test_team_that_asks_for_its_share_only_gets_it() -> None:
    counts, asked = served(calm_per_s=2.0, weights=(1, 1))
    assert counts["calm"] >= 0.95 * asked["calm"]
    assert counts["loud"] <= 0.5 * asked["loud"]


@pytest.mark.parametrize("weight", [1, 2, 3])
def test_weights_divide_what_a_full_fleet_serves(weight: int) -> None:
    counts, _ = served(calm_per_s=12.0, weights=(weight, 1))
    share = weight / (weight + 1)
    assert counts["calm"] / counts.total() == pytest.approx(share, abs=0.1)


def test_same_seed_plays_alike() -> None:
    first, second = (play(BUSY, Product) for _ in range(2))
    assert [job.ending for job in first.jobs] == [
        job.ending for job in second.jobs
    ]


def test_command_writes_table_and_plots(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    load = tmp_path / "load.json"
    arrivals = [{"name": "draft", "per_s": 1.0, "team": "desk"}]
    load.write_text(json.dumps({"duration_s": 5, "arrivals": arrivals}))
    rules = tmp_path / "rules.txt"
    rules.write_text("team desk weight 3 models * # noor\n")
    out = tmp_path / "report"
    assert emulate(str(load), str(out), str(rules)) is Exit.DONE
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
def test_faulty_load_files_are_named(
    tmp_path: pathlib.Path, text: str, fault: str
) -> None:
    path = tmp_path / "load.json"
    path.write_text(text)
    found = read_load(str(path)).failure()
    assert found.startswith(str(path))
    assert fault in found


def test_quantiles() -> None:
    assert quantile([], 0.5) == 0.0
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert quantile([1.0], 0.95) == 1.0
