"""Tests of which stage replaces which."""

import pytest

from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts.order import RolloutOrder
from savorylift.rollouts.stage import begin, replaces
from tests.rollouts.test_version_rules import STAGE

SHIFT = STAGE._replace(phase=RolloutPhase.SHIFT, step=4, share=1.0)
COMPLETED = STAGE._replace(phase=RolloutPhase.COMPLETED, step=5)
BACK = STAGE._replace(phase=RolloutPhase.ROLLED_BACK, step=5)
TOLD_BACK = BACK._replace(is_recorded=False)
OTHER = STAGE._replace(order_id="o2")


@pytest.mark.parametrize(
    ("found", "known", "expected"),
    [
        (STAGE, None, True),
        (STAGE, STAGE, False),
        (SHIFT, STAGE, True),
        (STAGE, SHIFT, False),
        (STAGE._replace(epoch=2), SHIFT, True),
        (SHIFT, STAGE._replace(epoch=2), False),
        # A roll-back needs neither the store nor an epoch.
        (TOLD_BACK, SHIFT._replace(epoch=9), True),
        (SHIFT._replace(epoch=9), TOLD_BACK, False),
        # What is final in the store stands.
        (COMPLETED, TOLD_BACK, True),
        (TOLD_BACK, COMPLETED, False),
        (BACK, COMPLETED, False),
        (COMPLETED, BACK, False),
        (SHIFT._replace(epoch=9), BACK, False),
        (OTHER, BACK, False),
        (OTHER._replace(epoch=2), BACK, True),
    ],
)
def test_stages_never_go_back(
    found: Stage, known: Stage | None, *, expected: bool
) -> None:
    assert replaces(found, known) is expected


@pytest.mark.parametrize(
    ("last", "version", "banned"),
    [
        (None, "v3", ()),
        (COMPLETED, "v3", ()),
        (BACK, "v3", ("v2",)),
        (STAGE, "v3", ("v2",)),
        (BACK, "v2", ()),
        (BACK._replace(banned=("v0",)), "v3", ("v0", "v2")),
    ],
)
def test_an_order_keeps_what_earlier_ones_have_banned(
    last: Stage | None, version: str, banned: tuple[str, ...]
) -> None:
    order = RolloutOrder("o3", "s", version, 12.0)
    assert begin(order, last, 0.5).banned == banned
