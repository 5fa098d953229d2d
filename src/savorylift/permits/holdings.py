"""Permits that a node holds."""

import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.permits.co_keepers import Sender
from savorylift.permits.gate import Permit, PermitUse
from savorylift.permits.messages import (
    Charge,
    HeldPermit,
    Lot,
    PermitAdjust,
    PermitGrant,
    PermitMoved,
    PermitReturn,
    PermitStarted,
    PermitTakeOver,
)

UNKNOWN_LOT = -1
UNFINISHED = PermitUse(
    finished=False,
    completed=False,
    first_token_s=None,
    output_tokens=0,
    overloaded=False,
    incarnation=None,
)
KeepersOf = Callable[[str], list[NodeRef]]


class Holding(NamedTuple):
    """A permit that this node holds.

    Attributes:
        permit: As handed to the request path.
        held: As keepers see it.
        is_closing: True once the request path is done with it while the
            work's end is not confirmed.
        is_taken_over: False until a keeper has confirmed a take-over.
    """

    permit: Permit
    held: HeldPermit
    is_closing: bool = False
    is_taken_over: bool = True


class Holdings:
    """Permits held, from their grant to the confirmed end of their work."""

    def __init__(
        self, ref: NodeRef, keepers_of: KeepersOf, sender: Sender
    ) -> None:
        """Starts with no permit."""
        self._ref = ref
        self._keepers_of = keepers_of
        self._sender = sender
        self._held: dict[str, Holding] = {}

    def get(self, permit_id: str) -> Holding | None:
        """Returns what is held under an identifier."""
        return self._held.get(permit_id)

    def all(self) -> list[Holding]:
        """Returns everything held."""
        return list(self._held.values())

    def of_lot(self, lot: Lot) -> tuple[HeldPermit, ...]:
        """Returns the permits that are charged to a lot."""
        held = (holding.held for holding in self._held.values())
        return tuple(permit for permit in held if permit.lot == lot)

    def hold(self, permit: Permit, lot: Lot, tokens: int) -> None:
        """Holds a granted permit."""
        held = HeldPermit(
            permit.permit_id, permit.stream_id, lot, tokens, self._ref
        )
        self._held[permit.permit_id] = Holding(permit, held)

    def drop(self, permit_id: str) -> Holding | None:
        """Holds a permit no longer, without telling its keeper."""
        return self._held.pop(permit_id, None)

    def is_charged(self, holding: Holding, lot: Lot) -> bool:
        """Returns True if a permit is charged to `lot`, or may be."""
        unknown = Lot(lot.backend_server, UNKNOWN_LOT)
        return holding.held.lot in (lot, unknown)

    def uses(self, charge: Charge, keeper: NodeRef) -> bool:
        """Returns True if a permit is held and charged as given.

        If so, it is returned to the asking keeper from now on.
        """
        holding = self._held.get(charge.permit_id)
        if holding is None:
            return False
        if holding.held.lot.number not in (charge.lot_number, UNKNOWN_LOT):
            return False
        permit = holding.permit._replace(keeper=keeper)
        self._held[charge.permit_id] = holding._replace(permit=permit)
        return True

    def follow(
        self, holding: Holding, keeper: NodeRef, msg: PermitGrant
    ) -> None:
        """Returns a permit to the keeper that granted it anew."""
        permit = holding.permit._replace(keeper=keeper)
        held = holding.held._replace(lot=msg.lot)
        self._held[msg.permit_id] = holding._replace(
            permit=permit, held=held, is_taken_over=True
        )

    def release(self, permit: Permit, use: PermitUse) -> None:
        """Returns a permit, or leaves its unfinished work to the keeper."""
        holding = self._held.get(permit.permit_id)
        if holding is None:
            return
        if use.finished:
            del self._held[permit.permit_id]
        else:
            closing = holding._replace(is_closing=True)
            self._held[permit.permit_id] = closing
        self._send_return(holding.permit, use)

    def adjust(self, permit: Permit, tokens: int) -> None:
        """Replaces the memory reserved under a permit."""
        holding = self._held.get(permit.permit_id)
        if holding is None:
            return
        held = holding.held._replace(tokens=tokens)
        self._held[permit.permit_id] = holding._replace(held=held)
        msg = PermitAdjust(permit.permit_id, permit.backend_server, tokens)
        self._sender.send(holding.permit.keeper, msg)

    def started(
        self,
        permit: Permit,
        incarnation: str,
        first_token_s: float,
        *,
        is_cold: bool,
    ) -> None:
        """Reports the first output under a permit."""
        holding = self._held.get(permit.permit_id)
        if holding is None:
            return
        held = holding.held._replace(started_on=incarnation)
        self._held[permit.permit_id] = holding._replace(held=held)
        msg = PermitStarted(
            permit.permit_id,
            permit.backend_server,
            incarnation,
            is_cold,
            first_token_s,
        )
        self._sender.send(holding.permit.keeper, msg)

    def take_over(self, permit: Permit) -> None:
        """Holds a permit from now on and tells its keeper, whoever it is."""
        time_ms = time.time_ns() // 1_000_000
        attempt = f"{time_ms:012x}-{self._ref.vm}"
        lot = Lot(permit.backend_server, UNKNOWN_LOT)
        known = self._held.get(permit.permit_id)
        if known is not None:
            lot = known.held.lot
        held = HeldPermit(
            permit.permit_id,
            permit.stream_id,
            lot,
            0,
            self._ref,
            attempt=attempt,
        )
        holding = Holding(permit, held, is_taken_over=False)
        self._held[permit.permit_id] = holding
        self._send_take_over(holding)

    def ended(self, permit_id: str) -> None:
        """Drops a permit whose end its keeper has confirmed."""
        holding = self._held.get(permit_id)
        if holding is not None and holding.is_closing:
            del self._held[permit_id]

    def moved(self, msg: PermitMoved) -> None:
        """Drops a permit that a newer attempt has taken over."""
        holding = self._held.get(msg.permit_id)
        if holding is not None and holding.held.attempt == msg.attempt:
            del self._held[msg.permit_id]

    def is_held(self, permit_id: str) -> bool:
        """Returns True if this node holds the permit."""
        holding = self._held.get(permit_id)
        return holding is not None and not holding.is_closing

    def refresh(self) -> None:
        """Repeats what keepers have not confirmed."""
        for holding in self._held.values():
            if not holding.is_taken_over:
                self._send_take_over(holding)
            if holding.is_closing:
                self._send_return(holding.permit, UNFINISHED)

    def _send_take_over(self, holding: Holding) -> None:
        permit = holding.permit
        msg = PermitTakeOver(
            permit.permit_id,
            permit.backend_server,
            permit.stream_id,
            holding.held.attempt,
        )
        for keeper in self._keepers_of(permit.backend_server):
            self._sender.send(keeper, msg)

    def _send_return(self, permit: Permit, use: PermitUse) -> None:
        first_token_s = -1.0 if use.first_token_s is None else use.first_token_s
        msg = PermitReturn(
            permit.permit_id,
            permit.backend_server,
            use.finished,
            use.completed,
            first_token_s,
            use.overloaded,
            use.incarnation or "",
            self._ref,
        )
        self._sender.send(permit.keeper, msg)
