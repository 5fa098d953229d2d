"""Checks the numbers in messages and records about roll-outs before their use.

A share that is no number would make each request of the service fail, and a
verdict on huge counts would take up the node.
"""

import math
from collections.abc import Iterable

from savorylift.fleet.rollout_messages import (
    AnswerCell,
    AnswerReport,
    RolloutMessage,
    Stage,
    StageNews,
)

# Far more than a node answers on one route.
MAX_COUNT = 10_000_000


def is_sound(message: RolloutMessage) -> bool:
    """Whether all numbers of a message can be."""
    if isinstance(message, StageNews):
        return all(map(is_sound_stage, message.stages))
    return _is_sound_report(message)


def is_sound_stage(stage: Stage) -> bool:
    """Whether all numbers of a stage can be."""
    times_s = [stage.duration_s, stage.elapsed_s]
    times_s += [mark.ordered_s for mark in stage.clock_marks]
    return (
        all(map(math.isfinite, times_s))
        and stage.elapsed_s >= 0
        and 0 <= stage.share <= 1
        and min(stage.step, stage.epoch) >= 0
    )


def _is_sound_report(report: AnswerReport) -> bool:
    return all(map(_is_sound_cell, report.cells)) and all(
        _are_counts_sound(found.times) for found in report.run_times
    )


def _is_sound_cell(cell: AnswerCell) -> bool:
    counts = (cell.succeeded, cell.failed, cell.lost)
    return (
        cell.slice_number >= 0
        and all(0 <= count <= MAX_COUNT for count in counts)
        and _are_counts_sound(cell.times)
        and _are_counts_sound(cell.cut)
    )


def _are_counts_sound(histogram: Iterable[tuple[int, int]]) -> bool:
    return all(
        number >= 0 and 0 <= count <= MAX_COUNT for number, count in histogram
    )
