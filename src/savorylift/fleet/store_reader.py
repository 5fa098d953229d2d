"""Reads both topics of the store for a node."""

from collections.abc import Callable, Coroutine, Iterator

from savorylift.beat import wait_for_beat
from savorylift.fleet.read_policy import POLL_PAUSE_S, ReadPolicy
from savorylift.fleet.store_records import Delta, Topic
from savorylift.fleet.store_return import StoreReturn, ToldSpans
from savorylift.fleet.store_view import StoreView
from savorylift.fleet.topic_consumer import TopicConsumer
from savorylift.platform.store import SERVERS_TOPIC, StoreClient, era_of


class StoreReader:
    """Keeps a store view up to date, whenever this node should read.

    Attributes:
        store_return: When the store returned from its last outage.
    """

    def __init__(
        self,
        store: StoreClient,
        operators_topic: str,
        store_view: StoreView,
        read_policy: ReadPolicy,
        on_change: Callable[[Delta | None], None],
        on_fault: Callable[[], None],
        others_spans: ToldSpans = lambda _: (),
    ) -> None:
        """Reads nothing until `run` is called.

        Args:
            store: The store.
            operators_topic: Name of the topic of operators' records.
            store_view: The view that records are applied to.
            read_policy: Decides when to read, and how soon to retry.
            on_change: Called after each change, with the delta to send to the
                other nodes; None after a full listing.
            on_fault: Called after the first of several calls that failed.
            others_spans: Returns since when the store has answered other
                nodes, as they told since a monotonic time.
        """
        self._store_view = store_view
        self._operators = TopicConsumer(
            store,
            operators_topic,
            Topic.OPERATORS,
            store_view,
            read_policy,
            on_change,
        )
        self._servers = TopicConsumer(
            store,
            SERVERS_TOPIC,
            Topic.SERVERS,
            store_view,
            read_policy,
            on_change,
        )
        self.store_return = StoreReturn(
            store_view.registry,
            others_spans,
            lambda: era_of(store_view.servers_version[0]),
        )
        self._servers.on_reading = self._note_reading
        self._servers.on_recovery = self._note_return
        # While the store is away, calls for one topic show when it is back.
        self._operators.may_call = lambda: not self._servers.is_store_away
        self._operators.on_fault = on_fault
        self._servers.on_fault = on_fault

    def runs(self) -> Iterator[Callable[[], Coroutine[object, object, None]]]:
        """Yields what reads both topics forever, each by itself."""
        yield self._operators.run
        yield self._servers.run
        yield self._watch_return

    async def _watch_return(self) -> None:
        """Dates the store's return back as soon as others tell it."""
        while True:
            await wait_for_beat(POLL_PAUSE_S)
            self.store_return.correct()

    def _note_reading(self, position: int) -> None:
        self.store_return.note_reading(era_of(position))

    def _note_return(self, ended_s: float) -> None:
        self.store_return.note_return(ended_s)
        self.store_return.correct()

    def skip_known(self) -> None:
        """Skips the records that the view has learned from other nodes."""
        self._operators.skip_to(self._store_view.operators_version)
        self._servers.skip_to(self._store_view.servers_version[0])

    def has_fault(self, now_s: float) -> bool:
        """Whether a call to the store failed recently."""
        return self._operators.has_fault(now_s) or self._servers.has_fault(
            now_s
        )

    def reading_age_s(self, now_s: float) -> float | None:
        """Returns how long ago this node last read both topics.

        None if it has not read them yet.
        """
        operators_s = self._operators.last_read_s
        servers_s = self._servers.last_read_s
        if operators_s is None or servers_s is None:
            return None
        return now_s - min(operators_s, servers_s)

    def servers_reading_age_s(self, now_s: float) -> float | None:
        """Returns how long ago this node last read the servers' entries."""
        read_s = self._servers.last_read_s
        return None if read_s is None else now_s - read_s
