"""Messages between the nodes that keep permits and those that hold them."""

from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason


class Lot(NamedTuple):
    """One of the parts into which a backend server's limit is split."""

    backend_server: str
    number: int


class HeldPermit(NamedTuple):
    """A permit that is out.

    Attributes:
        permit_id: Identifier made by the node that asked.
        stream_id: Generation or call it is for.
        lot: Part of the limit that it is charged to.
        tokens: Memory reserved, in tokens.
        holder: Node that may use it.
        started_on: Incarnation that produced output for it, "" for none yet.
        attempt: Identifier of the holder's take-over; sorts by time, "" for
            the node that asked first.
    """

    permit_id: str
    stream_id: str
    lot: Lot
    tokens: int
    holder: NodeRef
    started_on: str = ""
    attempt: str = ""


class ServerState(NamedTuple):
    """What one keeper knows about a backend server and its own share.

    Attributes:
        backend_server: Its name.
        incarnation: Incarnation last seen, "" if unknown.
        falls: Version of `window`; a higher one replaces a lower one.
        window: Limit in force, from the cold to the warm limit.
        free_slots: Places free in the keeper's share.
        free_tokens: Memory free in the keeper's share, in tokens.
        waiting: Requests in the keeper's queue.
        cold: True if `window` is the cold limit.
        wait_s: Expected wait of one more request; 0 if unknown.
        rate: Permits that came back a second; 0 if unknown.
        overflow: Places used past the keeper's share of `window`.
    """

    backend_server: str
    incarnation: str
    falls: int
    window: int
    free_slots: int
    free_tokens: int
    waiting: int
    cold: bool
    wait_s: float
    rate: float
    overflow: int = 0


class PermitAsk(NamedTuple):
    """Asks a keeper for a permit; idempotent by `permit_id`.

    Attributes:
        permit_id: Identifier made by the holder.
        backend_server: Backend server concerned.
        stream_id: Generation or call it is for.
        team: Team of the caller.
        weight: The team's weight.
        priority: Higher goes first.
        tokens: Memory to reserve, in tokens.
        wait_s: Seconds until the permit is of no use.
        may_queue: False to be denied at once when there is no room.
        holder: Node that asked, also when another keeper forwards it.
        hops: Times it was forwarded.
    """

    permit_id: str
    backend_server: str
    stream_id: str
    team: str
    weight: int
    priority: int
    tokens: int
    wait_s: float
    may_queue: bool
    holder: NodeRef
    hops: int = 0


class PermitGrant(NamedTuple):
    """Grants a permit from a lot owned since the roster offset `epoch`.

    Sent again when the lot has a new owner, so that holders follow it.
    """

    permit_id: str
    stream_id: str
    lot: Lot
    epoch: int
    state: ServerState


class PermitDenied(NamedTuple):
    """Denies a permit.

    Attributes:
        permit_id: From the request.
        backend_server: From the request.
        reason: Cause of a final refusal; None to let the holder ask elsewhere.
        retry_after_s: Expected wait, in seconds.
        state: The keeper's state; None if it doesn't keep the server.
    """

    permit_id: str
    backend_server: str
    reason: Reason | None
    retry_after_s: float
    state: ServerState | None


class PermitQueued(NamedTuple):
    """Confirms that a request waits in a keeper's queue."""

    permit_id: str
    backend_server: str
    state: ServerState


class PermitGiveUp(NamedTuple):
    """Says that the sender uses a permit under no lot but `kept_lot`.

    That stays true, so that a late or repeated message does no harm.

    Attributes:
        permit_id: The permit.
        backend_server: Backend server concerned.
        kept_lot: Lot of the permit that the sender holds; -1 for none.
    """

    permit_id: str
    backend_server: str
    kept_lot: int


class PermitStarted(NamedTuple):
    """Reports the first output of the work under a permit."""

    permit_id: str
    backend_server: str
    incarnation: str
    cold: bool
    first_token_s: float


class PermitAdjust(NamedTuple):
    """Replaces the memory reserved under a permit."""

    permit_id: str
    backend_server: str
    tokens: int


class PermitReturn(NamedTuple):
    """Ends a permit; fields as in `PermitUse`, "" or negative for None."""

    permit_id: str
    backend_server: str
    finished: bool
    completed: bool
    first_token_s: float
    overloaded: bool
    incarnation: str
    holder: NodeRef


class Charge(NamedTuple):
    """A permit and the number of the lot that it is charged to."""

    permit_id: str
    lot_number: int


class PermitQuery(NamedTuple):
    """Asks a holder which of these permits it doesn't use."""

    backend_server: str
    charges: tuple[Charge, ...]


class PermitUnknown(NamedTuple):
    """Names permits that the sender never uses under the given lots."""

    backend_server: str
    charges: tuple[Charge, ...]


class PermitEnded(NamedTuple):
    """Tells a holder that the work it abandoned is over."""

    permit_id: str


class PermitMoved(NamedTuple):
    """Tells a holder that a newer attempt has taken a permit over."""

    permit_id: str
    attempt: str


class PermitTakeOver(NamedTuple):
    """Moves a permit to the sender; the newest attempt holds it."""

    permit_id: str
    backend_server: str
    stream_id: str
    attempt: str


class ColdFall(NamedTuple):
    """Tells the other keepers that a backend server is cold.

    Attributes:
        backend_server: Its name.
        incarnation: Incarnation that is cold, "" if unknown.
        falls: Version of the sender's window since the fall.
    """

    backend_server: str
    incarnation: str
    falls: int
