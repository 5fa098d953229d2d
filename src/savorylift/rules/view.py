"""Rules in force, in the form that decisions read."""

from collections.abc import Mapping
from typing import NamedTuple

ANY_MODEL = "*"


class RuleSource(NamedTuple):
    """Where a rule stands and who asked for it.

    Attributes:
        line: Line number, from 1.
        text: The rule without its comment.
        asked_by: The line's comment.
    """

    line: int
    text: str
    asked_by: str


class FailureDomain(NamedTuple):
    """A failure domain and the region it lies in."""

    name: str
    region: str
    source: RuleSource


class Model(NamedTuple):
    """A model that callers may name.

    Attributes:
        name: Name used by callers.
        version: Version that engines must have loaded.
        source: The rule.
    """

    name: str
    version: str
    source: RuleSource


class Service(NamedTuple):
    """A plain service.

    Attributes:
        name: Name used by callers.
        repeatable: HTTP methods whose calls may run more than once.
        source: The rule.
    """

    name: str
    repeatable: frozenset[str]
    source: RuleSource


class BackendServer(NamedTuple):
    """A model engine's runner or an instance of a plain service.

    Attributes:
        name: Name, equal to its VM's name in the platform's list.
        address: `ip:port` of its HTTP listener.
        failure_domain: Failure domain it runs in.
        model: Model it serves; None for a plain service.
        service: Service it serves; None for a model engine.
        cold_limit: Concurrent requests it bears in cold start.
        warm_limit: Concurrent requests it bears when warm.
        kv_tokens: Tokens its memory holds; 0 for a plain service.
        checks_fencing: True if it refuses orders with an old fencing number.
        source: The rule.
    """

    name: str
    address: str
    failure_domain: str
    model: str | None
    service: str | None
    cold_limit: int
    warm_limit: int
    kv_tokens: int
    checks_fencing: bool
    source: RuleSource


class Team(NamedTuple):
    """A team that may send requests.

    Attributes:
        name: Name used in the team header.
        weight: Share of contended capacity relative to other teams.
        models: Models it may use; holds `ANY_MODEL` for all.
        max_in_flight: Concurrent requests allowed on one node; 0 for no bound.
        source: The rule.
    """

    name: str
    weight: int
    models: frozenset[str]
    max_in_flight: int
    source: RuleSource


class Setting(NamedTuple):
    """A named number that tunes a policy."""

    name: str
    value: float
    source: RuleSource


class OutOfService(NamedTuple):
    """An operator's order that keeps new work away.

    Attributes:
        target: Name of the failure domain or VM.
        is_domain: True for a failure domain.
        asked_by: Operator and cause, as given with the order.
        offset: Log offset of the order; -1 while not yet accepted.
    """

    target: str
    is_domain: bool
    asked_by: str
    offset: int


class RulesView(NamedTuple):
    """Everything in force at one version; never changed in place.

    Attributes:
        version: Log offset of the accepted edit that made it; -1 for none.
        offset: Newest log offset folded in, of any record kind; -1 for none.
        failure_domains: By name.
        models: By name.
        services: By name.
        backend_servers: By name.
        teams: By name.
        settings: By name.
        out_of_service: Orders by target name.
    """

    version: int = -1
    offset: int = -1
    failure_domains: Mapping[str, FailureDomain] = {}
    models: Mapping[str, Model] = {}
    services: Mapping[str, Service] = {}
    backend_servers: Mapping[str, BackendServer] = {}
    teams: Mapping[str, Team] = {}
    settings: Mapping[str, Setting] = {}
    out_of_service: Mapping[str, OutOfService] = {}


class RulesSource:
    """Holds the view in force; one writer, any number of reading threads.

    Reads and replacement of the attribute are atomic, so that a request
    judges against one whole version.
    """

    def __init__(self, view: RulesView | None = None) -> None:
        """Starts with `view`, or with an empty one."""
        self._view = view or RulesView()

    def current(self) -> RulesView:
        """Returns the view in force."""
        return self._view

    def replace(self, view: RulesView) -> None:
        """Puts `view` in force; it must not be older than the current one."""
        assert view.offset >= self._view.offset, "a view must not revert"
        self._view = view
