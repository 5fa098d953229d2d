"""Servers that want nothing from this node for a while."""

import random
import time
from collections.abc import Collection

import structlog

from savorylift.backends.server_start import NO_START
from savorylift.exchange import metrics

# A server that asks for longer is asked again after this time.
MAX_HOLD_S = 60.0
# Added at random, as a share of the hold, so that the requests of all nodes
# don't come back at once.
MAX_SPREAD = 0.2
# Added at random to the time after which callers may return, as a share of it.
MAX_RETURN_SPREAD = 0.2

_log = structlog.get_logger()


class ServerHolds:
    """Until when each server gets no request of this node."""

    def __init__(self, rng: random.Random) -> None:
        """Starts without holds.

        Args:
            rng: Spreads the ends of holds over the nodes.
        """
        self._rng = rng
        self._until_s: dict[str, float] = {}

    def record(
        self,
        server_id: str,
        hold_s: float,
        *,
        start_ms: int = NO_START,
        is_start_known: bool = False,
    ) -> None:
        """Begins a hold, or prolongs it; a shorter one changes nothing.

        Args:
            server_id: The server that wants it.
            hold_s: For how long.
            start_ms: Start that its entry names.
            is_start_known: Whether the process that wants it named that start.
        """
        now_s = time.monotonic()
        kept_s = min(hold_s, MAX_HOLD_S)
        spread_s = self._rng.uniform(0.0, MAX_SPREAD) * kept_s
        until_s = now_s + kept_s + spread_s
        if until_s <= self._until_s.get(server_id, now_s):
            return
        if not self.is_held(server_id):
            metrics.SERVER_HOLDS.inc()
            _log.info(
                "server_hold",
                server=server_id,
                asked_s=round(hold_s, 3),
                kept_s=round(kept_s + spread_s, 3),
                start_ms=start_ms,
                is_start_known=is_start_known,
            )
        self._until_s[server_id] = until_s

    def is_held(self, server_id: str) -> bool:
        """Whether a server must get no request now."""
        until_s = self._until_s.get(server_id)
        return until_s is not None and time.monotonic() < until_s

    @property
    def held_ids(self) -> tuple[str, ...]:
        """IDs of the servers that must get no request now."""
        return tuple(sorted(filter(self.is_held, self._until_s)))

    def shortest_s(self, server_ids: Collection[str]) -> float | None:
        """Returns the time until the first hold ends.

        None if a server isn't held, or there is none.
        """
        now_s = time.monotonic()
        left_s = [self._until_s.get(s, now_s) - now_s for s in server_ids]
        shortest_s = min(left_s, default=0.0)
        return shortest_s if shortest_s > 0 else None

    def assign_return_s(self, server_ids: Collection[str]) -> float | None:
        """Returns after what time a caller may return, a little spread.

        None if a server isn't held, or there is none.
        """
        shortest_s = self.shortest_s(server_ids)
        if shortest_s is None:
            return None
        return shortest_s * (1 + self._rng.uniform(0.0, MAX_RETURN_SPREAD))

    def forget_ended(self) -> None:
        """Drops the holds that have ended."""
        now_s = time.monotonic()
        ended = [s for s, until_s in self._until_s.items() if until_s <= now_s]
        for server_id in ended:
            del self._until_s[server_id]
            _log.info("server_hold_ended", server=server_id)
