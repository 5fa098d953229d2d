"""Whether a node takes new work, and where callers go instead."""

import enum
import threading

from returns.result import Failure, Result, Success

from savorylift.outcomes import Reason, Refusal, not_run

STARTING_RETRY_S = 1.0
DRAINING_RETRY_S = 0.1  # other nodes take the request at once


class Phase(enum.StrEnum):
    """Phase of a node's life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"


class NodeState:
    """Phase of the node and its requests in flight."""

    def __init__(self) -> None:
        """Starts in the phase `STARTING` with nothing in flight."""
        self._phase = Phase.STARTING
        self._in_flight = 0
        self._changed = threading.Condition()

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    def enter(self, phase: Phase) -> None:
        """Moves to a phase; phases follow each other in order."""
        with self._changed:
            self._phase = phase
            self._changed.notify_all()

    def admit(self) -> Result[None, Refusal]:
        """Counts a request in, or returns why it is not taken."""
        with self._changed:
            if self._phase is Phase.STARTING:
                message = "the node has not read the configuration yet"
                return Failure(
                    not_run(Reason.NODE_STARTING, message, STARTING_RETRY_S)
                )
            if self._phase is Phase.DRAINING:
                message = "the node is shutting down"
                return Failure(
                    not_run(Reason.NODE_DRAINING, message, DRAINING_RETRY_S)
                )
            self._in_flight += 1
        return Success(None)

    def finish(self) -> None:
        """Counts a request out."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def in_flight(self) -> int:
        """Returns the number of requests being served."""
        with self._changed:
            return self._in_flight

    def wait_idle(self, timeout_s: float | None) -> bool:
        """Waits until nothing is in flight; False on a timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._in_flight == 0, timeout_s
            )
