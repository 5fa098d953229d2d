"""Checks what nodes ask a keeper for."""

import math

from savorylift.fleet.room_messages import RoomRequest

MAX_LEASE_S = 120.0
# More than callers can state, and few enough to divide by any rate.
MAX_TOKENS = 10**12


def is_sound(req: RoomRequest) -> bool:
    """Whether the values of a request make sense."""
    times_s = (req.start_in_s, req.leave_in_s, req.age_s, req.lease_s)
    return (
        all(map(math.isfinite, times_s))
        and 0 <= req.lease_s <= MAX_LEASE_S
        and are_tokens(req.tokens, req.prompt_tokens)
        and 0 < req.weight < math.inf
        and math.isfinite(req.tokens / req.weight)
        and not math.isnan(req.max_prefill_tokens)
        and 0 <= req.group < req.groups
    )


def are_tokens(*counts: int) -> bool:
    """Whether counts of tokens make sense."""
    return all(0 <= count <= MAX_TOKENS for count in counts)
