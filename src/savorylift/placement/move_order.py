"""The order in which runs are copied off an engine that is leaving.

Answers several nodes that move runs off one engine within its notice: copies
share the engine's link, so they go one after another, the smallest first,
and each run stops for its last part before the next copy begins. Started all
at once, every copy would end late and most runs would be lost.
"""

from collections.abc import Iterable
from typing import NamedTuple


class PlannedMove(NamedTuple):
    """A run that is to be copied off an engine.

    Attributes:
        server_id: The engine that it leaves.
        tokens: Size of its memory.
        attempt_id: The run.
        destination: The engine that it is being copied to; empty before.
    """

    server_id: str
    tokens: int
    attempt_id: str
    destination: str = ""

    @property
    def order(self) -> tuple[int, str]:
        """Sort key among the moves of one engine."""
        return self.tokens, self.attempt_id


def is_next(move: PlannedMove, others: Iterable[PlannedMove]) -> bool:
    """Whether no other planned move of the same engine goes before."""
    return all(
        other.server_id != move.server_id or move.order <= other.order
        for other in others
    )
