"""Ends generations that nobody waits for any more, and frees their permits."""

import heapq
import itertools
import threading
import time
from typing import NamedTuple

import structlog
from returns.result import Failure, Success

from savorylift.permits.gate import Permit, PermitGate, PermitUse
from savorylift.rules.view import RulesSource
from savorylift.streams.engine_control import CancelOutcome, EngineControl

RETRY_S = 0.5
MAX_RETRY_S = 8.0
AVOID_S = 2.0
SETTLE_S = 2.0  # a request on a lost connection may still reach the engine

log = structlog.get_logger()


class Remnant(NamedTuple):
    """A generation to end.

    Attributes:
        permit: Permit it runs under; freed once the engine has stopped.
        generation_id: Identifier at the engine.
        dispatched_s: `time.monotonic()` when the engine was asked for it.
        output_tokens: Tokens it has produced, as far as known.
    """

    permit: Permit
    generation_id: str
    dispatched_s: float
    output_tokens: int


class Cleaner:
    """Cancels remnants on a thread, again and again until it is certain."""

    def __init__(
        self, gate: PermitGate, rules: RulesSource, control: EngineControl
    ) -> None:
        """Prepares the thread; `start` runs it."""
        self._gate = gate
        self._rules = rules
        self._control = control
        self._due: list[tuple[float, int, float, Remnant]] = []
        self._numbers = itertools.count()
        self._avoided_until_s: dict[str, float] = {}
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="cleaner")
        self._thread.daemon = True

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread; remnants are left to the keepers."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        self._thread.join()

    def pending(self) -> int:
        """Returns the number of remnants not yet ended."""
        with self._changed:
            return len(self._due)

    def end(self, remnant: Remnant, after_s: float = 0.0) -> None:
        """Ends a generation, unless its permit is taken over before.

        Args:
            remnant: The generation.
            after_s: Delay that gives the caller time to resume it.
        """
        self._put(remnant, after_s, RETRY_S)

    def forget(self, generation_id: str) -> None:
        """Leaves a generation alone, since its caller has come back."""
        with self._changed:
            self._due = [
                item
                for item in self._due
                if item[-1].generation_id != generation_id
            ]
            heapq.heapify(self._due)

    def _put(self, remnant: Remnant, after_s: float, retry_s: float) -> None:
        due_s = time.monotonic() + after_s
        with self._changed:
            item = (due_s, next(self._numbers), retry_s, remnant)
            heapq.heappush(self._due, item)
            self._changed.notify()

    def _run(self) -> None:
        while (taken := self._next_due()) is not None:
            retry_s, remnant = taken
            if not self._gate.is_held(remnant.permit):
                continue
            if self._is_avoided(remnant):
                self._put(remnant, retry_s, retry_s)
                continue
            if self._is_stopped_there(remnant):
                self._gate.release(remnant.permit, _use(remnant))
                continue
            self._put(remnant, retry_s, min(retry_s * 2, MAX_RETRY_S))

    def _next_due(self) -> tuple[float, Remnant] | None:
        """Waits for the next remnant that is due; None when stopping."""
        with self._changed:
            while not self._is_stopping:
                if not self._due:
                    self._changed.wait()
                    continue
                wait_s = self._due[0][0] - time.monotonic()
                if wait_s <= 0:
                    _, _, retry_s, remnant = heapq.heappop(self._due)
                    return retry_s, remnant
                self._changed.wait(wait_s)
        return None

    def _is_avoided(self, remnant: Remnant) -> bool:
        """Returns True while the engine has just failed to answer.

        Asking it for each of its generations would hold up all others.
        """
        name = remnant.permit.backend_server
        return time.monotonic() < self._avoided_until_s.get(name, 0.0)

    def _is_stopped_there(self, remnant: Remnant) -> bool:
        servers = self._rules.current().backend_servers
        server = servers.get(remnant.permit.backend_server)
        if server is None:
            return True  # no longer ours to protect
        outcome = self._control.cancel(server.address, remnant.generation_id)
        match outcome:
            case Success(CancelOutcome.STOPPED):
                return True
            case Success(CancelOutcome.UNKNOWN_THERE):
                return time.monotonic() - remnant.dispatched_s > SETTLE_S
            case Failure(cause):
                until_s = time.monotonic() + AVOID_S
                self._avoided_until_s[server.name] = until_s
                log.warning(
                    "cancel failed",
                    backend_server=server.name,
                    generation=remnant.generation_id,
                    cause=cause,
                )
        return False


def _use(remnant: Remnant) -> PermitUse:
    return PermitUse(
        finished=True,
        completed=False,
        first_token_s=None,
        output_tokens=remnant.output_tokens,
        overloaded=False,
        incarnation=None,
    )
