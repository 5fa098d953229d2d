"""Follows the requests to services that are rolled out."""

from savorylift.backends.server import ServerEntry
from savorylift.rollouts import metrics
from savorylift.rollouts.answer_log import AnswerLog, Outcome


class AnswerObserver:
    """Tells the log of a service what becomes of its requests."""

    def __init__(self) -> None:
        """Starts without services."""
        self._logs: dict[str, AnswerLog] = {}
        self._log_by_attempt: dict[str, AnswerLog] = {}

    def set_log(self, service: str, log: AnswerLog | None) -> None:
        """Begins to follow the requests to a service, or ends it."""
        if log is None:
            self._logs.pop(service, None)
        else:
            self._logs[service] = log

    def begin(
        self, entry: ServerEntry, route: str, attempt_id: str, *, is_cold: bool
    ) -> None:
        """Records that a request is sent to a server.

        Args:
            entry: The server.
            route: Name of the route.
            attempt_id: ID of the request.
            is_cold: Whether the server is cold, so that its times say nothing.
        """
        log = self._logs.get(entry.service)
        if log is None:
            return
        kind = "new" if log.is_new(entry) else "old"
        metrics.REQUESTS.labels(kind).inc()
        if is_cold:
            return
        self._log_by_attempt[attempt_id] = log
        log.begin(entry, route, attempt_id)

    def note_answer(self, attempt_id: str) -> None:
        """Records that the answer of a request has begun."""
        log = self._log_by_attempt.get(attempt_id)
        if log is not None:
            log.note_answer(attempt_id)

    def note_pause(self, attempt_id: str, pause_s: float) -> None:
        """Records the mean pause between the first events of a stream."""
        log = self._log_by_attempt.get(attempt_id)
        if log is not None:
            log.note_pause(attempt_id, pause_s)

    def finish(self, attempt_id: str, outcome: Outcome) -> None:
        """Records how a request ended; only the first time counts."""
        log = self._log_by_attempt.pop(attempt_id, None)
        if log is not None:
            log.finish(attempt_id, outcome)
