"""Soak test of streams and software versions, with a fixed set of seeds."""

import pathlib

import pytest

from tests.soak.version_scenario import (
    VersionResult,
    go_on_share,
    run_version_seed,
)
from tests.soak.version_shapes import SHAPES

pytestmark = pytest.mark.processes
DURATION_S = 8.0
# The users' bound is that at least half as many streams go on as begin.
MIN_GO_ON_SHARE = 0.5
LIMITED_S = 12.0


def check_versions(result: VersionResult) -> None:
    """Checks that no stream broke a rule; else names the faults."""
    assert not result.violations, "\n".join(
        [*map(str, result.violations), *result.faults]
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_streams_keep_their_version_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    result = run_version_seed(seed, tmp_path, DURATION_S)
    check_versions(result)
    assert any(stream.is_whole for stream in result.streams)


@pytest.mark.parametrize(
    ("shape", "seed"), [("release", 2), ("begins", 1), ("joined", 1)]
)
def test_streams_keep_their_version_in_shapes_that_broke_it(
    shape: str, seed: int, tmp_path: pathlib.Path
) -> None:
    result = run_version_seed(seed, tmp_path, DURATION_S, SHAPES[shape])
    check_versions(result)
    assert any(stream.is_whole for stream in result.streams)


@pytest.mark.parametrize(("shape", "seed"), [("kept", 1)])
def test_streams_on_kept_connections_look_whole_only_with_all_events(
    shape: str, seed: int, tmp_path: pathlib.Path
) -> None:
    result = run_version_seed(seed, tmp_path, DURATION_S, SHAPES[shape])
    check_versions(result)
    assert any(stream.is_whole for stream in result.streams)
    assert result.kept
    assert result.events["response_cut"]


@pytest.mark.parametrize(("shape", "seed"), [("limit-4-freezes", 1)])
def test_streams_go_on_where_servers_name_limits(
    shape: str, seed: int, tmp_path: pathlib.Path
) -> None:
    result = run_version_seed(seed, tmp_path, LIMITED_S, SHAPES[shape])
    check_versions(result)
    assert go_on_share(result.streams) >= MIN_GO_ON_SHARE
    assert result.over_limit == 0
