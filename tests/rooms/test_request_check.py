"""Tests of what a keeper takes of other nodes' requests."""

import math

import pytest

from savorylift.fleet.room_messages import RoomRequest
from savorylift.rooms.request_check import MAX_TOKENS, is_sound
from tests.rooms.factories import make_request

REQUEST = make_request()
# What callers state has less than twelve digits.
MOST_STATED = 2 * (10**11 - 1)


@pytest.mark.parametrize(
    "req",
    [
        REQUEST,
        REQUEST._replace(tokens=MOST_STATED, prompt_tokens=MOST_STATED),
        REQUEST._replace(max_prefill_tokens=math.inf),
        REQUEST._replace(start_in_s=-5.0, weight=0.01),
    ],
)
def test_requests_of_nodes_are_sound(req: RoomRequest) -> None:
    assert is_sound(req)


@pytest.mark.parametrize(
    "req",
    [
        REQUEST._replace(tokens=-1),
        REQUEST._replace(tokens=10**400),
        REQUEST._replace(tokens=MAX_TOKENS + 1),
        REQUEST._replace(prompt_tokens=10**400),
        REQUEST._replace(weight=0.0),
        REQUEST._replace(weight=-1.0),
        REQUEST._replace(weight=math.nan),
        REQUEST._replace(weight=math.inf),
        # The share of its team would be without an end.
        REQUEST._replace(weight=1e-320),
        REQUEST._replace(max_prefill_tokens=math.nan),
        REQUEST._replace(age_s=math.nan),
        REQUEST._replace(leave_in_s=math.inf),
        REQUEST._replace(lease_s=1e9),
        REQUEST._replace(group=1),
        REQUEST._replace(group=-1),
    ],
)
def test_numbers_that_make_no_sense_are_dropped(req: RoomRequest) -> None:
    assert not is_sound(req)
