"""Messages that the permit actor receives."""

from concurrent.futures import Future
from typing import NamedTuple, TypeAlias

from returns.result import Result

from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.peers.link import Message
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import Permit, PermitRequest, PermitUse
from savorylift.permits.messages import HeldPermit

Answer: TypeAlias = Result[Permit, Refusal]


class Received(NamedTuple):
    """A message from a node."""

    sender: NodeRef
    msg: Message


class Tick(NamedTuple):
    """Asks for timed work."""


class Acquire(NamedTuple):
    """Asks for a permit; `fut` gets the one answer."""

    req: PermitRequest
    fut: "Future[Answer]"


class Release(NamedTuple):
    """Returns a permit."""

    permit: Permit
    use: PermitUse


class GiveUp(NamedTuple):
    """Ends a request that nobody waits for any more."""

    permit_id: str


class Adjust(NamedTuple):
    """Replaces the memory reserved under a permit."""

    permit: Permit
    tokens: int


class Started(NamedTuple):
    """Reports the first output under a permit."""

    permit: Permit
    incarnation: str
    first_token_s: float
    is_cold: bool


class TakeOver(NamedTuple):
    """Makes this node the holder of a permit."""

    permit: Permit


class Loaded(NamedTuple):
    """A backend server's load report."""

    backend_server: str
    report: LoadReport


class Cancelled(NamedTuple):
    """Work that was cancelled or is unknown to its backend server."""

    backend_server: str
    permit: HeldPermit


class IsHeld(NamedTuple):
    """Asks whether this node holds a permit."""

    permit_id: str


class GetStatus(NamedTuple):
    """Asks for the status shown to operators."""
