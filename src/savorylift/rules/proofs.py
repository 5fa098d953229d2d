"""Evidence of where the log's tail was, and how old it is."""

import time

NEVER_S = float("-inf")
NO_PROOF_AGE_S = -1.0


class TailProofs:
    """Keeps the newest proof, to be told to other nodes with its age."""

    def __init__(self) -> None:
        """Starts without a proof."""
        self._sent_s = NEVER_S
        self._next_offset = 0

    def add(self, sent_s: float, next_offset: int) -> None:
        """Takes a proof that the tail was `next_offset` after `sent_s`."""
        if sent_s > self._sent_s:
            self._sent_s = sent_s
            self._next_offset = next_offset

    def age_s(self, next_offset: int) -> float:
        """Returns the age of a proof that nothing lay past `next_offset`.

        It is `NO_PROOF_AGE_S` if there is none.
        """
        if self._sent_s == NEVER_S or self._next_offset > next_offset:
            return NO_PROOF_AGE_S
        return time.monotonic() - self._sent_s
