"""Soak test of servers that leave before their entry names their process."""

import pathlib

import pytest

from tests.soak.leaving_servers import Trouble, run_leaving_servers

pytestmark = pytest.mark.processes
DURATION_S = 5.0
SEED = 1
CALLS_PER_S = 40.0
LEAVING_INTERVAL_S = (0.5, 1.5)
ENTRY_DELAY_S = (2.5, 3.5)


@pytest.mark.parametrize("nodes", [1, 3])
def test_servers_that_said_that_they_leave_get_nothing_after_their_entry(
    nodes: int, tmp_path: pathlib.Path
) -> None:
    trouble = Trouble(
        nodes,
        CALLS_PER_S,
        interval_s=LEAVING_INTERVAL_S,
        entry_delay_s=ENTRY_DELAY_S,
    )
    outcome = run_leaving_servers(SEED, tmp_path, DURATION_S, trouble)
    assert not outcome.late, "\n".join(
        [*map(str, outcome.late), *outcome.faults]
    )
    assert outcome.heard
