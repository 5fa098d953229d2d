"""Messages that move lots between nodes."""

from typing import NamedTuple

from savorylift.permits.messages import HeldPermit, Lot


class LotQuery(NamedTuple):
    """Asks for ownership of lots at a roster offset, the epoch."""

    epoch: int
    lots: tuple[Lot, ...]


class LotStatus(NamedTuple):
    """A node's answer about one lot.

    Attributes:
        lot: The lot.
        floor: Epoch below which the node uses no grants from this lot.
        was_owner: True if the node hereby releases the lot to the asker.
        held: Permits out: the owner's table, else what the node holds.
        unaccounted: Places of the lot that unknown work may occupy.
        incarnation: Backend server incarnation last seen, "" if unknown.
        falls: Version of `window`.
        window: Limit in force.
    """

    lot: Lot
    floor: int
    was_owner: bool
    held: tuple[HeldPermit, ...]
    unaccounted: int = 0
    incarnation: str = ""
    falls: int = 0
    window: int = 0


class LotReport(NamedTuple):
    """Answers a `LotQuery` of the same epoch."""

    epoch: int
    statuses: tuple[LotStatus, ...]
