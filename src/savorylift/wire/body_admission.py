"""What decides when a body may be read, and which answers are cut."""

import sys
from collections.abc import Callable
from typing import NamedTuple

from savorylift.wire.body_budget import BodyBudget
from savorylift.wire.message import Headers


class BodyAdmission(NamedTuple):
    """What decides when a body may be read, and which answers are cut.

    Attributes:
        budget: Memory of all bodies.
        decode_time_left: Returns for how many seconds the caller of a request
            waits, given its headers; None if they don't tell.
        find_team: Returns the team of a caller, given its headers; empty if
            they don't tell.
        on_cut: Called for each answer that is cut since its caller reads too
            slowly.
    """

    budget: BodyBudget
    decode_time_left: Callable[[Headers], float | None]
    on_cut: Callable[[], None] = lambda: None
    find_team: Callable[[Headers], str] = lambda _headers: ""


UNBOUNDED = BodyAdmission(BodyBudget(sys.maxsize), lambda _headers: None)
