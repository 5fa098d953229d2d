"""Weights read from rules."""

import pytest
from returns.result import Success

from savorylift.rules.view import RulesView, Setting
from savorylift.streams.policy_settings import (
    PolicySettings,
    check_setting,
    read_settings,
)
from tests.streams.fakes import SOURCE


@pytest.mark.parametrize(
    ("name", "value", "wanted"),
    [
        ("stall_weight", 2.0, 2.0),
        ("preemption_weight", 0.0, 0.0),
        ("token_tail_weight", 10.0, 10.0),
        ("domain_change_weight", 10.1, None),
        ("stall_weight", -0.1, None),
    ],
)
def test_values_out_of_range_are_found_and_not_used(
    name: str, value: float, wanted: float | None
) -> None:
    setting = Setting(name, value, SOURCE)
    assert isinstance(check_setting(setting), Success) is (wanted is not None)
    read = read_settings(RulesView(settings={name: setting}))
    default = getattr(PolicySettings(), name)
    assert getattr(read, name) == (default if wanted is None else wanted)


def test_settings_of_others_are_left_alone() -> None:
    setting = Setting("something_else", -5.0, SOURCE)
    assert check_setting(setting) == Success(setting)
    rules = RulesView(settings={setting.name: setting})
    assert read_settings(rules) == PolicySettings()
