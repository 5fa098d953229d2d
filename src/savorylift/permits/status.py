"""What operators are shown of permits."""

from typing import NamedTuple


class LotView(NamedTuple):
    """A lot that the node owns.

    Attributes:
        number: Number of the lot.
        epoch: Roster offset at which it was acquired.
        held: Permits out.
        unaccounted: Places that work of lost nodes may occupy.
    """

    number: int
    epoch: int
    held: int
    unaccounted: int


class ServerStatus(NamedTuple):
    """A backend server as one of its keepers sees it.

    Attributes:
        backend_server: Its name.
        incarnation: Incarnation last seen, "" if unknown.
        cold: True if only the cold limit is in use.
        window: Limit in use, of all keepers together.
        window_cause: Why the window last changed.
        share: Places of this keeper.
        waiting: Requests in its queue.
        lots: Lots owned.
        acquiring: Lots awaited.
        last_decision: The newest decision and its cause.
    """

    backend_server: str
    incarnation: str
    cold: bool
    window: int
    window_cause: str
    share: int
    waiting: int
    lots: tuple[LotView, ...]
    acquiring: tuple[int, ...]
    last_decision: str


class PermitStatus(NamedTuple):
    """All of a node's permits.

    Attributes:
        held: Permits that the node holds.
        waiting: Requests of the node without an answer.
        servers: Backend servers of which it keeps a share.
    """

    held: int
    waiting: int
    servers: tuple[ServerStatus, ...]
