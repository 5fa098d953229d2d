"""One pass of a call: candidates, permit, last check and dispatch."""

import time
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.calls.candidates import choose_candidates, may_take_work
from savorylift.calls.dispatch import BackendRefused, DispatchOutcome
from savorylift.calls.endings import late, to_permit_use
from savorylift.calls.parts import CallParts
from savorylift.calls.request import CallRequest
from savorylift.identity import new_id
from savorylift.outcomes import Refusal
from savorylift.permits.gate import Permit, PermitRequest


class Tried(NamedTuple):
    """One pass through a permit: its outcome and where it was tried.

    Attributes:
        outcome: None if the backend server was closed before the dispatch.
    """

    backend_server: str
    outcome: DispatchOutcome | None


class Attempts:
    """Makes single passes; each returns the permit that it took."""

    def __init__(self, parts: CallParts) -> None:
        """Works with `parts`."""
        self._parts = parts

    def run(
        self, req: CallRequest, avoided: frozenset[str]
    ) -> Result[Tried, Refusal]:
        """Sends `req` under one permit, preferring servers not `avoided`."""
        if time.monotonic() >= req.deadline_s:
            return Failure(late())
        acquired = self._acquire(req, avoided)
        if isinstance(acquired, Failure):
            return acquired
        permit = acquired.unwrap()
        refused = self._last_check(req)
        if refused is not None:
            self._parts.gate.release(permit, to_permit_use(None))
            return Failure(refused)
        outcome = self._dispatch(req, permit)
        self._parts.gate.release(permit, to_permit_use(outcome))
        if isinstance(outcome, BackendRefused) and outcome.code == "leaving":
            self._parts.mark_leaving(permit.backend_server, outcome.incarnation)
        return Success(Tried(permit.backend_server, outcome))

    def _acquire(
        self, req: CallRequest, avoided: frozenset[str]
    ) -> Result[Permit, Refusal]:
        call_id = new_id("call")
        chosen = self.candidates(req, call_id)
        if isinstance(chosen, Failure):
            return chosen
        names = chosen.unwrap()
        fresh = tuple(name for name in names if name not in avoided)
        team = self._parts.rules.current().teams.get(req.team)
        return self._parts.gate.acquire(
            PermitRequest(
                new_id("permit"),
                fresh or names,
                call_id,
                req.team,
                team.weight if team else 1,
                req.priority,
                0,
                req.deadline_s,
            )
        )

    def candidates(
        self, req: CallRequest, call_id: str
    ) -> Result[tuple[str, ...], Refusal]:
        """Returns the backend servers that may take `req`, best first."""
        return choose_candidates(
            self._parts.rules.current(),
            req.service,
            call_id,
            self._parts.gate.hints(),
            self._parts.is_open,
        )

    def _last_check(self, req: CallRequest) -> Refusal | None:
        """Returns why nothing may be sent now, if so."""
        allowed = self._parts.may_dispatch()
        if isinstance(allowed, Failure):
            refusal: Refusal = allowed.failure()
            return refusal
        if time.monotonic() >= req.deadline_s:
            return late()
        return None

    def _dispatch(
        self, req: CallRequest, permit: Permit
    ) -> DispatchOutcome | None:
        view = self._parts.rules.current()
        name = permit.backend_server
        if not may_take_work(view, name, self._parts.is_open):
            return None
        address = view.backend_servers[name].address
        return self._parts.dispatcher.dispatch(address, req)
