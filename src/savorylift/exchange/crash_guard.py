"""Keeps requests that crash engines away from them."""

import time
from collections.abc import Callable, Collection

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.request_quarantine import Parts, RequestQuarantine
from savorylift.exchange import metrics
from savorylift.exchange.crash_probe import CrashProbe, LostAnswer
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.request_traits import RequestTraits
from savorylift.exchange.results import (
    Answered,
    Broken,
    NotRun,
    Refused,
    SendResult,
    Unsure,
)
from savorylift.exchange.run import EVENTS_TO_SURVIVE, Run
from savorylift.fleet.membership import Membership
from savorylift.fleet.state import QuarantineNews
from savorylift.outcomes import Reason

_log = structlog.get_logger()


class CrashGuard:
    """Observes how engines fare with requests, and stops those that crash them.

    Attributes:
        on_quarantine: Called with the parts of prompts that a new quarantine
            is for; requests in progress that have all of one must be stopped.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        membership: Membership,
        limit_gate: LimitGate,
        announce: Callable[[], None],
    ) -> None:
        """Creates a guard.

        Args:
            quarantine: Decides which requests are stopped.
            membership: The other nodes.
            limit_gate: Holds the limits that engines name.
            announce: Schedules a message to the other nodes.
        """
        self._quarantine = quarantine
        self._membership = membership
        self._announce = announce
        self._probe = CrashProbe(limit_gate, self._record_crash)
        self.on_quarantine: Callable[[Collection[Parts]], None] = _ignore

    def refuse(self, run: Run) -> Refused | None:
        """Returns the refusal of a request that must not be sent, if so."""
        self.update()
        now_s = time.monotonic()
        live = self._membership.live_peers(now_s)
        found = self._quarantine.find(
            run.traits.prompt_parts, (peer.state.ip for peer in live)
        )
        if found is None:
            return None
        _log.info(
            "request_quarantined",
            request=run.attempt_id,
            parts=sorted(found.parts),
            quarantine_age_s=round(now_s - found.since_s, 3),
        )
        message = "Requests with this prompt crash engines; it did not run."
        return Refused(503, Reason.QUARANTINED, message, found.until_s - now_s)

    def record_event(self, run: Run) -> None:
        """Records that an event of a run was relayed."""
        if run.relayed_events == EVENTS_TO_SURVIVE:
            self._record_start(run)

    def record_result(
        self, run: Run, result: NotRun | Answered | Broken | None
    ) -> None:
        """Records how sending a run to an engine ended; None for complete."""
        if result is None and not run.has_survived_start:
            self._record_start(run)
        if (
            isinstance(result, Broken)
            and result.reason is Reason.ANSWER_LOST
            and run.server is not None
        ):
            lost = LostAnswer(
                run.traits,
                run.assigned_s,
                time.monotonic(),
                had_begun=run.has_survived_start,
            )
            self._probe.start(run.server, lost)

    def record_call(
        self,
        server: BackendServer,
        traits: RequestTraits,
        sent_s: float,
        result: SendResult,
    ) -> None:
        """Records how sending a plain call to a server ended.

        Args:
            server: The server.
            traits: Traits of the call.
            sent_s: Monotonic time at which it was sent.
            result: How it ended.
        """
        if isinstance(result, Unsure) and result.reason is Reason.ANSWER_LOST:
            lost = LostAnswer(traits, sent_s, time.monotonic())
            self._probe.start(server, lost)

    def update(self) -> None:
        """Stops requests that the crashes known by now suffice to suspect."""
        begun = self._quarantine.update()
        if begun:
            self._apply(begun, source="crashes")
            self._announce()

    def merge(self, news: QuarantineNews) -> None:
        """Applies what another node has reported."""
        self._apply(self._quarantine.merge(news), source="peer")

    def news(self) -> QuarantineNews:
        """Returns what the other nodes should know."""
        return self._quarantine.news()

    def _record_start(self, run: Run) -> None:
        if self._quarantine.record_start(run.traits.prompt_parts):
            self._announce()

    def _record_crash(self, server_id: str, lost: LostAnswer) -> None:
        if lost.had_begun:
            return
        self._quarantine.record_crash(server_id, lost.traits.prompt_parts)
        self._announce()

    def _apply(self, begun: Collection[Parts], source: str) -> None:
        if not begun:
            return
        for parts in begun:
            metrics.QUARANTINES.inc()
            _log.warning("quarantine", parts=sorted(parts), source=source)
        self.on_quarantine(begun)


def _ignore(_begun: Collection[Parts]) -> None:
    """Default callback for new quarantines."""
