"""Judges whether new work may go to a backend server now."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.rules.view import BackendServer, OutOfService, RulesSource

LEAVING_RETRY_S = 2.0
OUT_RETRY_S = 5.0


class Restrictions(NamedTuple):
    """Everything that keeps new work away from backend servers.

    Attributes:
        rules: Rules in force, with operators' orders.
        is_leaving: Tells by VM name whether a backend server is leaving.
    """

    rules: RulesSource
    is_leaving: Callable[[str], bool]

    def judge(self, server: BackendServer) -> Result[None, Refusal]:
        """Returns why no new work may go to `server`, if so."""
        orders = self.rules.current().out_of_service
        order = orders.get(server.failure_domain) or orders.get(server.name)
        if order is not None:
            return Failure(_out_of_service(order))
        if self.is_leaving(server.name):
            return Failure(
                Refusal(
                    Ending.NOT_RUN,
                    Reason.NO_BACKEND_SERVER,
                    f"backend server {server.name} is leaving",
                    LEAVING_RETRY_S,
                    server.source.text,
                    server.source.asked_by,
                )
            )
        return Success(None)

    def is_open(self, server: BackendServer) -> bool:
        """Returns True if new work may go to `server`."""
        return isinstance(self.judge(server), Success)


def _out_of_service(order: OutOfService) -> Refusal:
    kind = "failure domain" if order.is_domain else "vm"
    message = f"{kind} {order.target} is out of service"
    return Refusal(
        Ending.NOT_RUN,
        Reason.OUT_OF_SERVICE,
        message,
        OUT_RETRY_S,
        f"out of service: {order.target}",
        order.asked_by,
    )


def no_server(
    servers: list[BackendServer], restrictions: Restrictions, wanted: str
) -> Refusal:
    """Returns the refusal for work that no backend server may take.

    Args:
        servers: Every backend server of the model or service.
        restrictions: Judges each of them.
        wanted: Name of the model or service, for the message.
    """
    for server in servers:
        verdict = restrictions.judge(server)
        if isinstance(verdict, Failure):
            refusal: Refusal = verdict.failure()
            return refusal
    return Refusal(
        Ending.NOT_RUN,
        Reason.NO_BACKEND_SERVER,
        f"no backend server serves {wanted}",
        OUT_RETRY_S,
    )
