"""The HTTP face for callers."""

import json
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog
from returns.result import Failure, Result, Success

from savorylift.calls.caller import CallService
from savorylift.entry.completions import Completions
from savorylift.entry.counters import REFUSALS, REQUESTS
from savorylift.entry.directory import entries_for
from savorylift.entry.errors import (
    ERROR_HEADER,
    error_body,
    retry_headers,
    status_line,
)
from savorylift.entry.exchange import Exchange
from savorylift.entry.node_state import NodeState
from savorylift.entry.request_head import (
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    RequestHead,
    read_head,
    request_id_of,
)
from savorylift.entry.service_calls import SERVICES_PREFIX, ServiceCalls
from savorylift.entry.team_counts import TeamCounts
from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.peers.view import RosterSource
from savorylift.refusals.book import RefusalBook, RefusedRequest
from savorylift.rules.view import RulesSource
from savorylift.trail import Trail

ENTRY_PATH = "/v1/entry"
COMPLETIONS_PATH = "/v1/completions"
STREAMS_PREFIX = "/v1/streams/"
BUSY_RETRY_S = 1.0

log = structlog.get_logger()


class CallerParts(NamedTuple):
    """What the callers' face works with.

    Attributes:
        state: Phase of the node and its requests in flight.
        rules: Rules in force.
        roster: Nodes to send callers to.
        completions: Serves generations.
        calls: Carries calls to plain services.
        refusals: Keeps every refusal.
        own_address: This node's address for callers.
        max_in_flight: Requests served at once, the rest being refused.
        request_timeout_s: Deadline of a request that names none.
        entry_ttl_s: How long callers keep an answer about entries.
        trail: Keeps decisions for operators.
    """

    state: NodeState
    rules: RulesSource
    roster: RosterSource
    completions: Completions
    calls: CallService
    refusals: RefusalBook
    own_address: str
    max_in_flight: int
    request_timeout_s: float
    entry_ttl_s: float
    trail: Trail


Serve = Callable[[Exchange, RequestHead], Result[None, Refusal]]


