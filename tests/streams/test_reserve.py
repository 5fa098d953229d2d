"""Share of the expected rest that is reserved."""

import freezegun
import pytest

from savorylift.streams.policy_settings import PolicySettings
from savorylift.streams.reserve import CALM, MAX_SHARE, Crowding, Headroom

PLAIN = PolicySettings()


def share_after(
    rates: list[float], cfg: PolicySettings = PLAIN, missing: float = 0.0
) -> float:
    headroom = Headroom()
    for rate in rates:
        headroom.note_preemptions(rate, cfg)
    return headroom.share(cfg, Crowding(missing, 0.0))


@pytest.mark.parametrize(
    ("rates", "cfg", "missing"),
    [
        ([1.0], PLAIN, 0.0),
        ([], PLAIN, 0.4),
        ([], PLAIN._replace(stall_weight=2.0), 0.0),
        ([], PLAIN._replace(token_tail_weight=2.0), 0.0),
        ([], PLAIN._replace(preemption_weight=2.0), 0.0),
    ],
)
def test_what_calls_for_memory_raises_the_share(
    rates: list[float], cfg: PolicySettings, missing: float
) -> None:
    more = share_after(rates, cfg, missing)
    assert share_after([]) < more <= MAX_SHARE


def test_waiting_requests_lower_the_share() -> None:
    crowded = Headroom().share(PLAIN, Crowding(0.0, 1.0))
    assert 0 < crowded < share_after([])


def test_weights_scale_what_they_weigh() -> None:
    heavy = PLAIN._replace(preemption_weight=3.0, domain_change_weight=3.0)
    for rates, missing in (([0.5], 0.0), ([], 0.1)):
        light = share_after(rates, PLAIN, missing) - share_after([])
        rise = share_after(rates, heavy, missing) - share_after([], heavy)
        assert rise == pytest.approx(3 * light, rel=0.01)


def test_share_returns_to_its_base_and_stays_bounded() -> None:
    with freezegun.freeze_time() as clock:
        headroom = Headroom()
        headroom.note_preemptions(1e6, PLAIN)
        assert headroom.share(PLAIN, CALM) == MAX_SHARE
        clock.tick(3600)
        assert headroom.share(PLAIN, CALM) == pytest.approx(share_after([]))
