"""Selects the backend servers that may get a request."""

from collections.abc import Callable, Collection, Iterator, Mapping

from savorylift.backends.registry import BackendServer


def eligible_servers(
    servers: Mapping[str, BackendServer],
    service: str,
    evacuated: Collection[str],
    tried: Collection[str] = (),
    is_allowed: Callable[[str], bool] = lambda _: True,
) -> Iterator[BackendServer]:
    """Yields the servers of a service that may get a request.

    Args:
        servers: All known servers by ID.
        service: Service that the request is for.
        evacuated: Failure domains and IDs of servers that are taken out of
            service.
        tried: IDs of servers that already failed this request.
        is_allowed: Returns whether the request may run in a failure domain.
    """
    for server_id, server in servers.items():
        entry = server.entry
        if entry.service != service or entry.is_leaving:
            continue
        if entry.failure_domain in evacuated or server_id in evacuated:
            continue
        if server_id in tried:
            continue
        if is_allowed(entry.failure_domain):
            yield server
