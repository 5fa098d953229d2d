"""What backend servers say of themselves in the heads of their answers."""

from collections.abc import Callable

import structlog

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.registry import BackendServer, Registry
from savorylift.exchange.limit_sync import MISDIRECTED_STATUS
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.server_holds import ServerHolds

_log = structlog.get_logger()


class ServerNotices:
    """Records holds, brittle services and servers that drain."""

    def __init__(
        self,
        registry: Registry,
        holds: ServerHolds,
        brittle: BrittleServices,
        announce: Callable[[], None],
    ) -> None:
        """Connects what is to be told.

        Args:
            registry: Told which servers drain.
            holds: Told which servers want nothing for a while.
            brittle: Told which services' servers fall over if they reject
                much.
            announce: Schedules a message about a change to the other nodes.
        """
        self._registry = registry
        self._holds = holds
        self._brittle = brittle
        self._announce = announce

    def record_head(self, server: BackendServer, head: AnswerHead) -> bool:
        """Records what a server says of itself in the head of an answer.

        Returns:
            Whether it is news that the server is draining.
        """
        if head.status == MISDIRECTED_STATUS:
            return False
        if head.hold_s is not None:
            self._holds.record(server.entry.server_id, head.hold_s)
        if head.is_from_brittle:
            self._record_brittle(server)
        return head.is_from_leaving and self._record_leaving(server)

    def _record_brittle(self, server: BackendServer) -> None:
        service, server_id = server.entry.service, server.entry.server_id
        if self._brittle.record(service):
            _log.warning("service_brittle", service=service, server=server_id)
            self._announce()

    def _record_leaving(self, server: BackendServer) -> bool:
        server_id = server.entry.server_id
        is_news = self._registry.mark_leaving(
            server_id, server.entry.started_ms
        )
        if is_news:
            _log.info("server_leaves", server=server_id, source="answer")
            self._announce()
        return is_news
