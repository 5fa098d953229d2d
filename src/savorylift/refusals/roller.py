"""Thread that rolls the account up on one node at a time."""

import threading

import structlog
from returns.result import Failure

from savorylift.identity import NodeRef
from savorylift.log_service.log import Log
from savorylift.peers.view import RosterSource
from savorylift.refusals.roll_up import RollUpCfg, roll_up
from savorylift.rendezvous import rank

CHECK_INTERVAL_S = 300.0

_log = structlog.get_logger()


class RollUpThread(threading.Thread):
    """Runs `roll_up` from time to time if this node ranks first.

    Which node that is saves work only: roll-ups of several nodes agree.
    """

    def __init__(
        self,
        me: NodeRef,
        log: Log,
        roster: RosterSource,
        cfg: RollUpCfg,
        interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        """Waits `interval_s` before the first run."""
        super().__init__(name="refusals-roll-up", daemon=True)
        self._me = me
        self._log = log
        self._roster = roster
        self._cfg = cfg
        self._interval_s = interval_s
        self._stop_event = threading.Event()

    def run(self) -> None:
        """Rolls up until stopped."""
        while not self._stop_event.wait(self._interval_s):
            if not self._is_first():
                continue
            result = roll_up(self._log, self._cfg)
            if isinstance(result, Failure):
                cause = result.failure().message
                _log.info("refusals_roll_up_failed", cause=cause)

    def stop(self) -> None:
        """Ends the thread after its current run."""
        self._stop_event.set()

    def _is_first(self) -> bool:
        members = self._roster.current().members
        order = rank("refusals-roll-up", members)
        return not order or order[0] == self._me.vm
