"""Tests of the comparison of two versions."""

import math
import random

import pytest

from savorylift.fleet.rollout_messages import AnswerCell
from savorylift.rollouts.durations import duration_class
from savorylift.rollouts.evidence import FleetEvidence
from savorylift.rollouts.verdict import (
    Opinion,
    Sample,
    find_chance,
    judge,
)

SOUND_S = 0.1
SLICES = 10


def make_cell(
    *,
    is_new: bool,
    succeeded: int,
    failed: int = 0,
    lost: int = 0,
    took_s: float = SOUND_S,
    series: str = "r",
    slice_number: int = 0,
    server_id: str = "i",
    waiting_s: float | None = None,
) -> AnswerCell:
    times = ((duration_class(took_s), succeeded),) if succeeded else ()
    cut = () if waiting_s is None else ((duration_class(waiting_s), 4),)
    return AnswerCell(
        slice_number,
        is_new,
        f"{server_id}-{'new' if is_new else 'old'}",
        series,
        succeeded,
        failed,
        lost,
        times,
        cut,
    )


def old_cells(series: str = "r", per_slice: int = 20) -> list[AnswerCell]:
    return [
        make_cell(
            is_new=False,
            succeeded=per_slice,
            series=series,
            slice_number=number,
        )
        for number in range(SLICES)
    ]


@pytest.mark.parametrize(
    ("new", "old", "chance"),
    [
        (Sample(0, 0), Sample(5, 10), 1.0),
        (Sample(0, 10), Sample(0, 100), 1.0),
        (Sample(0, 10), Sample(9, 100), 1.0),
        (Sample(1, 1), Sample(0, 9), 0.1),
        (Sample(2, 2), Sample(0, 3), 0.1),
        (Sample(3, 7), Sample(0, 70), 35 / math.comb(77, 3)),
    ],
)
def test_chance_is_that_of_fishers_exact_test(
    new: Sample, old: Sample, chance: float
) -> None:
    assert find_chance(new, old) == pytest.approx(chance)


@pytest.mark.parametrize(
    ("cells", "opinion"),
    [
        ([make_cell(is_new=True, succeeded=3)], Opinion.UNKNOWN),
        ([make_cell(is_new=True, succeeded=20)], Opinion.SOUND),
        ([make_cell(is_new=True, succeeded=10, failed=4)], Opinion.BAD),
        ([make_cell(is_new=True, succeeded=6, failed=2)], Opinion.SUSPECT),
        ([make_cell(is_new=True, succeeded=12, took_s=0.5)], Opinion.BAD),
        ([make_cell(is_new=True, succeeded=20, took_s=0.13)], Opinion.SOUND),
        # One server that crashes says nothing of its version; two do.
        ([make_cell(is_new=True, succeeded=20, lost=9)], Opinion.SOUND),
        (
            [
                make_cell(is_new=True, succeeded=9, lost=3, server_id="a"),
                make_cell(is_new=True, succeeded=9, lost=3, server_id="b"),
            ],
            Opinion.BAD,
        ),
        # What is still open counts once it takes too long.
        (
            [make_cell(is_new=True, succeeded=9, waiting_s=0.05)],
            Opinion.SOUND,
        ),
        ([make_cell(is_new=True, succeeded=9, waiting_s=1.0)], Opinion.BAD),
    ],
)
def test_answers_make_an_opinion(
    cells: list[AnswerCell], opinion: Opinion
) -> None:
    evidence = FleetEvidence()
    evidence.merge(1, [*old_cells(), *cells])
    assert judge(evidence).opinion is opinion


def test_versions_that_turn_bad_are_seen_in_the_last_slices() -> None:
    evidence = FleetEvidence()
    cells = [
        make_cell(is_new=True, succeeded=30, slice_number=number)
        for number in range(SLICES - 2)
    ]
    late = make_cell(
        is_new=True, succeeded=4, failed=4, slice_number=SLICES - 1
    )
    evidence.merge(1, [*old_cells(per_slice=30), *cells])
    assert judge(evidence).opinion is Opinion.SOUND
    evidence.merge(1, [late])
    assert judge(evidence).opinion is Opinion.BAD


def test_versions_that_are_bad_on_one_route_are_seen() -> None:
    evidence = FleetEvidence()
    cells = [
        make_cell(is_new=True, succeeded=500, series="busy"),
        make_cell(is_new=True, succeeded=4, failed=4, series="rare"),
    ]
    old = [*old_cells("busy", 200), *old_cells("rare", 10)]
    evidence.merge(1, [*old, *cells])
    judgement = judge(evidence)
    assert judgement.opinion is Opinion.BAD
    assert judgement.finding is not None
    assert judgement.finding.series == "rare"


def test_a_route_without_new_answers_is_not_known_to_be_sound() -> None:
    evidence = FleetEvidence()
    cells = [make_cell(is_new=True, succeeded=50, series="busy")]
    old = [*old_cells("busy"), *old_cells("rare", 10)]
    evidence.merge(1, [*old, *cells])
    assert judge(evidence).opinion is Opinion.UNKNOWN


def test_a_common_trouble_of_both_versions_is_no_verdict() -> None:
    evidence = FleetEvidence()
    evidence.merge(
        1,
        [
            make_cell(is_new=False, succeeded=100, failed=50),
            make_cell(is_new=True, succeeded=16, failed=8),
        ],
    )
    assert judge(evidence).opinion is Opinion.SOUND


def test_cells_replace_earlier_ones_of_the_same_process() -> None:
    evidence = FleetEvidence()
    evidence.merge(1, old_cells())
    for failed in (1, 1, 0):
        evidence.merge(1, [make_cell(is_new=True, succeeded=9, failed=failed)])
    judgement = judge(evidence)
    assert (judgement.new_answers, judgement.opinion) == (9, Opinion.SOUND)


def test_sound_versions_are_rarely_taken_for_bad() -> None:
    rng = random.Random(1)
    opinions = [judge(draw_sound(rng)).opinion for _ in range(300)]
    assert opinions.count(Opinion.BAD) <= 3


def draw_sound(rng: random.Random) -> FleetEvidence:
    """Returns answers of two versions that are alike."""
    evidence = FleetEvidence()
    for number in range(400):
        is_new = rng.random() < 0.1
        cell = make_cell(
            is_new=is_new,
            succeeded=1,
            took_s=rng.lognormvariate(-2.5, 0.5),
            slice_number=number * SLICES // 400,
        )
        if rng.random() < 0.1:
            cell = cell._replace(succeeded=0, failed=1, times=())
        evidence.merge(number, [cell])
    return evidence


def test_late_answers_count_however_many_there_were_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("savorylift.rollouts.evidence.MAX_CELLS", 3 * SLICES)
    found = FleetEvidence()
    for source in range(20):
        found.merge(source, old_cells())
    assert judge(found).old_answers > 0
    late = make_cell(
        is_new=True, succeeded=20, failed=20, slice_number=SLICES + 1
    )
    found.merge(1, [late])
    assert judge(found).opinion is Opinion.BAD


def test_delays_that_no_caller_notices_are_not_slow() -> None:
    found = FleetEvidence()
    quick = [
        make_cell(is_new=False, succeeded=30, took_s=0.002, slice_number=n)
        for n in range(SLICES)
    ]
    late = make_cell(
        is_new=True, succeeded=40, took_s=0.03, slice_number=SLICES
    )
    found.merge(1, [*quick, late])
    assert judge(found).opinion is Opinion.SOUND
