"""Keeps requests that crash servers away from them."""

import time
from collections.abc import Callable, Collection, Iterator

import structlog

from savorylift.backends.quarantine import QuarantinedTraits
from savorylift.backends.registry import BackendServer
from savorylift.backends.request_quarantine import RequestQuarantine
from savorylift.exchange import metrics
from savorylift.exchange.crash_probe import CrashProbe, LostAnswer
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
from savorylift.fleet.quarantine_news import QuarantineNews
from savorylift.outcomes import Reason

OnQuarantine = Callable[[Collection[QuarantinedTraits]], None]

_log = structlog.get_logger()


class CrashGuard:
    """Observes how servers fare with requests, and stops those that crash them.

    Attributes:
        on_quarantine: Each is called with the traits that new quarantines are
            for; requests in progress that have all of one must be stopped.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        membership: Membership,
        announce: Callable[[], None],
    ) -> None:
        """Creates a guard.

        Args:
            quarantine: Decides which requests are stopped.
            membership: The other nodes.
            announce: Schedules a message to the other nodes.
        """
        self._quarantine = quarantine
        self._membership = membership
        self._announce = announce
        self._probe = CrashProbe(self._record_crash)
        self.on_quarantine: list[OnQuarantine] = []

    def refuse(self, traits: RequestTraits) -> Refused | None:
        """Returns the refusal of a request that must not be sent, if so."""
        self.update()
        found = self._quarantine.find(traits.all, self._live_ips())
        if found is None:
            return None
        now_s = time.monotonic()
        _log.info(
            "request_quarantined",
            request=traits.attempt_id,
            traits=sorted(found.traits),
            quarantine_age_s=round(now_s - found.since_s, 3),
        )
        message = "Requests like this one crash servers; it did not run."
        return Refused(503, Reason.QUARANTINED, message, found.until_s - now_s)

    def may_repeat(self, traits: RequestTraits) -> bool:
        """Whether a request may be sent again after it has failed."""
        is_allowed = self._quarantine.may_repeat(traits.all)
        if not is_allowed:
            _log.info("not_repeated", request=traits.attempt_id)
        return is_allowed

    def record_event(self, run: Run) -> None:
        """Records that an event of a run was relayed."""
        if run.engine_events == EVENTS_TO_SURVIVE:
            self._record_sound(run.traits.prompt_parts)

    def record_result(
        self, run: Run, result: NotRun | Answered | Broken | None
    ) -> None:
        """Records how sending a run to an engine ended; None for complete."""
        if result is None and not run.has_survived_start:
            self._record_sound(run.traits.prompt_parts)
        if result is None or isinstance(result, Answered):
            self._record_sound(run.traits.ids)
        if not isinstance(result, Broken):
            return
        if result.reason is Reason.ANSWER_LOST and run.server is not None:
            self._probe.start(run.server, _lost_answer(run))
        if result.reason is Reason.DEADLINE:
            self.record_given_up(run)

    def record_given_up(self, run: Run) -> None:
        """Records that a run was given up, before its engine ended it."""
        if run.server is not None and not run.has_survived_start:
            self._probe.watch(run.server, _lost_answer(run))

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
        if isinstance(result, Answered):
            self._record_sound(traits.ids)
        if isinstance(result, Unsure) and result.reason is Reason.ANSWER_LOST:
            lost = LostAnswer(traits, sent_s, time.monotonic())
            self._probe.start(server, lost)
        if isinstance(result, Unsure) and result.reason is Reason.DEADLINE:
            self.record_call_given_up(server, traits, sent_s)

    def record_call_given_up(
        self, server: BackendServer, traits: RequestTraits, sent_s: float
    ) -> None:
        """Records that a plain call was given up, before its server ended it.

        Args:
            server: The server.
            traits: Traits of the call.
            sent_s: Monotonic time at which it was sent.
        """
        lost = LostAnswer(traits, sent_s, time.monotonic())
        self._probe.watch(server, lost)

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

    def _live_ips(self) -> Iterator[str]:
        """Yields the addresses of the other nodes; found only when asked."""
        for peer in self._membership.live_peers(time.monotonic()):
            yield peer.state.ip

    def _record_sound(self, traits: tuple[str, ...]) -> None:
        if self._quarantine.record_sound(traits):
            self._announce()

    def _record_crash(self, server_id: str, lost: LostAnswer) -> None:
        # A part of a prompt that crashes engines does so at the beginning.
        traits = lost.traits.ids if lost.had_begun else lost.traits.all
        self._quarantine.record_crash(
            server_id, traits, lost.sent_s, lost.lost_s
        )
        self._announce()

    def _apply(self, begun: Collection[QuarantinedTraits], source: str) -> None:
        if not begun:
            return
        for traits in begun:
            metrics.QUARANTINES.inc()
            _log.warning("quarantine", traits=sorted(traits), source=source)
        for listener in self.on_quarantine:
            listener(begun)


def _lost_answer(run: Run) -> LostAnswer:
    return LostAnswer(
        run.traits,
        run.assigned_s,
        time.monotonic(),
        had_begun=run.has_survived_start,
    )


def is_quarantined(
    traits: RequestTraits, begun: Collection[QuarantinedTraits]
) -> bool:
    """Whether a request has all traits of one of the quarantines."""
    return any(quarantined.issubset(traits.all) for quarantined in begun)
