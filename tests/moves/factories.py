"""Runs and engines for tests of plans of moves."""

from typing import NamedTuple

from savorylift.fleet.move_messages import MoveRequest
from savorylift.moves.begun_copies import MoveKey
from savorylift.moves.move_inputs import Destination, LeavingEngine, MovingRun

# Tokens that a link carries in a second: a run of 3,700 takes 0.2 s within a
# failure domain, and 0.4 s to another.
LINK_TOKENS_PER_S = 18_300.0
MEMORY_TOKENS = 27_000
SLOTS = 24
SERVICE = "s"


class Load(NamedTuple):
    """Runs on engines that leave, and where they may go."""

    runs: list[MovingRun]
    sources: dict[str, LeavingEngine]
    destinations: dict[str, Destination]


def make_run(
    number: int,
    source_id: str = "e0",
    tokens: int = 3700,
    priority: int = 2,
) -> MovingRun:
    """Returns a run that can't be repeated, half done."""
    return MovingRun(
        MoveKey("10.0.0.1", number),
        source_id,
        tokens,
        tokens + 400,
        priority,
        done_share=0.5,
    )


def make_source(domain: str = "z0", leaves_in_s: float = 1.5) -> LeavingEngine:
    """Returns an engine that leaves."""
    return LeavingEngine(domain, leaves_in_s, LINK_TOKENS_PER_S)


def make_destination(
    domain: str = "z0", free_tokens: float = MEMORY_TOKENS
) -> Destination:
    """Returns an engine that runs may go to."""
    return Destination(domain, "r", "1", free_tokens, SLOTS, LINK_TOKENS_PER_S)


def make_move_request(
    number: int, server_id: str = "e0", tokens: int = 3700
) -> MoveRequest:
    """Returns a request for a turn to copy a run that has half ended."""
    return MoveRequest(
        number=number,
        attempt_id=f"a{number}",
        service=SERVICE,
        server_id=server_id,
        failure_domain="z0",
        notice_age_s=0.0,
        tokens=tokens,
        expected_tokens=tokens + 400,
        priority=2,
        done_share=0.5,
        may_repeat=False,
    )
