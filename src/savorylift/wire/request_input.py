"""Limits of what callers send, and why no request can be read."""

import enum
from typing import NamedTuple


class InputLimits(NamedTuple):
    """Size limits and timeouts for requests on a connection.

    Attributes:
        max_head_bytes: Largest request head.
        max_body_bytes: Largest body.
        head_timeout_s: Longest time from the first byte of a head to its end.
        idle_timeout_s: Longest pause between requests, and between two reads
            of a body.
    """

    max_head_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class CloseReason(enum.Enum):
    """Why no further request can be read from a connection."""

    ENDED = "ended"
    IDLE = "idle"


class BadRequest(NamedTuple):
    """A request that can't be read whole: it has not run.

    Attributes:
        status: Status code of the response.
        message: What is wrong, in one line.
        retry_after_s: When to come back; None if that makes no difference.
    """

    status: int
    message: str
    retry_after_s: float | None = None


# When to come back to a node without memory. The wait before has shown that
# bodies are served more slowly than they come.
MEMORY_RETRY_S = 0.5
NO_MEMORY = BadRequest(
    503,
    "This node holds as many bodies as it can; the request did not run.",
    MEMORY_RETRY_S,
)
