"""Tests of what servers on the users' platform say of their plans."""

import pytest

from savorylift.exchange.server_notice import ServerNotice
from savorylift.platform.notices import decode_notice
from savorylift.wire.message import Headers, ResponseHead

LEAVING = ("server-leaving", "1")
HOLD = ("retry-after", "2.5")


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (), ServerNotice()),
        (200, (LEAVING,), ServerNotice(is_leaving=True)),
        (200, (HOLD,), ServerNotice()),
        (429, (HOLD,), ServerNotice()),
        (500, (LEAVING, HOLD), ServerNotice(is_leaving=True)),
        (503, (HOLD,), ServerNotice(hold_s=2.5)),
        (503, (LEAVING, HOLD), ServerNotice(is_leaving=True, hold_s=2.5)),
        (503, (("retry-after", "-1"),), ServerNotice()),
        # From another server than the one that was meant.
        (421, (LEAVING, HOLD), ServerNotice()),
    ],
)
def test_notice_is_read_from_the_head(
    status: int, headers: Headers, expected: ServerNotice
) -> None:
    assert decode_notice(ResponseHead(status, headers)) == expected
