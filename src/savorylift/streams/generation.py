"""Serves one generation: places it, follows it and replays it if lost."""

import time
from typing import NamedTuple

import structlog
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.permits.gate import Permit, PermitRequest
from savorylift.restrictions import no_server
from savorylift.rules.view import BackendServer
from savorylift.streams.attempt import (
    Attempt,
    AttemptEnd,
    Follower,
    remnant,
    unsent_use,
)
from savorylift.streams.counters import (
    GENERATIONS,
    REPLAYS,
    RESTARTS,
    TOKENS,
)
from savorylift.streams.delivery import Delivery
from savorylift.streams.parts import GenerationParts
from savorylift.streams.placement import GenerationRequest
from savorylift.streams.relay import RelayEnd
from savorylift.streams.settle import RETRY_AFTER_S, settle
from savorylift.streams.sink import Sink
from savorylift.streams.ticket import Ticket, expiry_ms, sign_ticket
from savorylift.streams.upstream import (
    EngineRequest,
    EngineStream,
    OpenFault,
    OpenFaultKind,
    open_stream,
)

log = structlog.get_logger()


class _Placed(NamedTuple):
    attempt: Attempt
    stream: EngineStream
    reserve: "_GrowingReserve"


class Generation:
    """One answer to one caller, over one or more attempts."""

    def __init__(
        self, parts: GenerationParts, req: GenerationRequest, sink: Sink
    ) -> None:
        """Prepares the answer; `run` produces it."""
        self._parts = parts
        self._req = req
        self._sink = sink
        self._delivery = Delivery()
        self._follower = Follower(parts, sink, self._delivery, req.deadline_s)
        self._answer_id = req.request_id
        self._excluded: set[str] = set()
        self._effect = Ending.NOT_RUN

    def run(self) -> Result[None, Refusal]:
        """Blocks until the answer is whole, or returns why it will not be."""
        self._parts.budget.note_call()
        while True:
            placed = self._place()
            if isinstance(placed, Failure):
                return Failure(self._truthful(placed.failure()))
            attempt, stream, reserve = placed.unwrap()
            ended = self._follow(attempt, stream, reserve)
            result = self._settle(attempt, ended)
            if result is not None:
                GENERATIONS.labels(ended.end.name.lower()).inc()
                TOKENS.inc(self._delivery.next_index)
                return result
            REPLAYS.labels(ended.end.name.lower()).inc()

    def _follow(
        self,
        attempt: Attempt,
        stream: EngineStream,
        reserve: "_GrowingReserve",
    ) -> AttemptEnd:
        """Follows an attempt, starting its delivery over if it differs."""
        while True:
            ended = self._follower.follow(attempt, stream, reserve)
            if ended.end is not RelayEnd.DIVERGED:
                return ended
            if not self._sink.can_restart():
                return ended
            RESTARTS.inc()
            self._answer_id = new_id("answer")
            self._delivery.restart()
            self._delivery.begin_attempt(attempt.generation_id)
            self._sink.restart(self._answer_id)
            reopened = self._follower.reopen(attempt)
            if reopened is None:
                return ended._replace(end=RelayEnd.SOURCE_LOST)
            stream = reopened

    def _place(self) -> Result[_Placed, Refusal]:
        """Gets a permit and dispatches, on another engine if one refuses."""
        while True:
            permitted = self._acquire()
            if isinstance(permitted, Failure):
                return permitted
            permit = permitted.unwrap()
            verdict = self._judge_again(permit)
            if isinstance(verdict, Failure):
                self._parts.gate.release(permit, unsent_use())
                return verdict
            server = verdict.unwrap()
            opened = self._dispatch(permit, server)
            if isinstance(opened, Success):
                return Success(opened.unwrap())
            self._excluded.add(permit.backend_server)
            if not self._parts.budget.take_retry():
                message = f"retry budget spent: {opened.failure().message}"
                return Failure(
                    not_run(Reason.RETRY_BUDGET, message, RETRY_AFTER_S)
                )

    def _acquire(self) -> Result[Permit, Refusal]:
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
        produced = self._delivery.next_index
        return self._parts.gate.acquire(
            PermitRequest(
                permit_id=new_id("permit"),
                candidates=placement.order(self._req, fresh, hints),
                stream_id=new_id("gen"),
                team=self._req.team.name,
                weight=self._req.team.weight,
                priority=self._req.priority,
                tokens=placement.reserve(self._req, produced),
                deadline_s=self._req.deadline_s,
            )
        )

    def _servers(self) -> list[BackendServer]:
        servers = self._parts.rules.current().backend_servers.values()
        return [item for item in servers if item.model == self._req.model.name]

    def _judge_again(self, permit: Permit) -> Result[BackendServer, Refusal]:
        """Judges the engine at the last moment before dispatch."""
        fresh = self._parts.may_dispatch()
        if isinstance(fresh, Failure):
            return fresh
        rules = self._parts.rules.current()
        server = rules.backend_servers.get(permit.backend_server)
        if server is None:
            return Failure(no_server([], self._parts.restrictions, "it"))
        verdict = self._parts.restrictions.judge(server)
        return verdict.map(lambda _: server)

    def _dispatch(
        self, permit: Permit, server: BackendServer
    ) -> Result[_Placed, OpenFault]:
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
        self._delivery.begin_attempt(permit.stream_id)
        self._sink.announce(self._ticket(attempt))
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
        reserve = _GrowingReserve(self._parts, self._req)
        return Success(_Placed(attempt, opened.unwrap(), reserve))

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

    def _ticket(self, attempt: Attempt) -> str:
        permit = attempt.permit
        return sign_ticket(
            Ticket(
                answer_id=self._answer_id,
                generation_id=attempt.generation_id,
                backend_server=permit.backend_server,
                backend_address=attempt.address,
                model=self._req.model.name,
                version=self._req.model.version,
                seed=self._req.seed,
                team=self._req.team.name,
                permit_id=permit.permit_id,
                keeper_vm=permit.keeper.vm,
                keeper_incarnation=permit.keeper.incarnation,
                is_cold=permit.cold,
                expires_ms=expiry_ms(),
            ),
            self._parts.ticket_keys,
        )

    def _settle(
        self, attempt: Attempt, ended: AttemptEnd
    ) -> Result[None, Refusal] | None:
        """Frees or keeps the permit; None means that a replay may follow."""
        settled = settle(
            self._parts, attempt, ended, self._delivery, self._sink
        )
        if isinstance(settled, Success):
            produced = self._delivery.next_index
            self._parts.placement.note_finished(self._req, produced)
            return settled
        if settled.failure().reason is not Reason.BACKEND_LOST:
            return settled
        self._excluded.add(attempt.permit.backend_server)
        if self._parts.budget.take_retry():
            return None
        return settled

    def _truthful(self, refusal: Refusal) -> Refusal:
        """Corrects a refusal after a dispatch that may have run."""
        if self._effect is Ending.NOT_RUN:
            return refusal
        return refusal._replace(ending=self._effect)

    def _note_effect(self, effect: Ending) -> None:
        """Records what may have run; certainty replaces doubt."""
        if self._effect is not Ending.FAILED:
            self._effect = effect


class _GrowingReserve:
    """Follows the placement policy's estimate as the output grows."""

    def __init__(self, parts: GenerationParts, req: GenerationRequest) -> None:
        self._placement = parts.placement
        self._req = req
        self._tokens = parts.placement.reserve(req, 0)

    def corrected(self, produced: int) -> int | None:
        """Returns the new estimate if it differs from the last one."""
        tokens = self._placement.reserve(self._req, produced)
        if tokens == self._tokens:
            return None
        self._tokens = tokens
        return tokens
