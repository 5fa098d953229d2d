"""The retries of one request, which the budget of all nodes bounds."""

import structlog

from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.results import Answered, Broken, NotRun, Unsure
from savorylift.exchange.server_pool import ServerPool
from savorylift.outcomes import Reason

_log = structlog.get_logger()


class RequestRetries:
    """Takes a retry for each send after a server got the request."""

    def __init__(self, pool: ServerPool, admitted: AdmittedRequest) -> None:
        """Creates the retries of a request that was not sent yet.

        Args:
            pool: Holds this node's share of the retry budget.
            admitted: The request.
        """
        self._pool = pool
        self._request = admitted.req.attempt_id
        self._service = admitted.service.name
        self._reached_server = False
        # Whether the next send was taken from the budget already.
        self._is_taken = False

    @property
    def is_retry(self) -> bool:
        """Whether the next send is a retry."""
        return self._reached_server

    def take(self) -> bool:
        """Takes a retry if the next send is one; returns whether it may be."""
        if not self._reached_server or self._is_taken:
            return True
        self._is_taken = self._pool.retries.take_retry(self._service)
        if not self._is_taken:
            metrics.RETRIES_DENIED.labels(self._service).inc()
            _log.info(
                "retry_denied", request=self._request, service=self._service
            )
        return self._is_taken

    def record_result(
        self, result: Answered | Broken | NotRun | Unsure
    ) -> None:
        """Records what came of a send; only one that arrived uses a retry."""
        if isinstance(result, NotRun) and not result.reached_server:
            return
        self._is_taken = False
        self._reached_server = True


def is_over_limit(result: object) -> bool:
    """Whether a request was not sent since its server's limit is used up."""
    return isinstance(result, NotRun) and result.reason is Reason.SERVER_LIMIT
