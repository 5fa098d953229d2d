"""Keeps each stream at the software version that began it.

What two versions write doesn't fit together, and servers don't check who wrote
the events that a caller has.
"""

import random
from collections.abc import Callable

import structlog
from returns.result import Failure, Result, Success

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.origin_finder import OriginFinder
from savorylift.exchange.origin_log import OriginLog
from savorylift.exchange.results import Doubt, Refused
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_beginnings import StreamBeginnings
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.state import StreamOrigin
from savorylift.fleet.stored_versions import StoredVersions
from savorylift.fleet.version_history import VersionHistory
from savorylift.outcomes import Reason
from savorylift.processes.server_life import ServerLife
from savorylift.routing.configuration import Service

# Nodes that did not reply, or that were lost with what they held, may be back.
UNKNOWN_RETRY_S = 1.0
# A server that crashed is back within seconds, with the version that it had.
VERSION_GONE_RETRY_S = 2.0

_log = structlog.get_logger()


class StreamResumption:
    """Finds out at which version a resumed stream began, and records it.

    Attributes:
        on_start: Each is called with the connection of a stream and the start
            of the process that began it, in Unix milliseconds, if that isn't
            the start that was known.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        origin_log: OriginLog,
        history: VersionHistory,
        stored_versions: StoredVersions,
        server_life: ServerLife,
        pool: ServerPool,
        find_service: Callable[[str], Service | None],
        rng: random.Random,
    ) -> None:
        """Creates it without any stream.

        Args:
            origins: Where streams began, as far as nodes know.
            origin_log: The same, as far as the store knows.
            history: Software versions that have served lately, as far as this
                node has heard.
            stored_versions: The same, as the store says now.
            server_life: Finds out whether a server has started again.
            pool: The servers.
            find_service: Returns a configured service by its name.
            rng: Draws the servers to ask in a large service.
        """
        self._history = history
        self._pool = pool
        self._find_service = find_service
        self._beginnings = StreamBeginnings(origins, server_life, pool)
        self._finder = OriginFinder(
            origins,
            origin_log,
            history,
            stored_versions,
            server_life,
            pool,
            rng,
        )
        self.on_start = self._beginnings.on_start

    async def bind(
        self, admitted: AdmittedRequest
    ) -> Result[AdmittedRequest, Refused]:
        """Binds a request that resumes a stream to the version that began it.

        Returns:
            The request, unchanged if it begins a stream; the refusal if the
            version isn't known or has no server.
        """
        req = admitted.req
        if not admitted.route.can_resume or (
            req.resumes is None and req.resume_after is None
        ):
            return Success(admitted)
        origin = await self._finder.find(admitted)
        bound = self._bind(admitted, origin)
        doubt = await self._finder.find_doubt(bound, origin)
        if doubt is not None and origin is None:
            bound = bound._replace(software_version=None)
        has_server = doubt is None and self._pool.choice.has_server(bound, ())
        _log.info(
            "stream_taken_up",
            request=req.attempt_id,
            resumes=req.resumes,
            after=req.resume_after,
            service=bound.service.name,
            software_version=bound.software_version,
            is_origin_known=origin is not None,
            is_origin_certain=origin is not None and origin.is_certain,
            is_history_complete=self._history.is_complete,
            has_server=has_server,
            doubt=doubt and doubt.value,
        )
        if doubt is not None:
            return Failure(_stream_unknown(doubt))
        if origin is not None and _has_other_model(bound, origin):
            return Failure(_model_gone())
        return Success(bound) if has_server else Failure(version_gone())

    def record_begin(self, run: Run) -> None:
        """Records the version of a stream whose first event is passed on."""
        self._beginnings.record_begin(run)

    async def settle(self, run: Run) -> None:
        """Waits a moment until it is known which version began a stream."""
        await self._beginnings.settle(run)

    def record_complete(self, run: Run) -> None:
        """Records that a caller has a whole stream."""
        self._beginnings.record_complete(run)

    def is_version_gone(self, run: Run) -> bool:
        """Whether no server may continue a stream that has begun."""
        return run.has_begun and not self._pool.choice.has_server(
            run.admitted, ()
        )

    def _bind(
        self, admitted: AdmittedRequest, origin: StreamOrigin | None
    ) -> AdmittedRequest:
        if origin is None:
            version = self._history.sole_version(admitted.service.name)
            return admitted._replace(software_version=version)
        targets = {target.service for target in admitted.route.targets}
        service = self._find_service(origin.service)
        if service is None or origin.service not in targets:
            return admitted
        return admitted._replace(
            service=service, software_version=origin.software_version
        )


def _has_other_model(admitted: AdmittedRequest, origin: StreamOrigin) -> bool:
    """Whether the model has another version than when a stream began."""
    if not origin.model_version:
        return False
    return origin.model_version != admitted.service.model_version


def _model_gone() -> Refused:
    message = (
        "The model has another version than when this stream began;"
        " the request did not run."
    )
    return Refused(503, Reason.VERSION_GONE, message)


def _stream_unknown(doubt: Doubt) -> Refused:
    message = (
        "It isn't known which software version began this stream;"
        " the request did not run."
    )
    return Refused(
        503, Reason.STREAM_UNKNOWN, message, UNKNOWN_RETRY_S, doubt=doubt
    )


def version_gone() -> Refused:
    """Returns the refusal of a stream whose version has no server."""
    message = (
        "No server of the software version that began this stream is left;"
        " the request did not run."
    )
    return Refused(503, Reason.VERSION_GONE, message, VERSION_GONE_RETRY_S)
