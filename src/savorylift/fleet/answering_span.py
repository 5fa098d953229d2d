"""Times in which the store answered the nodes without an outage."""

from collections.abc import Iterable
from typing import NamedTuple

from savorylift.fleet.membership import Membership

# Between readings that are this close there was no outage in which entries
# expire (`store_outage.OUTAGE_S`), even if one was told a little late.
JOIN_GAP_S = 0.8


class AnsweringSpan(NamedTuple):
    """A time in which the store answered, with no outage in between.

    Attributes:
        era: How often the store had come back from a copy by then.
        since_s: Monotonic time of the first reading.
        until_s: Monotonic time of the last reading.
    """

    era: int
    since_s: float
    until_s: float

    def reaches(self, time_s: float) -> bool:
        """Whether there was no outage from its end to a reading then."""
        return self.until_s >= time_s - JOIN_GAP_S

    def joined(self, others: Iterable["AnsweringSpan"]) -> "AnsweringSpan":
        """Returns this span, begun as early as overlapping ones of its era."""
        since_s = self.since_s
        latest_first = sorted(others, key=lambda s: s.until_s, reverse=True)
        for other in latest_first:
            if other.era == self.era and other.reaches(since_s):
                since_s = min(since_s, other.since_s)
        return self._replace(since_s=since_s)


def told_spans(
    members: Membership, now_s: float, heard_since_s: float
) -> list[AnsweringSpan]:
    """Returns the spans that the readers among the live peers told.

    Args:
        members: The other nodes.
        now_s: Monotonic time.
        heard_since_s: Monotonic time; what was received before isn't used.
    """
    spans = []
    for peer in members.live_recent_readers(now_s):
        up_age_s = peer.state.store_up_age_s
        read_age_s = peer.state.servers_reading_age_s
        if up_age_s is None or read_age_s is None:
            continue
        if peer.received_s < heard_since_s:
            continue
        spans.append(
            AnsweringSpan(
                peer.state.store_era,
                peer.received_s - up_age_s,
                peer.received_s - read_age_s,
            )
        )
    return spans
