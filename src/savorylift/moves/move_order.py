"""The order in which runs are copied off an engine that is draining.

Several nodes may move runs off the same engine before it stops, and the copies
share the engine's link. They go one after another, the smallest first, and each
run is stopped for its final copy before the copy of the next run begins. If all
copies started at once, each would end late and most runs would be lost.
"""

from collections.abc import Iterable
from typing import NamedTuple

from savorylift.routing.configuration import EngineTraits

# Copies between failure domains take so many times as long.
CROSS_DOMAIN_FACTOR = 2


class PlannedMove(NamedTuple):
    """A run that is to be copied off an engine.

    Attributes:
        server_id: Engine that the run leaves.
        tokens: Tokens that the run holds in memory.
        attempt_id: ID of the run's request.
        destination: Engine that the run is being copied to; empty before the
            copy begins.
    """

    server_id: str
    tokens: int
    attempt_id: str
    destination: str = ""

    @property
    def sort_key(self) -> tuple[int, str]:
        """Sort key among the moves of one engine; the lowest goes first."""
        return self.tokens, self.attempt_id


def copy_time_s(
    tokens: int, traits: EngineTraits, *, is_cross_domain: bool
) -> float:
    """Returns how long a copy takes on links without other traffic."""
    size = tokens * traits.token_bytes
    factor = CROSS_DOMAIN_FACTOR if is_cross_domain else 1
    return factor * size / traits.link_bytes_per_s


def is_next(move: PlannedMove, others: Iterable[PlannedMove]) -> bool:
    """Returns whether no other planned move of the same engine goes first.

    A copy that has begun is never overtaken. Two copies at once would take as
    long as one after the other, and the run with the larger copy would be
    lost.
    """
    return not any(
        other.destination or other.sort_key < move.sort_key
        for other in others
        if other.server_id == move.server_id
        and other.attempt_id != move.attempt_id
    )
