"""Evidence of where the log's tail was, and how old it is."""

import time
from collections.abc import Callable

NEVER_S = float("-inf")
NO_PROOF_AGE_S = -1.0


class TailProofs:
    """Keeps the newest proof, to be sent to other nodes with its age."""

    def __init__(self, on_proof: Callable[[float, int], None]) -> None:
        """Starts without a proof; `on_proof` gets each that arrives."""
        self._on_proof = on_proof
        self._sent_s = NEVER_S
        self._next_offset = 0

    def add(self, sent_s: float, next_offset: int) -> None:
        """Takes a proof that the tail was `next_offset` after `sent_s`."""
        if sent_s > self._sent_s:
            self._sent_s = sent_s
            self._next_offset = next_offset
        self._on_proof(sent_s, next_offset)

    def add_from_peer(
        self, sent_s: float, age_s: float, next_offset: int
    ) -> None:
        """Takes the proof in a node's answer to a question of `sent_s`."""
        # The peer sent its question `age_s` before it answered, which was
        # after `sent_s`; so the proof is at least as recent as this.
        if age_s >= 0:
            self.add(sent_s - age_s, next_offset)

    def age_s(self, next_offset: int) -> float:
        """Returns the age of a proof that nothing lay past `next_offset`.

        It is `NO_PROOF_AGE_S` if there is none.
        """
        if self._sent_s == NEVER_S or self._next_offset > next_offset:
            return NO_PROOF_AGE_S
        return time.monotonic() - self._sent_s
