"""Turns of nodes that may send less than one request a second each."""

import random
import time

# Longest turn. If all nodes have waited for theirs, what is sent in a second
# exceeds their rate by this share of it.
TURN_S = 0.5
# Turns of short periods are this share of them.
TURN_SHARE = 0.5


class Turns:
    """Spreads the requests of nodes that don't know of each other's.

    A turn that goes by unused is not made up for: otherwise all nodes would
    send at once after a time without requests.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draws the moments of this node's turns.

        Args:
            rng: Chooses them.
        """
        self._phase = rng.random()

    def may_send(self, period_s: float, last_sent_s: float | None) -> bool:
        """Returns whether it is this node's turn, and nothing was sent in it.

        Args:
            period_s: Time in which each node has one turn.
            last_sent_s: Monotonic time of the last request; None without one.
        """
        turn_s = min(TURN_S, TURN_SHARE * period_s)
        now_s = time.monotonic()
        since_turn_s = (now_s + self._phase * period_s) % period_s
        if since_turn_s >= turn_s:
            return False
        return last_sent_s is None or now_s - last_sent_s > period_s - turn_s
