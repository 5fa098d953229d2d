"""Log lines and counters of a keeper's decisions.

The rate of lines of each event is bounded for the whole process by
`log_lines_per_s`.
"""

import enum

import structlog

from savorylift.fleet.room_messages import RoomOutcome, RoomRequest
from savorylift.placement.turn_away import Room
from savorylift.rooms import metrics
from savorylift.rooms.engine_groups import RoomId

_log = structlog.get_logger()


class RoleChange(enum.StrEnum):
    """Why a node begins or ceases to keep a service's room.

    Attributes:
        BEGUN: It was chosen, and has heard what the nodes have.
        NOT_CHOSEN: Another node is chosen now.
        REGROUPED: The service's engines are divided otherwise now.
        STOOD_STILL: It may have missed ends and grants.
        UNKNOWN_SERVICE: Its configuration has no such engines.
    """

    BEGUN = "begun"
    NOT_CHOSEN = "not_chosen"
    REGROUPED = "regrouped"
    STOOD_STILL = "stood_still"
    UNKNOWN_SERVICE = "unknown_service"


class AloneReason(enum.StrEnum):
    """Why a keeper leaves a request to its node.

    Attributes:
        NOT_CHOSEN: It isn't the keeper.
        NOT_READY: It hasn't heard the others yet.
        OTHER_GROUPS: Its node divides the service's engines otherwise.
        UNKNOWN_SERVICE: Its configuration has no such engines.
        TOO_MANY: More generations wait than it keeps.
        ENDED: The request is known to need no place any more.
        NO_ENGINE: It knows no engine that may run the generation.
    """

    NOT_CHOSEN = "not_chosen"
    NOT_READY = "not_ready"
    OTHER_GROUPS = "other_groups"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_MANY = "too_many"
    ENDED = "ended"
    NO_ENGINE = "no_engine"


def log_role(room: RoomId, change: RoleChange, waiting: int) -> None:
    """Logs that this node begins or ceases to keep a room."""
    metrics.ROOM_ROLES.labels(change.value).inc()
    _log.info(
        "room_role",
        service=room.service,
        group=room.group,
        groups=room.groups,
        change=change.value,
        waiting=waiting,
    )


def count_granted(req: RoomRequest) -> None:
    """Counts a generation that got a place."""
    metrics.count_team(req.team, RoomOutcome.GRANTED, req.tokens)


def log_refused(
    req: RoomRequest, room: Room, waiting: int, return_in_s: float
) -> None:
    """Logs a refusal with what it rests on.

    Args:
        req: The request.
        room: Room of the engines at that moment.
        waiting: Generations that still wait.
        return_in_s: Time after which the caller is told to return.
    """
    metrics.count_team(req.team, RoomOutcome.REFUSED, req.tokens)
    _log.info(
        "room_refused",
        request=req.attempt_id,
        service=req.service,
        team=req.team,
        priority=req.priority,
        tokens=req.tokens,
        leave_in_s=round(req.leave_in_s, 3),
        return_in_s=round(return_in_s, 3),
        waiting=waiting,
        free_tokens=room.free_tokens,
        tokens_per_s=room.tokens_per_s and round(room.tokens_per_s),
    )
