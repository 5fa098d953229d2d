"""What a plan of moves is made of: runs, engines that leave, destinations."""

import math
from typing import NamedTuple

from savorylift.moves.begun_copies import MoveKey


class MovingRun(NamedTuple):
    """A run on an engine that leaves.

    Attributes:
        key: The request for its turn.
        source_id: Engine that it is on.
        tokens: Tokens that it holds, which are copied.
        expected_tokens: Tokens that it is expected to reach, for which its
            destination needs room.
        priority: Priority; 0 goes first.
        done_share: Share of the expected output that has been made.
        may_repeat: Whether it may be made again from its prompt.
        ends_in_s: Time until it should end by itself; infinite if unknown.
        excluded: IDs of the engines that it can't go to.
        software_version: Version of the engines that it may go to; None for
            any.
        regions: Regions that it may go to; None for any.
    """

    key: MoveKey
    source_id: str
    tokens: int
    expected_tokens: int
    priority: int = 0
    done_share: float = 0.0
    may_repeat: bool = False
    ends_in_s: float = math.inf
    excluded: frozenset[str] = frozenset()
    software_version: str | None = None
    regions: frozenset[str] | None = None


class LeavingEngine(NamedTuple):
    """An engine that leaves.

    Attributes:
        failure_domain: Its failure domain.
        leaves_in_s: Time until it stops.
        link_tokens_per_s: Tokens that its link carries within its domain.
        busy_s: Time until the copy that it sends now ends; 0 without one.
    """

    failure_domain: str
    leaves_in_s: float
    link_tokens_per_s: float
    busy_s: float = 0.0


class Destination(NamedTuple):
    """An engine that runs may go to.

    Attributes:
        failure_domain: Its failure domain.
        region: Its region.
        software_version: Its software version.
        free_tokens: Tokens for which it has room.
        free_places: Runs for which it has room.
        link_tokens_per_s: Tokens that its link carries within its domain.
        busy_s: Time until the copy that it receives now ends; 0 without one.
    """

    failure_domain: str
    region: str | None
    software_version: str
    free_tokens: float
    free_places: int
    link_tokens_per_s: float
    busy_s: float = 0.0
