"""Ends a lost node's generations for the keepers of their permits."""

from returns.result import Failure, Result, Success

from savorylift.rules.view import RulesSource
from savorylift.streams.engine_control import EngineControl


class EngineCanceller:
    """Implements `StreamCanceller` over the engines' own interface."""

    def __init__(self, rules: RulesSource, control: EngineControl) -> None:
        """Finds engines' addresses in `rules`."""
        self._rules = rules
        self._control = control

    def cancel(self, backend_server: str, stream_id: str) -> Result[None, str]:
        """Returns success only if the work surely runs no more."""
        server = self._rules.current().backend_servers.get(backend_server)
        if server is None:
            return Success(None)
        if server.model is None:
            return Failure("a plain service's call can't be cancelled")
        cancelled = self._control.cancel(server.address, stream_id)
        return cancelled.map(lambda _: None)
