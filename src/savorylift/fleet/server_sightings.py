"""What nodes tell each other of servers, beside the store's entries."""

from typing import NamedTuple


class VersionSighting(NamedTuple):
    """A software version that had a server until lately.

    Attributes:
        service: Service of the server.
        software_version: The version.
        age_s: Time since the version last had a server.
    """

    service: str
    software_version: str
    age_s: float


class BrittleNews(NamedTuple):
    """A service whose servers say that they fall over if they reject much.

    Attributes:
        service: Name of the service.
        age_s: Time since a server last said so.
    """

    service: str
    age_s: float


class LeavingServer(NamedTuple):
    """A server that said itself that it is draining.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Start of the incarnation that said so.
    """

    server_id: str
    started_ms: int


class WitnessedProcess(NamedTuple):
    """A process of a server, as a connection to it shows.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Unix time in milliseconds at which the process started.
        lives: Whether it lives as this is sent; otherwise it may have ended.
        is_shown: Whether an entry shows that it is that process, which was only
            believed otherwise.
    """

    server_id: str
    started_ms: int
    lives: bool
    is_shown: bool = False


class ServerSpeed(NamedTuple):
    """How long a server took, as one node saw it.

    Attributes:
        server_id: Identifier of the server.
        start_mark: Start of its process, in milliseconds modulo 2**16.
        samples_x10: Number of samples as far as they still count, times 10.
        mean_x100: Mean of log2(time / usual time), times 100.
    """

    server_id: str
    start_mark: int
    samples_x10: int
    mean_x100: int
