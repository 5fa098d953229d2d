"""Checks what nodes ask a keeper for."""

import math

from savorylift.fleet.room_messages import RoomRequest

MAX_LEASE_S = 120.0


def is_sound(req: RoomRequest) -> bool:
    """Whether the values of a request make sense."""
    times_s = (req.start_in_s, req.leave_in_s, req.age_s, req.lease_s)
    return (
        all(map(math.isfinite, times_s))
        and 0 <= req.lease_s <= MAX_LEASE_S
        and req.weight > 0
        and req.tokens >= 0
        and req.prompt_tokens >= 0
        and 0 <= req.group < req.groups
    )
