"""Hands requests over to other nodes while this one reaches no server.

The other node serves such a request like any other: it admits it anew, with the
time that is left. It hands it on to nobody.
"""

import asyncio
import random
import time
from typing import Protocol

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.results import Refused
from savorylift.exchange.server_reach import ServerReach
from savorylift.fleet.caller_choice import find_reaching
from savorylift.fleet.membership import Membership
from savorylift.front.relay_headers import RELAYED
from savorylift.front.relayed_answer import (
    Lost,
    NotTaken,
    Passed,
    log_outcome,
    lost_refusal,
    pass_on,
    pass_whole,
)
from savorylift.outcomes import Reason
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import (
    Headers,
    Request,
    Response,
    end_to_end_headers,
)
from savorylift.wire.purpose import Purpose
from savorylift.wire.server_connection import ServerConnection

MAX_NODES = 3
CONNECT_TIMEOUT_S = 0.25
# The other node answers at the deadline; its answer has yet to arrive.
DEADLINE_SLACK_S = 0.2
UNREACHED_RETRY_S = 1.0
# For how long the nodes that reach a service are not looked up again.
CACHE_S = 0.1


class TimeLeftEncoder(Protocol):
    """Encodes how long a caller still waits, as a header."""

    def encode_time_left(self, time_left_s: float) -> tuple[str, str]:
        """Returns the header."""
        ...


class NodeRelay:
    """Chooses the nodes to hand requests over to, and passes answers on."""

    def __init__(
        self,
        peer_port: int,
        membership: Membership,
        reach: ServerReach,
        time_left: TimeLeftEncoder,
        rng: random.Random,
    ) -> None:
        """Creates a relay without requests.

        Args:
            peer_port: Port for requests between nodes, the same on all.
            membership: The other nodes.
            reach: Which services this node doesn't reach.
            time_left: Encodes the time that is left for a request.
            rng: Spreads the requests over the nodes.
        """
        self._peer_port = peer_port
        self._membership = membership
        self._reach = reach
        self._time_left = time_left
        self._rng = rng
        # Requests under way, by the address of the node that serves them.
        self._open: dict[str, int] = {}
        # Nodes by service and regions, until a monotonic time.
        self._cached: dict[tuple[str, frozenset[str] | None], list[str]] = {}
        self._cached_until_s = 0.0

    def is_needed(self, admitted: AdmittedRequest) -> bool:
        """Whether another node must serve a request, and one can."""
        if not self._reach.is_cut_off(admitted.service.name):
            return False
        return bool(self._candidates(admitted))

    async def serve(
        self, conn: ServerConnection, req: Request, admitted: AdmittedRequest
    ) -> Refused | None:
        """Hands a request over and passes the answer on to its caller.

        Returns:
            The refusal if no node serves it; None if the caller has an answer.
        """
        tried: set[str] = set()
        lost: Lost | None = None
        refusal: Response | None = None
        may_repeat = admitted.is_idempotent and admitted.route.max_attempts > 1
        for _ in range(MAX_NODES):
            ip = self._choose(admitted, tried)
            if ip is None:
                break
            tried.add(ip)
            outcome = await self._serve_at(ip, conn, req, admitted)
            log_outcome(admitted, ip, outcome)
            if isinstance(outcome, Passed):
                return None
            if isinstance(outcome, NotTaken):
                refusal = outcome.refusal or refusal
                continue
            lost = outcome
            if not conn.awaits_response:
                # Without its end, the caller can tell that it is incomplete.
                conn.is_closing = True
                conn.channel.close()
                return None
            if not may_repeat or lost.reason is Reason.DEADLINE:
                break
            may_repeat = False
        if lost is not None:
            return lost_refusal(lost)
        if refusal is not None:
            pass_whole(conn, refusal)
            return None
        message = "This node reaches no backend server; it did not run."
        reason = Reason.NO_BACKEND_SERVER
        return Refused(503, reason, message, UNREACHED_RETRY_S)

    def _candidates(self, admitted: AdmittedRequest) -> list[str]:
        """Returns the nodes that reach the service, as of a moment ago."""
        key = admitted.service.name, admitted.regions
        now_s = time.monotonic()
        if now_s >= self._cached_until_s:
            self._cached_until_s = now_s + CACHE_S
            self._cached.clear()
        if key not in self._cached:
            live = self._membership.live_peers(now_s)
            states = (peer.state for peer in live)
            self._cached[key] = find_reaching(states, *key)
        return self._cached[key]

    def _choose(self, admitted: AdmittedRequest, tried: set[str]) -> str | None:
        """Returns the less busy of two nodes drawn at random."""
        found = self._candidates(admitted)
        candidates = [ip for ip in found if ip not in tried]
        if not candidates:
            return None
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda ip: self._open.get(ip, 0))

    async def _serve_at(
        self,
        ip: str,
        conn: ServerConnection,
        req: Request,
        admitted: AdmittedRequest,
    ) -> Passed | NotTaken | Lost:
        try:
            channel = await connect(
                ip, self._peer_port, CONNECT_TIMEOUT_S, Purpose.RELAY
            )
        except OSError as exc:
            return NotTaken(f"{type(exc).__name__}: {exc}")
        call = ClientCall(channel)
        self._open[ip] = self._open.get(ip, 0) + 1
        try:
            until_s = admitted.deadline_s + DEADLINE_SLACK_S
            async with asyncio.timeout_at(until_s):
                call.send(
                    req.method,
                    req.target,
                    self._headers(req, admitted),
                    req.body,
                )
                return await pass_on(call, conn)
        except TimeoutError:
            return Lost(Reason.DEADLINE, "no whole answer in time")
        except BrokenAnswerError as exc:
            return Lost(Reason.ANSWER_LOST, str(exc))
        finally:
            call.close()
            self._open[ip] -= 1
            if not self._open[ip]:
                del self._open[ip]

    def _headers(self, req: Request, admitted: AdmittedRequest) -> Headers:
        time_left_s = admitted.deadline_s - time.monotonic()
        name, value = self._time_left.encode_time_left(time_left_s)
        kept = tuple(
            item for item in end_to_end_headers(req.headers) if item[0] != name
        )
        return (*kept, (name, value), *RELAYED)
