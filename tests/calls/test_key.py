"""Tests of idempotency keys."""

import pytest
from returns.result import Failure, Success

from savorylift.calls.key import KeyWindow, check_key, parse_key
from savorylift.outcomes import Reason
from tests.calls.fakes import make_key

NOW_MS = 1_760_000_000_000
WINDOW = KeyWindow(age_ms=1_000, skew_ms=100)


@pytest.mark.parametrize("age_ms", [-100, 0, 1_000])
def test_key_inside_window_is_accepted(age_ms: int) -> None:
    checked = check_key(make_key(NOW_MS - age_ms), WINDOW, NOW_MS)
    assert isinstance(checked, Success)
    assert checked.unwrap().time_ms == NOW_MS - age_ms


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (None, Reason.KEY_MISSING),
        ("", Reason.KEY_MISSING),
        ("not-a-uuid", Reason.KEY_INVALID),
        ("5f0c1a2e-6a0b-4c1d-9e2f-1234567890ab", Reason.KEY_INVALID),
        (make_key(NOW_MS)[:19] + "0" + make_key(NOW_MS)[20:], None),
        (make_key(NOW_MS - 1_001), Reason.KEY_TOO_OLD),
        (make_key(NOW_MS + 101), Reason.KEY_INVALID),
    ],
)
def test_key_is_refused_not_run(
    text: str | None, reason: Reason | None
) -> None:
    checked = check_key(text, WINDOW, NOW_MS)
    assert isinstance(checked, Failure)
    assert checked.failure().ending == "not_run"
    assert checked.failure().reason == (reason or Reason.KEY_INVALID)


def test_spellings_of_one_key_are_one_key() -> None:
    text = make_key(NOW_MS, 0xABC)
    assert parse_key(text.upper()) == parse_key(text)
    assert parse_key(text.replace("-", "")) == parse_key(text)
