"""Tests of what found no engine in one look."""

import pytest

from savorylift.placement.unmet_needs import Need, UnmetNeeds

NEED = Need("pool", 100, 50, 1000.0)


@pytest.mark.parametrize(
    ("need", "is_covered"),
    [
        (NEED, True),
        (NEED._replace(tokens=101), True),
        (NEED._replace(prompt_tokens=51), True),
        (NEED._replace(max_prefill_tokens=999.0), True),
        (NEED._replace(tokens=99), False),
        (NEED._replace(prompt_tokens=49), False),
        (NEED._replace(max_prefill_tokens=1001.0), False),
        (NEED._replace(kind="other"), False),
    ],
)
def test_only_what_needs_as_much_is_not_tried(
    need: Need, *, is_covered: bool
) -> None:
    unmet = UnmetNeeds()
    assert not unmet.covers(need)
    unmet.add(NEED)
    assert unmet.covers(need) == is_covered
