"""A healthy world breaks no promise."""

import time

import pytest

from tests.faults import oracle
from tests.faults.load import WHOLE
from tests.faults.world import World

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]
LOAD_S = 3.0


def test_healthy_load(world: World) -> None:
    since = oracle.mark(world)
    load = world.load(seed=1)
    load.start()
    time.sleep(LOAD_S)
    got = load.stop()
    assert oracle.violations(world, since, got) == []
    assert len(got) > 20
    assert [item for item in got if item.outcome != WHOLE] == []
    world.is_broken = False
