"""Servers whose limit leaves nothing for a while."""

import time

from savorylift.limits.permit_issuer import PermitDecision

# A server for which there is no permit gets no requests for at least the first
# and at most the second time. Then it is worth asking again.
MIN_CLOSED_S = 0.02
MAX_CLOSED_S = 5.0
# The same if the issuer doesn't reply: its message may have been lost.
NO_REPLY_CLOSED_S = 0.3


class ClosedLimits:
    """Knows for which servers it isn't worth asking for a permit now."""

    def __init__(self) -> None:
        """Starts with all servers open."""
        # Monotonic time at which each server is worth asking for again.
        self._until_s: dict[str, float] = {}

    def is_open(self, server_id: str) -> bool:
        """Whether it is worth asking for a permit."""
        return time.monotonic() >= self._until_s.get(server_id, 0.0)

    def close(
        self,
        server_id: str,
        decision: PermitDecision | None,
        max_wait_s: float,
    ) -> None:
        """Closes a server until it is worth asking again.

        Args:
            server_id: The server.
            decision: What its issuer decided; None if it didn't reply.
            max_wait_s: How long the request would have waited.
        """
        wait_s = NO_REPLY_CLOSED_S
        if decision is not None:
            wait_s = decision.wait_s - max_wait_s
        closed_s = min(max(wait_s, MIN_CLOSED_S), MAX_CLOSED_S)
        self._until_s[server_id] = time.monotonic() + closed_s

    def reopen(self, server_id: str) -> None:
        """Makes it worth asking again, as a limit has changed."""
        self._until_s.pop(server_id, None)

    def forget_passed(self) -> None:
        """Forgets times that have passed; to be called periodically."""
        now_s = time.monotonic()
        self._until_s = {
            server_id: until_s
            for server_id, until_s in self._until_s.items()
            if until_s >= now_s
        }