class CallerFace:
    """Routes callers' requests and accounts for every refusal."""

    def __init__(self, parts: CallerParts) -> None:
        """Starts with no request in flight."""
        self._parts = parts
        self._places = threading.BoundedSemaphore(parts.max_in_flight)
        self._teams = TeamCounts()
        self._services = ServiceCalls(parts.calls, parts.rules, parts.trail)

    def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request_id = request_id_of(exchange)
        structlog.contextvars.bind_contextvars(
            request_id=request_id, team=exchange.header(TEAM_HEADER) or ""
        )
        try:
            self._handle(exchange, request_id)
        finally:
            structlog.contextvars.clear_contextvars()

    def _handle(self, exchange: Exchange, request_id: str) -> None:
        if exchange.path == ENTRY_PATH and exchange.method == "GET":
            self._send_entries(exchange)
            return
        result = self._admit(exchange, request_id)
        outcome = "answered"
        if isinstance(result, Failure):
            outcome = result.failure().ending.value
            self._refuse(exchange, request_id, result.failure())
        REQUESTS.labels(outcome).inc()

    def _admit(
        self, exchange: Exchange, request_id: str
    ) -> Result[None, Refusal]:
        """Serves the request within the node's bounds."""
        admitted = self._parts.state.admit()
        if isinstance(admitted, Failure):
            return admitted
        try:
            if not self._places.acquire(blocking=False):
                message = "the node serves as many requests as it can"
                return Failure(not_run(Reason.NODE_BUSY, message, BUSY_RETRY_S))
            try:
                return self._serve(exchange, request_id)
            finally:
                self._places.release()
        finally:
            self._parts.state.finish()

    def _serve(
        self, exchange: Exchange, request_id: str
    ) -> Result[None, Refusal]:
        routed = self._route(exchange)
        if isinstance(routed, Failure):
            return routed
        head = read_head(
            exchange,
            request_id,
            self._parts.rules.current(),
            self._parts.request_timeout_s,
        )
        if isinstance(head, Failure):
            return head
        team = head.unwrap().team
        if not self._teams.enter(team.name, team.max_in_flight):
            message = f"team {team.name} has too many requests in flight"
            refusal = not_run(Reason.TEAM_LIMIT, message, BUSY_RETRY_S)
            source = team.source
            return Failure(
                refusal._replace(rule=source.text, asked_by=source.asked_by)
            )
        try:
            return routed.unwrap()(exchange, head.unwrap())
        finally:
            self._teams.leave(team.name)

    def _route(self, exchange: Exchange) -> Result[Serve, Refusal]:
        """Finds what serves the request's method and path."""
        path, method = exchange.path, exchange.method
        if path.startswith(SERVICES_PREFIX):
            return Success(self._services.serve)
        by_method: dict[str, Serve] = {}
        if path == COMPLETIONS_PATH:
            by_method = {"POST": self._parts.completions.complete}
        elif path == ENTRY_PATH:
            by_method = {}
        elif path.startswith(STREAMS_PREFIX):
            by_method = {"GET": self._resume, "DELETE": self._cancel}
        else:
            return Failure(not_run(Reason.NOT_FOUND, f"no such path {path}"))
        serve = by_method.get(method)
        if serve is None:
            message = f"{method} is not allowed on {path}"
            return Failure(not_run(Reason.METHOD_NOT_ALLOWED, message))
        return Success(serve)

    def _resume(
        self, exchange: Exchange, head: RequestHead
    ) -> Result[None, Refusal]:
        ticket = exchange.path.removeprefix(STREAMS_PREFIX)
        return self._parts.completions.resume(exchange, head, ticket)

    def _cancel(
        self, exchange: Exchange, head: RequestHead
    ) -> Result[None, Refusal]:
        ticket = exchange.path.removeprefix(STREAMS_PREFIX)
        return self._parts.completions.cancel(exchange, head, ticket)

    def _send_entries(self, exchange: Exchange) -> None:
        team = exchange.query.get("team", "")
        entries = self._entries(team)
        body = {
            "entries": list(entries),
            "ttl_s": self._parts.entry_ttl_s,
        }
        exchange.send("200 OK", json.dumps(body).encode())

    def _entries(self, team: str) -> tuple[str, ...]:
        rules = self._parts.rules.current()
        return entries_for(team, self._parts.roster.current(), rules)

    def _refuse(
        self, exchange: Exchange, request_id: str, refusal: Refusal
    ) -> None:
        """Accounts for a refusal, then tells the caller."""
        REFUSALS.labels(refusal.reason.value, refusal.ending.value).inc()
        team = exchange.header(TEAM_HEADER) or ""
        log.info(
            "refused",
            reason=refusal.reason.value,
            ending=refusal.ending.value,
            detail=refusal.message,
        )
        if refusal.reason is Reason.CALLER_GONE:
            exchange.note_streamed()
            return  # nobody was refused anything
        rules_offset = self._parts.rules.current().offset
        self._parts.trail.note(
            request_id,
            refusal.reason.value,
            rules_offset,
            detail=refusal.message,
        )
        self._parts.refusals.write(
            RefusedRequest(
                request_id=request_id,
                team=team,
                time_ms=int(time.time() * 1000),
                refusal=refusal,
                rules_offset=rules_offset,
                backend_server="",
            )
        )
        if exchange.is_answered():
            return  # a stream ended with its own error event
        others = [
            address
            for address in self._entries(team)
            if address != self._parts.own_address
        ]
        entries = others if refusal.ending is Ending.NOT_RUN else []
        exchange.send(
            status_line(refusal),
            error_body(refusal, request_id, entries),
            headers=[
                ERROR_HEADER,
                (REQUEST_ID_HEADER, request_id),
                *retry_headers(refusal),
            ],
        )
