"""Soak test of engines that are processes and end while they answer.

What the end of a process cuts off is closed in order by the kernel.
"""

import pathlib

import pytest

from tests.soak.version_scenario import run_version_seed
from tests.soak.version_shapes import SHAPES

pytestmark = pytest.mark.processes
DURATION_S = 15.0
SEED = 2
# Of the shapes that take many ends to fail.
SHORT_S = 8.0


@pytest.mark.parametrize(
    "shape",
    ["killed", "killed-stop-limit-4", "killed-stop-limit-4-resumable"],
    ids=["plain", "limited", "limited-resumable"],
)
def test_streams_of_killed_engines_look_complete_only_with_all_events(
    shape: str, tmp_path: pathlib.Path
) -> None:
    _check(shape, tmp_path, DURATION_S)


@pytest.mark.parametrize("shape", ["killed-versions", "killed-slow"])
def test_streams_of_killed_engines_hold_events_of_one_process(
    shape: str, tmp_path: pathlib.Path
) -> None:
    _check(shape, tmp_path, SHORT_S)


def test_plain_answers_of_killed_engines_look_complete_only_with_all_parts(
    tmp_path: pathlib.Path,
) -> None:
    _check("killed-plain", tmp_path, SHORT_S)


def _check(shape: str, directory: pathlib.Path, duration_s: float) -> None:
    result = run_version_seed(SEED, directory, duration_s, SHAPES[shape])
    assert not result.violations, "\n".join(
        [*map(str, result.violations), *result.faults]
    )
    assert any(stream.is_whole for stream in result.streams)
    assert result.faults
