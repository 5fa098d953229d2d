"""Messages about room at the engines of a service."""

import enum
from typing import NamedTuple


class RoomOutcome(enum.StrEnum):
    """What the keeper of a service's room says to a request for a place.

    Attributes:
        GRANTED: The generation has a place at the engine named.
        QUEUED: It waits for its turn; another reply follows.
        REFUSED: Its turn would come too late.
        ALONE: The keeper can't say; the node is to place it by itself.
    """

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"
    ALONE = "alone"


class RoomRequest(NamedTuple):
    """Asks for a place for a generation.

    Asking again with the same number is asking for the same place.

    Attributes:
        number: Number of the request among those of the sender.
        attempt_id: The caller's ID for the generation, for logs.
        service: Service whose engines may run it.
        priority: Priority; 0 goes first.
        team: Team of the caller; empty if unknown.
        weight: Weight of the team.
        tokens: Tokens that the generation is expected to reach.
        prompt_tokens: Tokens of its prompt.
        max_prefill_tokens: Most prompt tokens that may await prefill at its
            engine, its own included.
        start_in_s: Time until it must start to meet its objective; negative
            if that is over.
        leave_in_s: How long it can wait.
        age_s: Time since it began to wait.
        lease_s: Time after which its place is free, whatever is heard.
        excluded: IDs of the engines that may not run it.
        software_version: Version of the engines that may run it; None for any.
        regions: Regions whose engines may run it; None for any.
        ends: Numbers of earlier requests of the sender that need no place now.
        spare: IDs of the engines that may run it only if no other has room.
        caller: Digest of the caller within its team; empty if unknown.
        repeat_id: Digest of what it asks for, in which repeats of the request
            agree; empty if unknown.
        group: Number of the group of the service's engines that is asked.
        groups: Number of these groups.
    """

    number: int
    attempt_id: str
    service: str
    priority: int
    team: str
    weight: float
    tokens: int
    prompt_tokens: int
    max_prefill_tokens: float
    start_in_s: float
    leave_in_s: float
    age_s: float
    lease_s: float
    excluded: tuple[str, ...] = ()
    software_version: str | None = None
    regions: tuple[str, ...] | None = None
    ends: tuple[int, ...] = ()
    spare: tuple[str, ...] = ()
    caller: str = ""
    repeat_id: str = ""
    group: int = 0
    groups: int = 1


class RoomReply(NamedTuple):
    """The keeper's decision on a request for a place.

    Attributes:
        number: Number of the request.
        outcome: The decision, one of `RoomOutcome`.
        server_id: Engine that has the place; None without one.
        return_in_s: Time until there should be room, if it is refused.
        waiting: Generations that wait at the keeper.
        knowledge_age_s: Age of the oldest of what the keeper knows of nodes.
        prefill_tokens: Prompt tokens that the engine has yet to prefill, with
            those of the generation; 0 if the keeper doesn't say.
    """

    number: int
    outcome: str
    server_id: str | None = None
    return_in_s: float = 0.0
    waiting: int = 0
    knowledge_age_s: float = 0.0
    prefill_tokens: int = 0


class RoomEnds(NamedTuple):
    """Tells the keeper which generations need no place any more.

    Attributes:
        numbers: Numbers of the requests for their places.
    """

    numbers: tuple[int, ...]


RoomMessage = RoomRequest | RoomReply | RoomEnds
