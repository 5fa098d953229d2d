"""Tests of the numbers in messages and records about roll-outs."""

import asyncio
import math
from typing import Any

import pytest

from savorylift.fleet.record_codec import encode_record
from savorylift.fleet.rollout_messages import (
    AnswerCell,
    AnswerReport,
    ClockMark,
    RunTimes,
    StageNews,
)
from savorylift.platform.store import ROLLOUTS_TOPIC
from savorylift.platform.store_record import Record
from savorylift.rollouts.message_check import MAX_COUNT, is_sound
from tests.rollouts.memory_store import MemoryStore, MemoryStoreClient
from tests.rollouts.test_recorder import make_recorder
from tests.rollouts.test_version_rules import STAGE

CELL = AnswerCell(0, True, "", "r", 1, 0, 0, ((3, 1),), ((4, 1),))
REPORT = AnswerReport("o", "s", 7, (CELL,), (RunTimes("r", ((3, 1),)),))
UNSOUND_STAGES: list[dict[str, Any]] = [
    {"share": math.nan},
    {"share": 1.5},
    {"elapsed_s": math.inf},
    {"elapsed_s": -1.0},
    {"duration_s": math.nan},
    {"step": -1},
    {"clock_marks": (ClockMark("h", -math.inf),)},
]


def test_usual_messages_are_sound() -> None:
    mark = ClockMark("h", -5.0)
    assert is_sound(StageNews((STAGE, STAGE._replace(clock_marks=(mark,)))))
    assert is_sound(REPORT)


@pytest.mark.parametrize("change", UNSOUND_STAGES)
def test_stage_with_a_number_that_cannot_be_is_unsound(
    change: dict[str, Any],
) -> None:
    assert not is_sound(StageNews((STAGE, STAGE._replace(**change))))


@pytest.mark.parametrize(
    "change",
    [
        {"slice_number": -1},
        {"failed": -1},
        {"lost": MAX_COUNT + 1},
        {"times": ((3, -1),)},
        {"cut": ((-3, 1),)},
    ],
)
def test_report_with_a_number_that_cannot_be_is_unsound(
    change: dict[str, Any],
) -> None:
    assert not is_sound(REPORT._replace(cells=(CELL, CELL._replace(**change))))


def test_run_times_with_a_number_that_cannot_be_are_unsound() -> None:
    times = (RunTimes("r", ((3, MAX_COUNT + 1),)),)
    assert not is_sound(REPORT._replace(run_times=times))


@pytest.mark.parametrize("change", UNSOUND_STAGES)
def test_record_with_a_number_that_cannot_be_counts_as_missing(
    change: dict[str, Any],
) -> None:
    """With a share that was no number, each request of the service failed."""

    async def scenario() -> None:
        store = MemoryStore()
        value = encode_record(STAGE._replace(**change))
        await MemoryStoreClient(store).append(
            ROLLOUTS_TOPIC, [Record(STAGE.service, value)]
        )
        recorder = make_recorder(store)
        assert await recorder.load()
        assert recorder.find(STAGE.service) is None

    asyncio.run(scenario())
