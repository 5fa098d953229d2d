"""Options of the permits slice."""

from typing import NamedTuple


class PermitOptions(NamedTuple):
    """Options that keepers and holders share; times in seconds.

    Attributes:
        max_waiting: Bound of a keeper's queue per backend server.
        answer_timeout_s: Wait for a keeper's answer before asking another.
        refresh_s: Interval of repeated requests, queries and states.
        query_after_s: Age from which a keeper asks whether a permit is known.
        cancel_after_s: Time a lost holder's stream may still be resumed.
        load_lag_s: Greatest age of a load report's content.
        slow_ratio: First tokens this much slower than usual mean cold.
        max_tries: Messages sent before a request queues.
        tick_s: Interval of timed work.
    """

    max_waiting: int = 256
    answer_timeout_s: float = 0.25
    refresh_s: float = 0.5
    query_after_s: float = 5.0
    cancel_after_s: float = 20.0
    load_lag_s: float = 2.0
    slow_ratio: float = 5.0
    max_tries: int = 3
    tick_s: float = 0.1
