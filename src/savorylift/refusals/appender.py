"""The actor that appends refusals to the log."""

import pykka
import structlog
from returns.result import Result, Success

from savorylift.log_service.log import REFUSALS_STREAM, Log, LogFault
from savorylift.refusals.counters import APPENDS
from savorylift.refusals.inbox import AppendBatch, BatchAppended

_log = structlog.get_logger()


class BatchAppender(pykka.ThreadingActor):
    """Appends batches, one at a time."""

    use_daemon_thread = True

    def __init__(self, log: Log, owner: "pykka.ActorRef[pykka.Actor]") -> None:
        """Tells `owner` how each append ended."""
        super().__init__()
        self._log = log
        self._owner = owner

    def on_receive(self, message: object) -> None:
        """Appends one batch."""
        assert isinstance(message, AppendBatch)
        result = self._log.append(REFUSALS_STREAM, (message.entry,))
        APPENDS.labels(_label(result)).inc()
        if not isinstance(result, Success):
            cause = result.failure().message
            _log.info("refusals_append_failed", cause=cause)
        if self._owner.is_alive():
            self._owner.tell(BatchAppended(result, message.is_own))


def _label(result: Result[int, LogFault]) -> str:
    if isinstance(result, Success):
        return "applied"
    return "unsure" if result.failure().may_have_applied else "refused"
