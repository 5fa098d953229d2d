"""Decides when a node reads the store."""

import math
import time
from collections.abc import Callable

import structlog

from savorylift.fleet.size_scaling import scale_with_nodes

# Pause after a poll that returned records: all servers together write several
# times a second, and each answered poll is charged for. Also the interval at
# which a node that should not read checks whether it should.
POLL_PAUSE_S = 0.2
# The same for the reader that stands by, as long as the first one is heard to
# read: a change is late by this much more if that one is lost just then. Well
# below the time in which entries are taken to arrive (`process_connection`).
STANDBY_PAUSE_S = 0.5
# Delay of a reader before the next call after a failed one.
READER_RETRY_S = 0.5
# Shorter, since a node without a configuration can't serve any request.
STARTING_RETRY_S = 0.1
# For nodes that are not readers and poll because the readings of the other
# nodes are stale. It grows with the fleet: a store in need gets no more calls
# from a larger one.
FALLBACK_RETRY_S = 2.0
# A reading is stale when it is older than this plus STALE_INTERVALS of the
# intervals at which readers announce the age of their readings.
STALE_S = 1.1
STALE_INTERVALS = 2
# Readings that are older than this, and the interval of readers, may miss a
# notice: servers write several times a second, and give about 1.5 s of notice.
NOTICE_AGE_S = 0.5

# For how long a decision whether to read holds.
DECISION_S = 0.02

_log = structlog.get_logger()


class ReadPolicy:
    """Decides whether this node should read the store now."""

    def __init__(
        self,
        is_reader: Callable[[], bool],
        peers_reading_age_s: Callable[[], float | None],
        is_starting: Callable[[], bool],
        get_reader_interval_s: Callable[[], float],
        *,
        is_standby: Callable[[], bool] = lambda: False,
        peers_servers_age_s: Callable[[], float | None] = lambda: None,
        count_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        """Sets the functions that return the current state of the node.

        Args:
            is_reader: Whether this node is one of the readers.
            peers_reading_age_s: Age of the newest reading by a live peer; None
                without one.
            is_starting: Whether this node has no configuration yet.
            get_reader_interval_s: Returns the interval between the messages of
                a reader.
            is_standby: Whether this node is the reader that stands by.
            peers_servers_age_s: Age of the newest reading of the servers'
                entries by a live peer; None without one.
            count_nodes: Returns the number of live nodes.
        """
        self._is_reader = is_reader
        self._is_standby = is_standby
        self._peers_servers_age_s = peers_servers_age_s
        self._count_nodes = count_nodes
        self._peers_reading_age_s = peers_reading_age_s
        self._is_starting = is_starting
        self._get_reader_interval_s = get_reader_interval_s
        self._decided_s = float("-inf")
        self._decision = False

    @property
    def retry_s(self) -> float:
        """Delay before the next call after one that failed."""
        if self._is_starting():
            return STARTING_RETRY_S
        if self._is_reader():
            return READER_RETRY_S
        return scale_with_nodes(FALLBACK_RETRY_S, self._count_nodes())

    @property
    def pause_s(self) -> float:
        """Pause after a poll that returned records."""
        peers_age_s = self._peers_servers_age_s()
        if self._is_standby() and not self.may_miss_notices(peers_age_s):
            return STANDBY_PAUSE_S
        return POLL_PAUSE_S

    def should_read(self) -> bool:
        """Whether this node is a reader or other nodes' readings are stale.

        Both topics ask at about the same time; one answer holds for both.
        """
        now_s = time.monotonic()
        if now_s - self._decided_s > DECISION_S:
            self._decided_s = now_s
            self._decision = self._is_reader() or self.is_stale(None)
        return self._decision

    def log_decision(self, topic_name: str, *, should_read: bool) -> None:
        """Logs that this node begins or stops reading, and why."""
        _log.info(
            "reading" if should_read else "not_reading",
            topic=topic_name,
            is_reader=self._is_reader(),
            peers_reading_age_s=self._peers_reading_age_s(),
        )

    def is_stale(self, own_age_s: float | None) -> bool:
        """Whether neither this node nor another has a recent reading.

        Args:
            own_age_s: Age of this node's own reading; None to consider only
                those of the other nodes.
        """
        stale_s = STALE_S + STALE_INTERVALS * self._get_reader_interval_s()
        ages = [
            a for a in (own_age_s, self._peers_reading_age_s()) if a is not None
        ]
        return min(ages, default=stale_s + 1) > stale_s

    def others_read_s(self) -> float | None:
        """Returns when a live peer last read the servers' entries.

        A monotonic time; None without such a reading. Builds that don't tell
        it count by the age of their reading of both topics.
        """
        age_s = self._peers_servers_age_s()
        if age_s is None:
            age_s = self._peers_reading_age_s()
        return None if age_s is None else time.monotonic() - age_s

    def may_miss_notices(self, servers_age_s: float | None) -> bool:
        """Whether a server may have given a notice that nobody has read.

        Args:
            servers_age_s: Age of the newest reading of the servers' entries,
                by any node.
        """
        return self.notice_slack_s(servers_age_s) < 0

    def notice_slack_s(self, servers_age_s: float | None) -> float:
        """Returns after what time `may_miss_notices` holds without a reading.

        It is negative if that holds already.
        """
        if servers_age_s is None:
            return -math.inf
        max_age_s = NOTICE_AGE_S + self._get_reader_interval_s()
        return max_age_s - servers_age_s
