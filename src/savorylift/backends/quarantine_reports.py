"""What nodes tell each other of the quarantines in force."""

from collections.abc import Collection

from savorylift.backends.quarantine import Quarantine
from savorylift.fleet.quarantine_news import QuarantinedParts

# Quarantines that begin are told at once, again and again for this long.
NEWS_S = 10.0
MAX_QUARANTINES_SENT = 32


class QuarantineReports:
    """Chooses which quarantines go into the next message."""

    def __init__(self) -> None:
        """Starts without messages."""
        # Number of older quarantines that were sent, so that all have a turn.
        self._sent_count = 0

    def next_reports(
        self, known: Collection[Quarantine], now_s: float
    ) -> tuple[QuarantinedParts, ...]:
        """Returns the newest quarantines, and some of the others in turn.

        Args:
            known: The quarantines in force, in the order of their beginnings.
            now_s: Monotonic time.
        """
        return tuple(
            QuarantinedParts(
                tuple(sorted(item.traits)),
                now_s - item.since_s,
                item.until_s - now_s,
            )
            for item in self._choose(known, now_s)
        )

    def _choose(
        self, known: Collection[Quarantine], now_s: float
    ) -> list[Quarantine]:
        new = [item for item in known if now_s - item.since_s < NEWS_S]
        old = [item for item in known if now_s - item.since_s >= NEWS_S]
        room = MAX_QUARANTINES_SENT - len(new)
        if room <= 0 or len(old) <= room:
            return [*new[-MAX_QUARANTINES_SENT:], *old[: max(room, 0)]]
        start = self._sent_count % len(old)
        self._sent_count += room
        return [*new, *(old[start:] + old[:start])[:room]]
