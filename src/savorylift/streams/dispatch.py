"""Finds an engine for a generation and dispatches it there."""

import time
from typing import NamedTuple

import structlog
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.permits.gate import Permit, PermitRequest
from savorylift.restrictions import no_server
from savorylift.rules.view import BackendServer
from savorylift.streams.attempt import Attempt, remnant, unsent_use
from savorylift.streams.parts import GenerationParts
from savorylift.streams.placement import GenerationRequest
from savorylift.streams.settle import RETRY_AFTER_S
from savorylift.streams.upstream import (
    EngineRequest,
    EngineStream,
    OpenFault,
    OpenFaultKind,
    open_stream,
)

log = structlog.get_logger()


class Placed(NamedTuple):
    """A dispatched generation and its open response."""

    attempt: Attempt
    stream: EngineStream


class Placer:
    """Places one request, as often as its answer needs.

    Attributes:
        effect: What the tries so far may have brought about.
    """

    def __init__(self, parts: GenerationParts, req: GenerationRequest) -> None:
        """Starts with every engine as good as the next."""
        self._parts = parts
        self._req = req
        self._excluded: set[str] = set()
        self.effect = Ending.NOT_RUN

    def place(self, produced: int) -> Result[Placed, Refusal]:
        """Gets a permit and dispatches, on another engine if one refuses.

        Args:
            produced: Tokens that the caller has got already.
        """
        while True:
            permitted = self._acquire(produced)
            if isinstance(permitted, Failure):
                return permitted
            permit = permitted.unwrap()
            fresh = self._parts.may_dispatch()
            if isinstance(fresh, Failure):
                self._parts.gate.release(permit, unsent_use())
                return fresh
            server = self._open_server(permit.backend_server)
            if server is None:
                self._parts.gate.release(permit, unsent_use())
                continue  # closed since it was chosen
            opened = self._dispatch(permit, server)
            if isinstance(opened, Success):
                return Success(opened.unwrap())
            self.exclude(permit.backend_server)
            if opened.failure().kind is OpenFaultKind.NOT_SENT:
                continue  # costs no engine anything
            if not self._parts.budget.take_retry():
                message = f"retry budget spent: {opened.failure().message}"
                return Failure(
                    not_run(Reason.RETRY_BUDGET, message, RETRY_AFTER_S)
                )

    def exclude(self, backend_server: str) -> None:
        """Keeps this request's further tries away from an engine."""
        self._excluded.add(backend_server)

    def _acquire(self, produced: int) -> Result[Permit, Refusal]:
        servers = self._servers()
        judge = self._parts.restrictions
        usable = [server for server in servers if judge.is_open(server)]
        fresh = [item for item in usable if item.name not in self._excluded]
        if not usable:
            return Failure(no_server(servers, judge, self._req.model.name))
        if not fresh:
            message = "every engine that could run it has just failed"
            return Failure(
                not_run(Reason.NO_BACKEND_SERVER, message, RETRY_AFTER_S)
            )
        placement = self._parts.placement
        hints = self._parts.gate.hints()
        return self._parts.gate.acquire(
            PermitRequest(
                permit_id=new_id("permit"),
                candidates=placement.order(self._req, fresh, hints),
                stream_id=new_id("gen"),
                team=self._req.team.name,
                weight=self._req.team.weight,
                priority=self._req.priority,
                tokens=placement.reserve(self._req, produced),
                deadline_s=placement.latest_start_s(self._req),
            )
        )

    def _servers(self) -> list[BackendServer]:
        servers = self._parts.rules.current().backend_servers.values()
        return [item for item in servers if item.model == self._req.model.name]

    def _open_server(self, name: str) -> BackendServer | None:
        """Judges the engine again, at the last moment before dispatch."""
        server = self._parts.rules.current().backend_servers.get(name)
        if server is None or not self._parts.restrictions.is_open(server):
            return None
        return server

    def _dispatch(
        self, permit: Permit, server: BackendServer
    ) -> Result[Placed, OpenFault]:
        timing = self._parts.timing
        attempt = Attempt(
            permit, server.address, permit.stream_id, time.monotonic()
        )
        opened = open_stream(
            server.address,
            self._engine_request(permit.stream_id),
            timing.connect_timeout_s,
            timing.first_token_timeout_s,
        )
        if isinstance(opened, Failure):
            self._note_fault(attempt, opened.failure())
            return opened
        self._note_effect(Ending.FAILED)
        self._parts.placement.note_dispatched(self._req, server.name)
        log.info(
            "generation dispatched",
            backend_server=server.name,
            keeper=permit.keeper.vm,
            rules_offset=self._parts.rules.current().offset,
        )
        self._parts.trail.note(
            self._req.request_id,
            "dispatched",
            self._parts.rules.current().offset,
            server.name,
            permit.keeper.vm,
        )
        return Success(Placed(attempt, opened.unwrap()))

    def _engine_request(self, generation_id: str) -> EngineRequest:
        req = self._req
        body = {
            "model": req.model.name,
            "version": req.model.version,
            "prompt": req.prompt,
            "max_tokens": req.max_tokens,
            "seed": req.seed,
            "stream": True,
            "generation_id": generation_id,
            "priority": req.priority,
            "team": req.team.name,
        }
        return EngineRequest("POST", "/v1/completions", body)

    def _note_fault(self, attempt: Attempt, fault: OpenFault) -> None:
        """Returns the permit of a dispatch that opened no stream."""
        server = attempt.permit.backend_server
        log.info(
            "dispatch failed",
            backend_server=server,
            kind=fault.kind.name.lower(),
            code=fault.code,
            cause=fault.message,
        )
        if fault.kind is OpenFaultKind.LOST:
            self._note_effect(Ending.UNKNOWN)
            self._parts.cleaner.end(remnant(attempt, 0))
            return
        if fault.code == "leaving":
            self._parts.mark_leaving(server, None)
        use = unsent_use(overloaded=fault.code == "overloaded")
        self._parts.gate.release(attempt.permit, use)

    def _note_effect(self, effect: Ending) -> None:
        """Records what may have run; certainty replaces doubt."""
        if self.effect is not Ending.FAILED:
            self.effect = effect
