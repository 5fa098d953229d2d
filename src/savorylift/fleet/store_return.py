"""When the store returned from an outage, by the readings of all nodes."""

import time
from collections.abc import Callable, Iterable

import structlog

from savorylift.backends.registry import GRACE_PERIOD_S, Registry
from savorylift.fleet.answering_span import AnsweringSpan
from savorylift.fleet.store_outage import OTHERS_OUTAGE_S

# A process that comes to `correct` so late stood still. What others told it
# meanwhile is read now, and tells ages as of then.
STOOD_STILL_S = 0.6
# Returns that are told this much earlier than seen are the same one.
SAME_RETURN_S = 0.1
# Messages from then are read within this time.
BACKLOG_S = 0.5

# Returns what others told since a monotonic time.
ToldSpans = Callable[[float], Iterable[AnsweringSpan]]

_log = structlog.get_logger()


class StoreReturn:
    """Begins the grace period of lapsed entries, and dates it back.

    A node that was cut off or stood still sees the end of an outage later than
    the others, or sees one where there was none. Which time the store has
    answered for, others tell; while none does, that isn't known, and the
    period counts from what this node saw.

    Attributes:
        era: Era of the store in this node's last reading.
    """

    def __init__(
        self,
        registry: Registry,
        others_spans: ToldSpans,
        known_era: Callable[[], int],
    ) -> None:
        """Starts without a reading.

        Args:
            registry: Keeps the servers whose entries lapsed.
            others_spans: Returns the spans that other nodes told.
            known_era: Returns the era of the store that the entries are from.
        """
        self._registry = registry
        self._others_spans = others_spans
        self._known_era = known_era
        self._span: AnsweringSpan | None = None
        self.era = 0
        # The end of an outage that this node saw last.
        self._seen_s: float | None = None
        self._ran_s: float | None = None
        self._trusted_since_s = float("-inf")

    def note_reading(self, era: int) -> None:
        """Notes a reading by this node, before its records are applied."""
        now_s = time.monotonic()
        self._note_running(now_s)
        self.era = era
        span = self._span
        if (
            span is None
            or span.era != era
            or now_s - span.until_s > OTHERS_OUTAGE_S
        ):
            span = AnsweringSpan(era, now_s, now_s)
        self._span = span._replace(until_s=now_s).joined(self._told())
        self.correct()

    def note_return(self, ended_s: float) -> None:
        """Begins a grace period at the end of an outage (monotonic time)."""
        span = self._span
        if span is not None and ended_s > span.since_s:
            self._span = (
                None
                if ended_s > span.until_s
                else span._replace(since_s=ended_s)
            )
        self._seen_s = ended_s
        self._registry.start_grace_period(ended_s)

    def correct(self) -> None:
        """Dates the return back if others know better; to be called often."""
        now_s = time.monotonic()
        self._note_running(now_s)
        seen_s = self._seen_s
        if seen_s is None:
            return
        if now_s > seen_s + GRACE_PERIOD_S:
            self._seen_s = None
            return
        returned_s = self._find_earlier(seen_s)
        if returned_s is None:
            return
        self._seen_s = returned_s
        self._registry.date_grace_period_back(returned_s)
        _log.info(
            "store_return_dated_back",
            by_ms=round((seen_s - returned_s) * 1000),
        )

    def up_age_s(self, now_s: float) -> float | None:
        """Returns for how long the store has answered; None if not known."""
        return None if self._span is None else now_s - self._span.since_s

    def _find_earlier(self, seen_s: float) -> float | None:
        """Returns since when the store had answered by a time, if earlier."""
        era = max(self._known_era(), self.era)
        spans = [span for span in self._told() if span.era >= era]
        if self._span is not None:
            spans.append(self._span)
        joined_s = [
            span.joined(spans).since_s for span in spans if span.reaches(seen_s)
        ]
        returned_s = min(joined_s, default=seen_s)
        return returned_s if returned_s < seen_s - SAME_RETURN_S else None

    def _told(self) -> Iterable[AnsweringSpan]:
        return self._others_spans(self._trusted_since_s)

    def _note_running(self, now_s: float) -> None:
        if self._ran_s is not None and now_s - self._ran_s > STOOD_STILL_S:
            self._trusted_since_s = now_s + BACKLOG_S
        self._ran_s = now_s
