"""What backend servers say of themselves in the heads of their answers."""

from collections.abc import Callable

import structlog

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.registry import BackendServer
from savorylift.exchange.notice_recorder import NoticeRecorder
from savorylift.exchange.request import AnswerHead
from savorylift.limits.limit_sync import MISDIRECTED_STATUS

_log = structlog.get_logger()


class ServerNotices:
    """Records holds, brittle services and servers that drain."""

    def __init__(
        self,
        recorder: NoticeRecorder,
        brittle: BrittleServices,
        announce: Callable[[], None],
    ) -> None:
        """Connects what is to be told.

        Args:
            recorder: Told which servers drain, or want nothing for a while.
            brittle: Told which services' servers fall over if they reject
                much.
            announce: Schedules a message about a change to the other nodes.
        """
        self._recorder = recorder
        self._brittle = brittle
        self._announce = announce

    def record_head(self, server: BackendServer, head: AnswerHead) -> bool:
        """Records what a server says of itself in the head of an answer.

        Returns:
            Whether it is news that the server is draining.
        """
        if head.status == MISDIRECTED_STATUS:
            return False
        if head.is_from_brittle:
            self._record_brittle(server)
        return self._recorder.record(server, head.notice)

    def _record_brittle(self, server: BackendServer) -> None:
        service, server_id = server.entry.service, server.entry.server_id
        if self._brittle.record(service):
            _log.warning("service_brittle", service=service, server=server_id)
            self._announce()
