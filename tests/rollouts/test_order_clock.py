"""Tests of the time since an order, across starts of all nodes."""

import pytest

from savorylift.fleet.rollout_messages import ClockMark
from savorylift.rollouts.order_clock import (
    MAX_MARKS,
    BootTime,
    with_mark,
    with_time_passed,
)
from tests.rollouts.test_version_rules import STAGE

READ = STAGE._replace(elapsed_s=3.0)


def test_a_node_that_wrote_knows_the_time_after_it_started_again() -> None:
    written = with_mark(READ, BootTime("a", 100.0))
    read = with_time_passed(written, BootTime("a", 107.5))
    assert read.elapsed_s == pytest.approx(10.5)


@pytest.mark.parametrize(
    "boot",
    [
        None,
        # Another node, or another boot of the VM.
        BootTime("b", 500.0),
        # A clock that has gone back.
        BootTime("a", 50.0),
    ],
)
def test_the_time_goes_on_from_the_writing_otherwise(
    boot: BootTime | None,
) -> None:
    written = with_mark(READ, BootTime("a", 100.0))
    assert with_time_passed(written, boot).elapsed_s == READ.elapsed_s


def test_nodes_that_wrote_in_between_leave_the_marks_of_others() -> None:
    first = with_mark(READ, BootTime("a", 100.0))
    # It knows less of the time that has passed.
    later = with_mark(first, BootTime("b", 8.0))
    assert later.clock_marks == (ClockMark("b", 5.0), ClockMark("a", 97.0))
    read = with_time_passed(later, BootTime("a", 110.0))
    assert read.elapsed_s == pytest.approx(13.0)


def test_a_stage_holds_few_marks() -> None:
    stage = READ
    for number in range(2 * MAX_MARKS):
        stage = with_mark(stage, BootTime(f"h{number % 6}", 100.0))
    hosts = [mark.host for mark in stage.clock_marks]
    assert hosts == ["h1", "h0", "h5", "h4"]


def test_a_node_writes_one_mark() -> None:
    stage = READ
    for now_s in (100.0, 101.0):
        stage = with_mark(stage, BootTime("a", now_s))
    assert stage.clock_marks == (ClockMark("a", 98.0),)


def test_a_vm_without_a_boot_id_leaves_no_mark() -> None:
    assert with_mark(READ, None) == READ
