"""A node's life: start, service, graceful leave and end."""

import threading
import time
from collections.abc import Callable

import structlog
from prometheus_client import Gauge
from returns.result import Failure, Result, Success

from savorylift.composition import Parts, build_faces
from savorylift.entry.node_state import Phase
from savorylift.entry.operator_face import OperatorParts
from savorylift.node_status import describe
from savorylift.refusals.request import answer as answer_report

JOIN_TIMEOUT_S = 2.0
JOIN_RETRY_S = 0.2
SHARES_TIMEOUT_S = 5.0
FLUSH_TIMEOUT_S = 5.0
POLL_S = 0.05

log = structlog.get_logger()
IN_FLIGHT = Gauge("savorylift_in_flight", "Callers' requests being served.")


class Node:
    """Starts and ends the parts of one node in the right order."""

    def __init__(self, parts: Parts) -> None:
        """Takes parts that are built and not started."""
        self._parts = parts
        self._stopping = threading.Event()
        operator_parts = OperatorParts(
            is_ready=self.is_ready,
            status=lambda: describe(parts),
            submit_order=parts.agreement.rules.submit,
            order_state=parts.agreement.rules.order_state,
            report=lambda wanted: answer_report(parts.agreement.log, wanted),
            trail=parts.views.trail,
            keys=parts.cfg.operator_keys,
        )
        self._callers, self._operators = build_faces(parts, operator_parts)

    def start(self) -> Result[None, str]:
        """Opens the listeners and starts every thread.

        Returns:
            The cause if a listener can't be opened.
        """
        cfg, agreement, work = (
            self._parts.cfg,
            self._parts.agreement,
            self._parts.work,
        )
        for listener, address in (
            (self._operators, cfg.operator_listen),
            (self._callers, cfg.caller_listen),
        ):
            cause = listener.start()
            if cause is not None:
                return Failure(f"{address}: {cause}")
        linked = agreement.link.start()
        if isinstance(linked, Failure):
            return Failure(f"{cfg.peer_listen}: {linked.failure()}")
        work.relay.start()
        work.cleaner.start()
        agreement.rules.start()
        agreement.peers.start()
        work.load_poller.start()
        work.claims.start()
        work.refusals.start()
        work.roll_up.start()
        IN_FLIGHT.set_function(self._parts.views.state.in_flight)
        log.info("started", incarnation=self._parts.ref.incarnation)
        return Success(None)

    def serve(self) -> None:
        """Joins the roster and serves until `begin_shutdown`."""
        while not self._stopping.is_set():
            joined = self._parts.agreement.membership.join(JOIN_TIMEOUT_S)
            if isinstance(joined, Success):
                break
            log.warning("not on the roster yet", cause=joined.failure())
            self._stopping.wait(JOIN_RETRY_S)
        while not self._stopping.is_set() and not self._may_serve():
            self._stopping.wait(POLL_S)
        if not self._stopping.is_set():
            self._parts.views.state.enter(Phase.SERVING)
            log.info("serving", rules=self._parts.views.rules.current().version)
        self._stopping.wait()

    def begin_shutdown(self) -> None:
        """Ends `serve`; safe in a signal handler."""
        self._stopping.set()

    def drain(self) -> None:
        """Leaves the roster without cutting a request short."""
        timing, state = self._parts.cfg.timing, self._parts.views.state
        membership, work = self._parts.agreement.membership, self._parts.work
        state.enter(Phase.LEAVING)
        began = membership.begin_leave(JOIN_TIMEOUT_S)
        log.info("leaving", on_roster=isinstance(began, Success))
        time.sleep(timing.entry_ttl_s)
        state.enter(Phase.DRAINING)
        is_idle = state.wait_idle(timing.drain_s or None)
        log.info("drained", whole=is_idle)
        _wait_for(lambda: work.cleaner.pending() == 0, FLUSH_TIMEOUT_S)
        work.claims.flush(FLUSH_TIMEOUT_S)
        work.refusals.flush(FLUSH_TIMEOUT_S)
        _wait_for(lambda: not work.gate.kept_servers(), SHARES_TIMEOUT_S)
        membership.end_leave(JOIN_TIMEOUT_S)

    def stop(self) -> None:
        """Ends every thread; streams still running end with an error."""
        agreement, work = self._parts.agreement, self._parts.work
        agreement.membership.cancel()
        work.relay.stop()
        self._callers.stop()
        work.cleaner.stop()
        work.roll_up.stop()
        work.refusals.stop()
        work.claims.stop()
        work.load_poller.stop()
        work.gate.stop()
        agreement.peers.stop()
        agreement.rules.stop()
        agreement.link.stop()
        self._operators.stop()
        log.info("stopped")

    def is_ready(self) -> bool:
        """Returns True while the node takes new work."""
        is_serving = self._parts.views.state.phase is Phase.SERVING
        return is_serving and self._may_serve()

    def _may_serve(self) -> bool:
        guard = self._parts.agreement.peers.guard
        return isinstance(guard.may_dispatch(), Success)


def _wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline_s:
            return False
        time.sleep(POLL_S)
    return True
