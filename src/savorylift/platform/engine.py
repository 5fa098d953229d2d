"""Calls by which model engines move the memory of runs."""

import enum
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.wire.client_call import BrokenAnswerError, fetch


class MoveFault(enum.Enum):
    """Why a copy was not made."""

    NO_SUCH_RUN = "no_such_run"
    IN_PROGRESS = "in_progress"
    NO_ROOM = "no_room"
    UNREACHABLE = "unreachable"
    UNREADABLE = "unreadable"


class MoveError(NamedTuple):
    """A copy that was not made.

    Attributes:
        fault: Why.
        handle: Handle of the memory kept at the source, if the run stopped.
    """

    fault: MoveFault
    handle: str | None = None


class Copied(NamedTuple):
    """A finished copy.

    Attributes:
        handle: Names the copy at its source and destination.
        events: Events that the run had made when the copy was complete.
    """

    handle: str
    events: int


FAULTS = {
    404: MoveFault.NO_SUCH_RUN,
    409: MoveFault.IN_PROGRESS,
    503: MoveFault.NO_ROOM,
}


async def copy_run(
    source: tuple[str, int],
    destination: tuple[str, int],
    attempt_id: str,
    *,
    stops_run: bool,
    timeout_s: float,
) -> Result[Copied, MoveError]:
    """Copies a run's memory, or what is new of it since the last copy.

    Args:
        source: Engine that runs it.
        destination: Engine to copy to.
        attempt_id: The run.
        stops_run: Whether the run stops first, for good at the source.
        timeout_s: Bound on the whole call.
    """
    host, port = destination
    order: dict[str, object] = {"id": attempt_id, "to": f"{host}:{port}"}
    if stops_run:
        order["last"] = True
    try:
        answer = await fetch(
            source,
            "POST",
            "/kv-move",
            headers=(("content-type", "application/json"),),
            body=msgspec.json.encode(order),
            timeout_s=timeout_s,
            connect_s=timeout_s,
        )
    except (OSError, BrokenAnswerError):
        return Failure(MoveError(MoveFault.UNREACHABLE))
    try:
        body = msgspec.json.decode(answer.body or b"{}", type=dict)
    except msgspec.DecodeError:
        body = {}
    handle = body.get("handle")
    handle = None if handle is None else str(handle)
    if answer.status != 200:
        fault = FAULTS.get(answer.status, MoveFault.UNREADABLE)
        return Failure(MoveError(fault, handle))
    # Events made so far; the field's name speaks of a revision.
    events = body.get("createdRev")
    if handle is None or not isinstance(events, int):
        return Failure(MoveError(MoveFault.UNREADABLE, handle))
    return Success(Copied(handle, events))


async def drop_copy(
    source: tuple[str, int], handle: str, *, timeout_s: float
) -> bool:
    """Frees a copy at both ends; says whether the source did it."""
    try:
        answer = await fetch(
            source,
            "DELETE",
            f"/kv-handle/{handle}",
            timeout_s=timeout_s,
            connect_s=timeout_s,
        )
    except (OSError, BrokenAnswerError):
        return False
    return answer.status < 300


async def asks_to_leave(address: tuple[str, int], *, timeout_s: float) -> bool:
    """Whether an engine reports that it is leaving; False if it is silent."""
    try:
        answer = await fetch(
            address,
            "GET",
            "/report",
            timeout_s=timeout_s,
            connect_s=timeout_s,
        )
        report = msgspec.json.decode(answer.body, type=dict)
    except (OSError, BrokenAnswerError, msgspec.DecodeError):
        return False
    return report.get("state") == "draining"
