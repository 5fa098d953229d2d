"""Seeds of the soak that run each time.

Seeds that ever failed stay here, each with a line on the cause.
"""

import pathlib

import pytest

from tests.soak.scene import play

pytestmark = pytest.mark.processes
FOR_S = 6.0


# 102: a SIGHUP during the start ended the process.
@pytest.mark.parametrize("seed", [1, 102])
def test_promises_are_kept(seed: int, tmp_path: pathlib.Path) -> None:
    outcome = play(seed, tmp_path, FOR_S)
    assert not outcome.faults, "\n".join([*outcome.faults, *outcome.troubles])
    assert outcome.got["stream whole"] > 0
