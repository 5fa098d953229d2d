"""Which backend servers may take a call now."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.permits.gate import BackendHint
from savorylift.rendezvous import rank
from savorylift.rules.view import BackendServer, OutOfService, RulesView

IsOpen = Callable[[BackendServer], bool]

BACKEND_RETRY_AFTER_S = 2.0
OUT_OF_SERVICE_RETRY_AFTER_S = 30.0


class _Split(NamedTuple):
    open: tuple[BackendServer, ...]
    orders: tuple[OutOfService, ...]


def choose_candidates(
    view: RulesView,
    service: str,
    call_id: str,
    hints: Mapping[str, BackendHint],
    is_open: IsOpen,
) -> Result[tuple[str, ...], Refusal]:
    """Returns the service's open backend servers, best first."""
    split = _split(view, service, is_open)
    if not split.open:
        return Failure(_no_candidate(service, split.orders))
    order = rank(call_id, (server.name for server in split.open))
    position = {name: index for index, name in enumerate(order)}

    def cost(name: str) -> tuple[bool, int, int]:
        hint = hints.get(name)
        if hint is None:
            return (False, 0, position[name])
        return (hint.free_slots <= hint.waiting, hint.waiting, position[name])

    return Success(tuple(sorted(order, key=cost)))


def out_of_service_order(
    view: RulesView, server: BackendServer
) -> OutOfService | None:
    """Returns the order that keeps new work from `server`, if one does."""
    orders = view.out_of_service
    by_vm = orders.get(server.name)
    if by_vm is not None and not by_vm.is_domain:
        return by_vm
    by_domain = orders.get(server.failure_domain)
    return by_domain if by_domain and by_domain.is_domain else None


def may_take_work(view: RulesView, name: str, is_open: IsOpen) -> bool:
    """Judges one backend server again, just before a dispatch to it."""
    server = view.backend_servers.get(name)
    if server is None or out_of_service_order(view, server) is not None:
        return False
    return is_open(server)


def _split(view: RulesView, service: str, is_open: IsOpen) -> _Split:
    servers = [s for s in view.backend_servers.values() if s.service == service]
    orders = [out_of_service_order(view, server) for server in servers]
    return _Split(
        tuple(
            server
            for server, order in zip(servers, orders, strict=True)
            if order is None and is_open(server)
        ),
        tuple(order for order in orders if order is not None),
    )


def _no_candidate(service: str, orders: tuple[OutOfService, ...]) -> Refusal:
    if not orders:
        return not_run(
            Reason.NO_BACKEND_SERVER,
            f"No backend server of {service} takes work.",
            BACKEND_RETRY_AFTER_S,
        )
    return Refusal(
        Ending.NOT_RUN,
        Reason.OUT_OF_SERVICE,
        f"{orders[0].target} is out of service.",
        OUT_OF_SERVICE_RETRY_AFTER_S,
        f"out of service: {orders[0].target}",
        orders[0].asked_by,
    )
