"""Messages about where streams began."""

from typing import NamedTuple

# Stands for the version of a process whose entry isn't read yet. No server has
# it, so that builds that don't know it continue such streams nowhere.
UNKNOWN_VERSION = "\0"


class ServerProcess(NamedTuple):
    """A process of a server, as its entry says.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Unix time in milliseconds at which the process started.
        software_version: Its software version.
        age_s: Time since a moment at which the stream had begun.
    """

    server_id: str
    started_ms: int
    software_version: str
    age_s: float = 0.0


class StreamOrigin(NamedTuple):
    """Where a stream began that its caller may resume.

    Attributes:
        attempt_id: ID of the attempt that brought its first event.
        service: Service that ran it.
        software_version: Software version of the server that sent that event;
            `UNKNOWN_VERSION` if that isn't known yet.
        ttl_s: Time for which the caller may still resume it.
        model_version: Version of the model that the service required; empty
            for any.
        process: The server and the process of its entry that began the stream
            if that process still answers; None if none is known.
    """

    attempt_id: str
    service: str
    software_version: str
    ttl_s: float
    model_version: str = ""
    process: ServerProcess | None = None

    @property
    def is_certain(self) -> bool:
        """Whether it is known which version began the stream."""
        return self.software_version != UNKNOWN_VERSION

    @property
    def certainty(self) -> int:
        """Which of two origins of a stream goes before the other."""
        if self.is_certain:
            return 2
        return 1 if self.process is None else 0


class OriginNews(NamedTuple):
    """Origins that the receiver is to hold.

    Attributes:
        origins: The origins.
    """

    origins: tuple[StreamOrigin, ...]


class OriginAck(NamedTuple):
    """Confirms origins that the sender now holds.

    Attributes:
        attempt_ids: Their attempts.
        uncertain_ids: Attempts whose version was not known yet; builds that
            don't have this field list them with the others.
    """

    attempt_ids: tuple[str, ...]
    uncertain_ids: tuple[str, ...] = ()


class OriginQuery(NamedTuple):
    """Asks where a stream began.

    Attributes:
        number: Number of the query, for the reply.
        attempt_id: ID of the attempt that brought its first event.
    """

    number: int
    attempt_id: str


class OriginReply(NamedTuple):
    """The answer to a query.

    Attributes:
        number: Number of the query.
        origin: The origin; None if the sender doesn't hold it.
    """

    number: int
    origin: StreamOrigin | None


OriginMessage = OriginNews | OriginAck | OriginQuery | OriginReply
