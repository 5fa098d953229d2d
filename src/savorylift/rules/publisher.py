"""Publication of the rules and orders in force on a node."""

from collections.abc import Callable

import structlog

from savorylift.rules.counters import RulesCounters
from savorylift.rules.fold import ConfigFold
from savorylift.rules.pending import PendingOrders
from savorylift.rules.stream import RulesStream
from savorylift.rules.view import RulesSource

MAX_LOGGED_LINES = 20


class RulesPublisher:
    """Replaces the published view after each change."""

    def __init__(
        self,
        source: RulesSource,
        stream: RulesStream,
        config: ConfigFold,
        pending: PendingOrders,
        on_folded: Callable[[], None],
        counters: RulesCounters,
    ) -> None:
        """Takes the node's parts; calls `on_folded` after each change."""
        self._source = source
        self._stream = stream
        self._config = config
        self._pending = pending
        self._on_folded = on_folded
        self._counters = counters
        self._shown_version = -1
        self._logger = structlog.get_logger()

    def publish(self) -> None:
        """Publishes the rules and the orders in force."""
        self._pending.drop_settled(self._is_settled)
        offset = self._stream.next_offset - 1
        view = self._config.view(offset)
        orders = {**self._pending.restrictions(), **view.out_of_service}
        self._source.replace(view._replace(out_of_service=orders))
        self._on_folded()
        held = len(self._pending.orders())
        self._counters.show(offset, view.version, held)
        if view.version != self._shown_version:
            self._show_version(view.version)

    def _show_version(self, version: int) -> None:
        self._shown_version = version
        unread = self._config.unread_lines()
        self._counters.show_unread(len(unread))
        self._logger.info("rules_in_force", version=version)
        if unread:
            self._logger.warning(
                "rules_unread_lines", lines=unread[:MAX_LOGGED_LINES]
            )

    def _is_settled(self, record_id: str) -> bool:
        return self._stream.has_applied(record_id) or self._config.is_cancelled(
            record_id
        )
