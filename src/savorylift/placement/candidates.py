"""Backend servers that may get a request now."""

from collections.abc import Callable, Collection, Iterator, Mapping

from savorylift.backends.registry import Known


def usable(
    known: Mapping[str, Known],
    service: str,
    evacuated: Collection[str],
    tried: Collection[str] = (),
    is_allowed: Callable[[str], bool] = lambda _: True,
) -> Iterator[Known]:
    """Yields servers of a service that take new work.

    Args:
        known: Every known server.
        service: Service that the request is for.
        evacuated: Failure domains and servers that get nothing new.
        tried: Servers that already failed this request.
        is_allowed: Whether the request may run in a failure domain.
    """
    for server_id, server in known.items():
        entry = server.entry
        if entry.service != service or entry.is_leaving:
            continue
        if entry.failure_domain in evacuated or server_id in evacuated:
            continue
        if server_id in tried:
            continue
        if is_allowed(entry.failure_domain):
            yield server
