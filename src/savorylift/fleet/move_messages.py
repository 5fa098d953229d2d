"""Messages about moves of runs off engines that are draining."""

import enum
from typing import NamedTuple


class MoveOutcome(enum.StrEnum):
    """What the planner of a service's moves says to a request for a turn.

    Attributes:
        GO: The run may be copied now.
        WAIT: Its turn comes later; another reply follows.
        UNSAVED: It can't be copied in time, and may be made again elsewhere.
        ALONE: The planner can't say; the node is to order its move itself.
    """

    GO = "go"
    WAIT = "wait"
    UNSAVED = "unsaved"
    ALONE = "alone"


class MoveRequest(NamedTuple):
    """Asks for a turn to copy a run off an engine that is draining.

    Asking again with the same number is asking for the same turn.

    Attributes:
        number: Number of the request among those of the sender.
        attempt_id: The caller's ID for the run.
        service: Service of the engine.
        server_id: ID of the engine.
        failure_domain: Failure domain of the engine.
        notice_age_s: How long the sender has known that the engine leaves.
        tokens: Tokens that the run holds.
        expected_tokens: Tokens that it is expected to reach.
        priority: Priority; 0 goes first.
        done_share: Share of the expected output that has been made.
        may_repeat: Whether it may be made again from its prompt.
        ends_in_s: Time until it should end by itself; None if unknown.
        excluded: IDs of the engines that it can't go to.
        software_version: Version of the engines that it may go to; None for
            any.
        regions: Regions that it may go to; None for any.
    """

    number: int
    attempt_id: str
    service: str
    server_id: str
    failure_domain: str
    notice_age_s: float
    tokens: int
    expected_tokens: int
    priority: int
    done_share: float
    may_repeat: bool
    ends_in_s: float | None = None
    excluded: tuple[str, ...] = ()
    software_version: str | None = None
    regions: tuple[str, ...] | None = None


class MoveReply(NamedTuple):
    """The planner's decision on a request for a turn.

    Attributes:
        number: Number of the request.
        outcome: The decision, one of `MoveOutcome`.
        destination_id: Engine to copy the run to, if it may.
        reason: Why the run can't be saved; empty if it can.
    """

    number: int
    outcome: str
    destination_id: str | None = None
    reason: str = ""


class MoveEnd(NamedTuple):
    """Tells the planner that a turn isn't needed any more.

    Attributes:
        number: Number of the request for the turn.
        moved_to: Engine at which the run goes on; None if it wasn't moved.
    """

    number: int
    moved_to: str | None = None


MoveMessage = MoveRequest | MoveReply | MoveEnd
