"""What the servers of a service usually take at a load."""

import collections
import statistics
from typing import NamedTuple

# Loads that are told apart for each number of requests that a server runs at
# once, and the largest one.
BUCKETS_PER_SLOTS = 4
MAX_BUCKET = 12
# A time is compared with the median of so many at least, of so many at most.
MIN_TIMES = 5
MAX_TIMES = 31
# Bounds the memory of services and routes that are gone.
MAX_KINDS = 500


class Work(NamedTuple):
    """What servers did for a time.

    Attributes:
        service: Service of the server.
        kind: Which work of the service; times of one kind are comparable.
        load_share: Requests at the server, as a share of those that it runs at
            once.
    """

    service: str
    kind: str
    load_share: float


class UsualTimes:
    """The median of the latest times of each kind of work, by load."""

    def __init__(self) -> None:
        """Knows no time yet."""
        self._times_s: dict[tuple[str, str, int], collections.deque[float]] = {}

    def compare(self, work: Work, took_s: float) -> float | None:
        """Adds a time; returns its ratio to those before.

        None if there were too few.
        """
        bucket = min(int(BUCKETS_PER_SLOTS * work.load_share), MAX_BUCKET)
        key = work.service, work.kind, bucket
        times_s = self._times_s.pop(key, None)
        if times_s is None:
            times_s = collections.deque(maxlen=MAX_TIMES)
        while len(self._times_s) >= MAX_KINDS:
            del self._times_s[next(iter(self._times_s))]
        self._times_s[key] = times_s
        ratio = None
        if len(times_s) >= MIN_TIMES:
            ratio = took_s / max(statistics.median(times_s), 1e-6)
        times_s.append(took_s)
        return ratio
