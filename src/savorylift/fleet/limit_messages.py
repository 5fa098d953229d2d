"""Messages about limits that servers name, and about permits."""

from typing import NamedTuple


class LimitReport(NamedTuple):
    """What the newest response of a backend server said of its limit.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Unix time in milliseconds at which the server started.
        requests_per_s: Requests per second that it takes from all nodes
            together; None if it no longer names a limit.
        age_s: Time since the response.
    """

    server_id: str
    started_ms: int
    requests_per_s: float | None
    age_s: float


class LimitNews(NamedTuple):
    """Limits that backend servers have named, or no longer name.

    Attributes:
        reports: What was heard, one report a server.
    """

    reports: tuple[LimitReport, ...]


class PermitRequest(NamedTuple):
    """Asks the issuer of a limited server for permission to send a request.

    Attributes:
        number: Number of the permit request, for the reply.
        limit: The limit that the sender knows.
        max_wait_s: Longest time that the request can wait to be sent.
        is_probe: Whether it may only use what requests leave.
        start_age_s: If the sender wants to know which process the server is,
            time since when it must have answered; None to want a permit. The
            issuer asks the server; one of an earlier build grants a permit.
    """

    number: int
    limit: LimitReport
    max_wait_s: float
    is_probe: bool
    start_age_s: float | None = None


class PermitReply(NamedTuple):
    """The issuer's decision on a permit request.

    Attributes:
        number: Number of the permit request.
        is_granted: Whether the request may be sent.
        wait_s: Time until it may be sent; without a permit, the time until
            it is worth asking again.
        started_ms: Start that the server named; None if it wasn't to be asked,
            or hasn't answered yet.
        is_silent: Whether the server doesn't answer the issuer.
    """

    number: int
    is_granted: bool
    wait_s: float
    started_ms: int | None = None
    is_silent: bool = False


LimitMessage = LimitNews | PermitRequest | PermitReply
