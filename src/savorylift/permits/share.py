"""The lots of one backend server that a node owns, and what is out."""

import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.permits.lots import lot_count, split
from savorylift.permits.messages import Charge, HeldPermit, Lot
from savorylift.rules.view import BackendServer


class OwnedLot:
    """One lot that this node may grant from.

    Attributes:
        lot: The lot.
        epoch: Roster offset at which this node acquired it.
        held: Permits out, by identifier.
        tokens_used: Memory reserved by them, in tokens.
        unproven: Number of those whose work has produced no output yet.
        unaccounted: Places that work of lost nodes may still occupy.
        since_s: `time.monotonic()` of the acquisition.
        settled_on: Last backend server incarnation that may run work of
            lost nodes, "" if unknown.
    """

    def __init__(self, lot: Lot, epoch: int, unaccounted: int) -> None:
        """Starts with no permit out."""
        self.lot = lot
        self.epoch = epoch
        self._held: dict[str, HeldPermit] = {}
        self.held: Mapping[str, HeldPermit] = MappingProxyType(self._held)
        self.tokens_used = 0
        self.unproven = 0
        self.unaccounted = unaccounted
        self.since_s = time.monotonic()
        self.settled_on = ""

    def settle(self, incarnation: str, active: int) -> None:
        """Applies a load report on a moment after the acquisition."""
        self.settled_on = self.settled_on or incarnation
        self.unaccounted = min(self.unaccounted, active)

    @property
    def places_used(self) -> int:
        """Places that may be occupied at the backend server."""
        return len(self.held) + self.unaccounted

    def put(self, permit: HeldPermit) -> None:
        """Adds or replaces a permit."""
        self.pop(permit.permit_id)
        self._held[permit.permit_id] = permit
        self.tokens_used += permit.tokens
        self.unproven += not permit.started_on

    def pop(self, permit_id: str) -> None:
        """Ends a permit, if it is out."""
        permit = self._held.pop(permit_id, None)
        if permit is not None:
            self.tokens_used -= permit.tokens
            self.unproven -= not permit.started_on


class Room(NamedTuple):
    """What a share could still grant."""

    slots: int
    tokens: int


class Share:
    """All lots of one backend server that this node owns."""

    def __init__(self, server: BackendServer) -> None:
        """Starts with no lot."""
        self.server = server
        self.lots: dict[int, OwnedLot] = {}

    @property
    def lot_count(self) -> int:
        """Number of lots that the limit is split into."""
        return lot_count(self.server.cold_limit)

    def places(self, window: int) -> int:
        """Returns the places that the owned lots have in `window`."""
        return sum(split(window, self.lot_count, i) for i in self.lots)

    def room(self, window: int) -> Room:
        """Returns what is free in all owned lots together."""
        slots = sum(max(0, self._free(o, window)) for o in self.lots.values())
        tokens = sum(max(0, self._tokens(o)) for o in self.lots.values())
        return Room(slots, tokens)

    def overflow(self, window: int) -> int:
        """Returns the places used past what the owned lots have."""
        return sum(
            max(0, o.places_used - split(window, self.lot_count, index))
            for index, o in self.lots.items()
        )

    def lot_with_room(self, tokens: int, window: int) -> OwnedLot | None:
        """Returns the owned lot with most free places that can take it."""
        best: OwnedLot | None = None
        for owned in self.lots.values():
            if self._free(owned, window) < 1 or not self._fits(owned, tokens):
                continue
            if best is None or self._free(owned, window) > self._free(
                best, window
            ):
                best = owned
        return best

    def find(self, permit_id: str) -> HeldPermit | None:
        """Returns a permit that is out."""
        for owned in self.lots.values():
            if permit_id in owned.held:
                return owned.held[permit_id]
        return None

    def put(self, permit: HeldPermit) -> None:
        """Adds or replaces a permit; its lot must be owned."""
        self.lots[permit.lot.number].put(permit)

    def remove(self, permit_id: str, kept_lot: int = -1) -> None:
        """Ends a permit in every owned lot but `kept_lot`."""
        for index, owned in self.lots.items():
            if index != kept_lot:
                owned.pop(permit_id)

    def remove_charge(self, charge: Charge, holder: NodeRef) -> None:
        """Ends a holder's permit in one lot."""
        owned = self.lots.get(charge.lot_number)
        if owned is None or charge.permit_id not in owned.held:
            return
        if owned.held[charge.permit_id].holder == holder:
            owned.pop(charge.permit_id)

    def held(self) -> list[HeldPermit]:
        """Returns every permit that is out."""
        return [p for o in self.lots.values() for p in o.held.values()]

    def _free(self, owned: OwnedLot, window: int) -> int:
        number = owned.lot.number
        free = split(window, self.lot_count, number) - owned.places_used
        if self.server.model is None:
            return free
        # A silent restart leaves only unproven work to arrive at the new
        # incarnation, so that it never gets more than its cold limit.
        cold = split(self.server.cold_limit, self.lot_count, number)
        return min(free, cold - owned.unproven)

    def _tokens(self, owned: OwnedLot) -> int:
        number = owned.lot.number
        share = split(self.server.kv_tokens, self.lot_count, number)
        return share - owned.tokens_used

    def _fits(self, owned: OwnedLot, tokens: int) -> bool:
        if self.server.kv_tokens == 0 or tokens <= self._tokens(owned):
            return True
        # A request larger than the lot's memory goes when the lot is empty.
        return not owned.held
