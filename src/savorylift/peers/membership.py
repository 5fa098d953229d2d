"""Writes roster records and waits until they are read back."""

import threading
import time

from returns.result import Failure, Result, Success

from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.log import RULES_STREAM, Log
from savorylift.peers.records import (
    RosterBody,
    RosterGone,
    RosterJoin,
    RosterLeave,
    new_entry,
)
from savorylift.peers.view import RosterSource, RosterView

RETRY_S = 0.5
POLL_S = 0.02


class Membership:
    """Appends this node's roster records; calls block their thread.

    A lost answer is retried with the same record identifier, so that the
    record counts once however often it was appended.
    """

    def __init__(self, info: NodeInfo, log: Log, roster: RosterSource) -> None:
        """Prepares the records of the node `info`."""
        self._info = info
        self._log = log
        self._roster = roster
        self._stop = threading.Event()

    def join(self, timeout_s: float) -> Result[RosterView, str]:
        """Joins the roster; returns the view that shows it."""
        ref = self._info.ref
        return self._write(RosterJoin(self._info), ref, "member", timeout_s)

    def begin_leave(self, timeout_s: float) -> Result[RosterView, str]:
        """Says that a graceful shutdown has begun."""
        ref = self._info.ref
        body = RosterLeave(ref, is_done=False)
        return self._write(body, ref, "leaving", timeout_s)

    def end_leave(self, timeout_s: float) -> Result[RosterView, str]:
        """Says that this node has nothing left to do."""
        ref = self._info.ref
        body = RosterLeave(ref, is_done=True)
        return self._write(body, ref, "ended", timeout_s)

    def report_gone(
        self, ref: NodeRef, timeout_s: float
    ) -> Result[RosterView, str]:
        """Says that another node's VM has vanished."""
        body = RosterGone(ref, self._info.ref)
        return self._write(body, ref, "ended", timeout_s)

    def cancel(self) -> None:
        """Ends all waiting calls early; for a forced shutdown."""
        self._stop.set()

    def _write(
        self, body: RosterBody, ref: NodeRef, wanted: str, timeout_s: float
    ) -> Result[RosterView, str]:
        entry = new_entry(body)
        deadline_s = time.monotonic() + timeout_s
        append_at_s = time.monotonic()
        while time.monotonic() < deadline_s and not self._stop.is_set():
            state = _state_of(self._roster.current(), ref)
            if state in {wanted, "ended"}:
                break
            if time.monotonic() >= append_at_s:
                append_at_s = time.monotonic() + RETRY_S
                self._log.append(RULES_STREAM, (entry,))
            self._stop.wait(POLL_S)
        view = self._roster.current()
        state = _state_of(view, ref)
        if state == wanted:
            return Success(view)
        return Failure(f"roster shows {ref.vm} as {state}, not {wanted}")


def _state_of(view: RosterView, ref: NodeRef) -> str:
    if ref in view.ended:
        return "ended"
    if not view.is_member(ref):
        return "unknown"
    return "leaving" if view.members[ref.vm].leaving else "member"
