"""What a keeper learns of a backend server's state."""

from typing import NamedTuple

from savorylift.permits.co_keepers import CoKeepers
from savorylift.permits.messages import ColdFall, ServerState
from savorylift.permits.share import Share
from savorylift.permits.tally import Tally
from savorylift.permits.warmth import Warmth


class LoadReport(NamedTuple):
    """Content of a backend server's load report.

    Attributes:
        asked_s: `time.monotonic()` when the report was asked for.
        incarnation: Backend server's incarnation.
        cold: True if it says that it is cold.
        leaving: True if it says that it is leaving.
        active: Requests that it runs or has queued.
    """

    asked_s: float
    incarnation: str
    cold: bool
    leaving: bool
    active: int


class Evidence:
    """Applies signs of cold and of restarts, and tells the other keepers."""

    def __init__(
        self,
        share: Share,
        warmth: Warmth,
        co_keepers: CoKeepers,
        slow_ratio: float,
        tally: Tally,
    ) -> None:
        """Takes the keeper's parts."""
        self._share = share
        self._warmth = warmth
        self._co_keepers = co_keepers
        self._slow_ratio = slow_ratio
        self._tally = tally

    def judge(
        self, incarnation: str, first_token_s: float, *, is_cold: bool
    ) -> None:
        """Applies an answer or report; a negative delay means none."""
        warmth = self._warmth
        self.see(incarnation)
        if warmth.is_past(incarnation):
            return
        is_slow = first_token_s >= 0 and warmth.is_slow(
            first_token_s, self._slow_ratio
        )
        if not (is_cold or is_slow) or warmth.is_cold:
            return
        warmth.fall("slow first token" if is_slow else "said to be cold")
        self._tell_fall()

    def see(self, incarnation: str) -> None:
        """Notes an incarnation and ends the work of those before it."""
        if self._warmth.see_incarnation(incarnation):
            self._end_past_work()
            self._tell_fall()

    def hear_fall(self, msg: ColdFall) -> None:
        """Follows another keeper's fall to cold."""
        self.see(msg.incarnation)
        if not self._warmth.is_past(msg.incarnation):
            self._warmth.fall("told by another keeper", msg.falls)

    def hear_state(self, state: ServerState) -> None:
        """Follows another keeper's window."""
        self.see(state.incarnation)
        self._warmth.merge(state.incarnation, state.falls, state.window)

    def settle(self, report: LoadReport, settled_s: float) -> None:
        """Lowers unaccounted places to what ran at `settled_s` or later."""
        for owned in self._share.lots.values():
            if settled_s >= owned.since_s:
                owned.settle(report.incarnation, report.active)

    def _end_past_work(self) -> None:
        for owned in self._share.lots.values():
            if self._warmth.is_past(owned.settled_on):
                owned.unaccounted = 0
        for permit in self._share.held():
            if self._warmth.is_past(permit.started_on):
                self._share.remove(permit.permit_id)
                self._tally.ended.labels("restart").inc()

    def _tell_fall(self) -> None:
        warmth = self._warmth
        self._tally.cold_falls.labels(warmth.cause).inc()
        name = self._share.server.name
        self._co_keepers.tell(ColdFall(name, warmth.incarnation, warmth.falls))
