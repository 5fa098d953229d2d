"""Soak test of engines that are processes and get SIGKILL."""

import pathlib

import pytest

from tests.soak.killed_engines import Trouble, run_killed_engines

pytestmark = pytest.mark.processes
DURATION_S = 15.0
SEED = 2


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble(),
        Trouble(limit="4", stops_node=True),
        Trouble(limit="4", stops_node=True, path="/resumable/x"),
    ],
    ids=["plain", "limited", "limited-resumable"],
)
def test_streams_of_killed_engines_look_complete_only_with_all_events(
    trouble: Trouble, tmp_path: pathlib.Path
) -> None:
    outcome = run_killed_engines(SEED, tmp_path, DURATION_S, trouble)
    assert not outcome.early, "\n".join([*outcome.early, *outcome.deaths])
    assert outcome.whole
    assert outcome.deaths
